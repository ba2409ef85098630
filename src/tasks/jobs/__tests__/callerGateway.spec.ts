import { expect } from 'chai'
import type { CallerCall } from '../../../core/jobs'
import { CallerGateway } from '../callerGateway'
import type { ClientMessage } from '../controlProtocol'

const call: CallerCall = { type: 'cancel', host: 'a.example', path: '/plans/0000000000000001' }
const deadlineMs = 400
/** A call that is held back until this deadline fails its spec. */
const beyondSpecTimeoutMs = 600_000

describe('the gateway of callers', () => {
  let sent: ClientMessage[]
  let isLinked: boolean
  let gateway: CallerGateway

  beforeEach(() => {
    sent = []
    isLinked = true
    gateway = new CallerGateway({
      send: message => {
        if (isLinked) sent.push(message)
        return isLinked
      }
    })
  })

  it('says not run of a call that was sent to nobody, long before its deadline, and when to come back', async () => {
    isLinked = false
    expect(await gateway.call(call, beyondSpecTimeoutMs)).to.deep.equal({ type: 'refused', reason: 'noLeader', retryAfterMs: 1000 })
  })

  it('never says not run of a call that was sent and not answered', async () => {
    expect(await gateway.call(call, deadlineMs)).to.deep.equal({ type: 'unknown' })
  })

  it('sends an unanswered call again to the next leader, and gives its answer', async () => {
    const answer = gateway.call(call, deadlineMs)
    gateway.linkOpened()
    expect(sent).to.have.length(2)
    gateway.receive({ type: 'answer', id: 1, answer: { type: 'cancelled' } })
    expect(await answer).to.deep.equal({ type: 'cancelled' })
    expect(gateway.size).to.equal(0)
  })

  it('names its zone with a submission, so that fair shares know whose it is, and with nothing else', async () => {
    const zoned = new CallerGateway({ zone: 'a', send: message => sent.push(message) > 0 })
    await Promise.all([zoned.call({ type: 'submit', host: 'a.example', path: call.path, submission: { spec: '', steps: [] } }, deadlineMs), zoned.call(call, deadlineMs)])
    expect(sent.map(message => message.type === 'call' ? message.call : undefined)).to.deep.equal([
      { type: 'submit', host: 'a.example', path: call.path, submission: { spec: '', steps: [], originZone: 'a' } }, call
    ])
  })

  it('does not believe a replica that does not lead what a former leader may have done', async () => {
    const answer = gateway.call(call, deadlineMs)
    gateway.linkOpened()
    gateway.receive({ type: 'answer', id: 1, answer: { type: 'refused', reason: 'noLeader', retryAfterMs: 1000 } })
    expect(await answer).to.deep.equal({ type: 'unknown' })
  })

  it('passes a refusal of the only leader it asked on, as that has stored nothing', async () => {
    const answer = gateway.call(call, deadlineMs)
    gateway.receive({ type: 'answer', id: 1, answer: { type: 'refused', reason: 'hopeless', retryAfterMs: 1000 } })
    expect(await answer).to.deep.equal({ type: 'refused', reason: 'hopeless', retryAfterMs: 1000 })
  })
})
