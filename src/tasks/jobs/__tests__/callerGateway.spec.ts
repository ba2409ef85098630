import { expect } from 'chai'
import type { CallerAnswer, CallerCall } from '../../../core/jobs'
import { CallerGateway } from '../callerGateway'
import type { ClientMessage } from '../controlProtocol'

const call: CallerCall = { type: 'cancel', host: 'a.example', path: '/plans/0000000000000001' }
const deadlineMs = 400
/** A call that is held back until this deadline fails its spec. */
const beyondSpecTimeoutMs = 600_000

describe('the gateway of callers', () => {
  let sent: ClientMessage[]
  let isLinked: boolean
  let now: number
  let gateway: CallerGateway

  beforeEach(() => {
    sent = []
    isLinked = true
    now = 0
    gateway = new CallerGateway({
      now: () => now,
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

  it('lets callers come back less often the longer there is no leader, so that four tries outlast an outage of seconds', async () => {
    gateway.linkOpened()
    isLinked = false
    gateway.linkLost()
    let tries = 0
    // All control replicas are back after 8 s; the first call comes half a second after they were lost.
    for (now = 500; now < 8000; tries += 1) {
      const answer = await gateway.call(call, beyondSpecTimeoutMs)
      expect(answer).to.include({ type: 'refused', reason: 'noLeader' })
      now += answer.type === 'refused' ? answer.retryAfterMs : 0
    }
    expect(tries).to.be.at.most(4)
    gateway.linkOpened()
    gateway.linkLost()
    expect(await gateway.call(call, beyondSpecTimeoutMs)).to.include({ retryAfterMs: 1000 })
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
    const zoned = new CallerGateway({ zone: 'a', now: () => now, send: message => sent.push(message) > 0 })
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

  const submission: CallerCall = { type: 'submit', host: 'a.example', path: '/plans/0000000000000001', submission: { spec: '', steps: [] } }
  const denials: readonly CallerAnswer[] = [
    { type: 'refused', reason: 'overload', retryAfterMs: 1000 },
    { type: 'refused', reason: 'hopeless', retryAfterMs: 1000 },
    { type: 'refused', reason: 'noManifest', retryAfterMs: 1000 },
    { type: 'noQueue' }
  ]
  for (const denial of denials) {
    it(`does not say not run when a submission that went out on a stream that broke is denied as ${denial.type === 'refused' ? denial.reason : denial.type} on the next, as the first copy may arrive later`, async () => {
      const answer = gateway.call(submission, deadlineMs)
      gateway.linkOpened()
      gateway.receive({ type: 'answer', id: 1, answer: denial })
      expect(await answer).to.deep.equal({ type: 'unknown' })
    })
  }

  it('passes a refusal of the only leader it asked on, as that has stored nothing', async () => {
    const answer = gateway.call(call, deadlineMs)
    gateway.receive({ type: 'answer', id: 1, answer: { type: 'refused', reason: 'hopeless', retryAfterMs: 1000 } })
    expect(await answer).to.deep.equal({ type: 'refused', reason: 'hopeless', retryAfterMs: 1000 })
  })
})
