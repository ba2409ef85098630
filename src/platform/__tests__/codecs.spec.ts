import { expect } from 'chai'
import fc from 'fast-check'
import { decodeHeartbeat, decodeManifest, decodeSubmission } from '..'
import { createDevManifest } from '../standIn'
import { decodeClientMessage } from '../../tasks/jobs/controlCodec'

describe('decodeSubmission', () => {
  const phase = { count: 4, cpu: 500, memMb: 256, estimateMs: 900 }

  it('decodes all fields and replaces omitted ones by zero, false or empty', () => {
    const decoded = decodeSubmission(JSON.stringify({
      spec: 'text',
      phases: [phase, { ...phase, dependsOn: [0], checkpointed: true, fillCount: true, image: 'i', maxPerServer: 2, dataRack: 'r1', unknown: 1 }]
    })).unwrap()
    expect(decoded.steps[0]).to.include({ count: 4, processors: 0.5, memoryMb: 256, accelerators: 0, isLongRunning: false, isFilling: false, requiredLabel: '' })
    expect(decoded.steps[1]).to.deep.include({ dependsOn: [0], isCheckpointed: true, isFilling: true, image: 'i', maximumPerWorker: 2, dataRack: 'r1' })
    expect(decoded.schedule).to.equal(undefined)
  })

  it('decodes a schedule', () => {
    const decoded = decodeSubmission(JSON.stringify({ phases: [phase], repeatCount: 3, startAtMs: 1000, intervalMs: 50 })).unwrap()
    expect(decoded.schedule).to.deep.equal({ count: 3, startAtMs: 1000, intervalMs: 50 })
  })

  const malformed: ReadonlyArray<readonly [string, string]> = [
    ['a truncated document', '{"phases":[{"co'],
    ['a submission without steps', '{"phases":[]}'],
    ['a step that is not an object', '{"phases":[7]}'],
    ['a count that is a string', JSON.stringify({ phases: [{ ...phase, count: '4' }] })],
    ['a fractional count', JSON.stringify({ phases: [{ ...phase, count: 1.5 }] })],
    ['more tasks than a leader can create records of', JSON.stringify({ phases: [{ ...phase, count: 1_000_000_000 }] })],
    ['occurrences that multiply the tasks beyond that limit', JSON.stringify({ phases: [phase], repeatCount: 1_000_000_000 })],
    ['more steps than a plan can compare', JSON.stringify({ phases: Array.from({ length: 201 }, () => phase) })],
    ['an infinite time, which cannot be sent to the leader', `{"phases":[${JSON.stringify(phase)}],"repeatCount":1,"startAtMs":1e999}`],
    ['a step that depends on itself', JSON.stringify({ phases: [{ ...phase, dependsOn: [0] }] })]
  ]
  for (const [what, body] of malformed) {
    it(`rejects ${what}`, () => {
      expect(decodeSubmission(body).val).to.include({ code: 'request/malformed' })
    })
  }
})

describe('a submission that the entry accepts', () => {
  it('is always accepted by the decoder of the leader, so that no caller can break the stream between entry and leader', () => {
    const number = fc.oneof({ weight: 19, arbitrary: fc.nat(50) }, { weight: 1, arbitrary: fc.constantFrom(0, -1, 0.5, 1e15, 1e300) })
    const phase = fc.record({ count: fc.integer({ min: 1, max: 3 }), cpu: number, estimateMs: number, dependsOn: fc.array(fc.nat(2), { maxLength: 2 }), targetMs: number, fillCount: fc.oneof(fc.boolean(), number), maxUnavailable: number, image: fc.string() }, { requiredKeys: ['count'] })
    const body = fc.record({ spec: fc.string(), phases: fc.array(phase, { minLength: 1, maxLength: 3 }), repeatCount: number, startAtMs: number, intervalMs: number }, { requiredKeys: ['phases'] })
    let acceptedCount = 0
    fc.assert(fc.property(body, value => {
      const submission = decodeSubmission(JSON.stringify(value))
      if (!submission.ok) return
      acceptedCount += 1
      const message: unknown = JSON.parse(JSON.stringify({ type: 'call', id: 1, call: { type: 'submit', host: 'h', path: '/p', submission: submission.val } }))
      expect(decodeClientMessage(message)).to.equal(message)
    }), { seed: 5, numRuns: 1000 })
    expect(acceptedCount).to.be.above(100)
  })
})

