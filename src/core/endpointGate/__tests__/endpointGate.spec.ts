import { expect } from 'chai'
import fc from 'fast-check'
import { EndpointGate } from '..'

const slots = 2
const requestId = fc.constantFrom('r1', 'r2', 'r3', 'r4', 'r5', 'r6')
const step = fc.oneof(
  fc.record({ type: fc.constant('arrive' as const), requestId, patience: fc.integer({ min: 1, max: 30 }) }),
  fc.record({ type: fc.constant('abandon' as const), requestId }),
  fc.record({ type: fc.constant('finish' as const), requestId }),
  fc.record({ type: fc.constant('tick' as const), ms: fc.integer({ min: 1, max: 10 }) })
)

describe('an endpoint gate', () => {
  it('never runs more requests than it has slots, never runs an id twice, and never runs an id that it reported as not run', () => {
    fc.assert(fc.property(fc.array(step, { minLength: 50, maxLength: 200, size: 'max' }), steps => {
      const gate = new EndpointGate({ slots, queue: 2, rememberMs: 1_000_000, maximumRecords: 1000 })
      const running = new Set<string>()
      const ran = new Set<string>()
      const notRun = new Set<string>()
      let now = 0
      const start = (id: string): void => {
        expect(ran.has(id), `${id} runs twice`).to.equal(false)
        expect(notRun.has(id), `${id} runs although it was reported as not run`).to.equal(false)
        ran.add(id)
        running.add(id)
        expect(running.size).to.be.at.most(slots)
      }
      for (const action of steps) {
        if (action.type === 'arrive') {
          const arrival = gate.arrive({ requestId: action.requestId, source: 's', entry: 'e', deadlineAt: now + action.patience, concurrency: slots }, now)
          if (arrival.type === 'run') start(action.requestId)
        }
        if (action.type === 'abandon' && gate.abandon(action.requestId, now, 0) === 'notRun') notRun.add(action.requestId)
        if (action.type === 'tick') now += action.ms
        const change = action.type === 'finish' && running.delete(action.requestId) ? gate.finish(action.requestId, 'ran', now) : gate.tick(now)
        change.expired.forEach(id => notRun.add(id))
        change.started.forEach(start)
      }
    }), { seed: 20261203, numRuns: 500, endOnFailure: true })
  })

  it('refuses requests rather than forget an id too early', () => {
    const gate = new EndpointGate({ slots, queue: 0, rememberMs: 1000, maximumRecords: 1 })
    const arrive = (id: string) => gate.arrive({ requestId: id, source: 's', entry: 'e', deadlineAt: 100, concurrency: slots }, 0)
    arrive('r1')
    gate.finish('r1', 'ran', 0)
    expect(arrive('r2')).to.have.nested.property('failure.code', 'agent/record-full')
    expect(gate.abandon('r3', 0, 0)).to.equal('unknown')
  })

  it('does not report a request as not run if it may have run it and dropped its id', () => {
    const gate = new EndpointGate({ slots, queue: 0, rememberMs: 1000, maximumRecords: 10 })
    gate.arrive({ requestId: 'r1', source: 's', entry: 'e', deadlineAt: 100, concurrency: slots }, 0)
    gate.finish('r1', 'ran', 50)
    gate.tick(1050)
    expect(gate.abandon('r1', 1050, 1050)).to.equal('unknown')
    expect(gate.abandon('r2', 1050, 10)).to.equal('notRun')
  })

  it('limits a catalogue entry to its concurrency', () => {
    const gate = new EndpointGate({ slots, queue: 0, rememberMs: 1000, maximumRecords: 10 })
    const arrive = (id: string) => gate.arrive({ requestId: id, source: 's', entry: 'e', deadlineAt: 100, concurrency: 1 }, 0).type
    expect([arrive('r1'), arrive('r2')]).to.deep.equal(['run', 'refused'])
  })
})
