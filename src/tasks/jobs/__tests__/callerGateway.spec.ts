import { expect } from 'chai'
import type { CallerAnswer, CallerCall } from '../../../core/jobs'
import { CallerGateway } from '../callerGateway'
import type { ClientMessage } from '../controlProtocol'

const call: CallerCall = { type: 'cancel', host: 'a.example', path: '/plans/0000000000000001' }
const deadlineMs = 400
/** A deadline beyond the time limit of a spec: a call that is not answered earlier fails the spec. */
const beyondSpecTimeoutMs = 600_000

describe('the caller gateway', () => {
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

  it('refuses a call that it could not send as not run, long before its deadline, with a delay for the retry', async () => {
    isLinked = false
    expect(await gateway.call(call, beyondSpecTimeoutMs)).to.deep.equal({ type: 'refused', reason: 'noLeader', retryAfterMs: 1000 })
  })

  it('increases the retry delay the longer there is no leader, so that four attempts outlast an outage of several seconds', async () => {
    gateway.linkOpened()
    isLinked = false
    gateway.linkLost()
    let tries = 0
    // All control replicas are available again after 8 s; the first call comes half a second after they were lost.
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

  it('never reports a call as not run that was sent and not answered', async () => {
    expect(await gateway.call(call, deadlineMs)).to.deep.equal({ type: 'unknown' })
  })

  it('does not send a call whose caller stopped waiting during a suspension, also if the timer has not fired yet', async () => {
    isLinked = false
    const answer = gateway.call(call, deadlineMs)
    now += deadlineMs + 1
    isLinked = true
    gateway.linkOpened()
    expect(await answer).to.include({ type: 'refused' })
    expect(sent).to.deep.equal([])
  })

  it('sends an unanswered call again to the next leader and returns its answer', async () => {
    const answer = gateway.call(call, deadlineMs)
    gateway.linkOpened()
    expect(sent).to.have.length(2)
    gateway.receive({ type: 'answer', id: 1, answer: { type: 'cancelled' } })
    expect(await answer).to.deep.equal({ type: 'cancelled' })
    expect(gateway.size).to.equal(0)
  })

  it('adds its zone to submissions only, so that fair shares can attribute a job to its zone of origin', async () => {
    const zoned = new CallerGateway({ zone: 'a', now: () => now, send: message => sent.push(message) > 0 })
    await Promise.all([zoned.call({ type: 'submit', host: 'a.example', path: call.path, submission: { spec: '', steps: [] } }, deadlineMs), zoned.call(call, deadlineMs)])
    expect(sent.map(message => message.type === 'call' ? message.call : undefined)).to.deep.equal([
      { type: 'submit', host: 'a.example', path: call.path, submission: { spec: '', steps: [], originZone: 'a' } }, call
    ])
  })

  it('reports a call as unknown if a replica that does not lead refuses it after a former leader may have executed it', async () => {
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
    it(`does not report a submission as not run that was sent on a stream that broke and is then denied as ${denial.type === 'refused' ? denial.reason : denial.type} on the next stream, as the first copy may arrive later`, async () => {
      const answer = gateway.call(submission, deadlineMs)
      gateway.linkOpened()
      gateway.receive({ type: 'answer', id: 1, answer: denial })
      expect(await answer).to.deep.equal({ type: 'unknown' })
    })
  }

  it('forwards the refusal of the only leader that it asked, as that leader has stored nothing', async () => {
    const answer = gateway.call(call, deadlineMs)
    gateway.receive({ type: 'answer', id: 1, answer: { type: 'refused', reason: 'hopeless', retryAfterMs: 1000 } })
    expect(await answer).to.deep.equal({ type: 'refused', reason: 'hopeless', retryAfterMs: 1000 })
  })
})