describe('decodeManifest', () => {
  const manifest = createDevManifest(7) as { readonly routes: readonly object[], readonly services: readonly object[], readonly version: number }
  const [route] = manifest.routes

  it('keeps the document, so that operators can read it back', () => {
    const document = JSON.stringify(manifest)
    const decoded = decodeManifest(document).unwrap()
    expect(decoded).to.deep.include({ version: 7, document })
    expect(decoded.queues[0]).to.include({ name: 'plans', pool: 'tastings', maximumAttempts: 2, slackFactor: 2, targetLatencyMs: 300 })
  })

  it('decodes the allowed regions of a route, and treats an empty list as no restriction', () => {
    const regionsOf = (changes: object): unknown => decodeManifest(JSON.stringify({ ...manifest, routes: [{ ...route, ...changes }] })).unwrap().queues[0]?.allowedRegions
    expect([regionsOf({ allowedRegions: ['north'] }), regionsOf({ allowedRegions: [] }), regionsOf({})]).to.deep.equal([['north'], undefined, undefined])
  })

  const invalid: ReadonlyArray<readonly [string, string]> = [
    ['regions that are not a list', JSON.stringify({ ...manifest, routes: [{ ...route, allowedRegions: 'north' }] })],
    ['a truncated document', JSON.stringify(manifest).slice(0, -5)],
    ['a route to an unknown service', JSON.stringify({ ...manifest, services: [] })],
    ['two routes with the same host and path prefix', JSON.stringify({ ...manifest, routes: [route, { ...route, name: 'other' }] })],
    ['a timeout of 0', JSON.stringify({ ...manifest, routes: [{ ...route, timeoutMs: 0 }] })],
    ['an infinite objective, which the log cannot encode', JSON.stringify({ ...manifest, routes: [{ ...route, targetLatencyMs: 0 }] }).replace('"targetLatencyMs":0', '"targetLatencyMs":1e999')],
    ['a version that is not a safe integer and cannot be incremented', JSON.stringify({ ...manifest, version: 2 ** 53 })],
    ['a manifest without a version', JSON.stringify({ ...manifest, version: undefined })]
  ]
  for (const [what, document] of invalid) {
    it(`rejects ${what}`, () => {
      expect(decodeManifest(document).val).to.include({ code: 'manifest/invalid' })
    })
  }
})

describe('decodeHeartbeat', () => {
  const heartbeat = { service: 's', address: '127.0.0.1:1', zone: 'a', state: 'ready', capacity: { cpu: 16000, memMb: 1, gpu: 0 }, labels: ['a', 'r1-3'], clockMs: 5, sequence: 4, born: 17 }

  it('reads the rack from the second label, and converts thousandths of a core to cores', () => {
    expect(decodeHeartbeat('i-1', JSON.stringify(heartbeat))).to.deep.include({ workerId: 'i-1', bornMs: 17, rack: 'r1-3', capacity: { processors: 16, memoryMb: 1, accelerators: 0 }, isDraining: false })
  })

  it('reads how long a worker stays slow after its start, and defaults to 0', () => {
    const coldMs = (changes: object): number | undefined => decodeHeartbeat('i-1', JSON.stringify({ ...heartbeat, ...changes }))?.coldMs
    expect([coldMs({ coldRemainingMs: 2500 }), coldMs({ coldRemainingMs: -5 }), coldMs({})]).to.deep.equal([2500, 0, 0])
  })

  const malformed: ReadonlyArray<readonly [string, string]> = [
    ['a heartbeat without `born`', JSON.stringify({ ...heartbeat, born: undefined })],
    ['a `born` that is a string', JSON.stringify({ ...heartbeat, born: '17' })],
    ['an infinite clock', JSON.stringify(heartbeat).replace('"clockMs":5', '"clockMs":1e999')],
    ['an unknown state', JSON.stringify({ ...heartbeat, state: 'sleepy' })],
    ['a heartbeat without a capacity', JSON.stringify({ ...heartbeat, capacity: undefined })],
    ['a body that is not JSON', '\u0000{']
  ]
  for (const [what, body] of malformed) {
    it(`rejects ${what}`, () => {
      expect(decodeHeartbeat('i-1', body)).to.equal(undefined)
    })
  }
})
