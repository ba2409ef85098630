import { expect } from 'chai'
import fc from 'fast-check'
import { decodeHeartbeat, decodeManifest, decodeSubmission } from '..'
import { createDevManifest } from '../standIn'
import { decodeClientMessage } from '../../tasks/jobs/controlCodec'

describe('the decoder of submissions', () => {
  const phase = { count: 4, cpu: 500, memMb: 256, estimateMs: 900 }

  it('takes fields that are left out as nothing, and gives each what it holds', () => {
    const decoded = decodeSubmission(JSON.stringify({
      spec: 'text',
      phases: [phase, { ...phase, dependsOn: [0], checkpointed: true, fillCount: true, image: 'i', maxPerServer: 2, dataRack: 'r1', unknown: 1 }]
    })).unwrap()
    expect(decoded.steps[0]).to.include({ count: 4, processors: 0.5, memoryMb: 256, accelerators: 0, isLongRunning: false, isFilling: false, requiredLabel: '' })
    expect(decoded.steps[1]).to.deep.include({ dependsOn: [0], isCheckpointed: true, isFilling: true, image: 'i', maximumPerWorker: 2, dataRack: 'r1' })
    expect(decoded.schedule).to.equal(undefined)
  })

  it('takes a schedule', () => {
    const decoded = decodeSubmission(JSON.stringify({ phases: [phase], repeatCount: 3, startAtMs: 1000, intervalMs: 50 })).unwrap()
    expect(decoded.schedule).to.deep.equal({ count: 3, startAtMs: 1000, intervalMs: 50 })
  })

  const malformed: ReadonlyArray<readonly [string, string]> = [
    ['cut short', '{"phases":[{"co'],
    ['without steps', '{"phases":[]}'],
    ['with a step that is no object', '{"phases":[7]}'],
    ['with a mistyped count', JSON.stringify({ phases: [{ ...phase, count: '4' }] })],
    ['with a fraction of a task', JSON.stringify({ phases: [{ ...phase, count: 1.5 }] })],
    ['with more tasks than a leader can make records of', JSON.stringify({ phases: [{ ...phase, count: 1_000_000_000 }] })],
    ['with more tasks than that by its occurrences', JSON.stringify({ phases: [phase], repeatCount: 1_000_000_000 })],
    ['with more steps than a plan can compare', JSON.stringify({ phases: Array.from({ length: 201 }, () => phase) })],
    ['with an infinite time, which the leader could not be told', `{"phases":[${JSON.stringify(phase)}],"repeatCount":1,"startAtMs":1e999}`],
    ['with a step that depends on itself', JSON.stringify({ phases: [{ ...phase, dependsOn: [0] }] })]
  ]
  for (const [what, body] of malformed) {
    it(`refuses one ${what}`, () => {
      expect(decodeSubmission(body).val).to.include({ code: 'request/malformed' })
    })
  }
})

describe('every submission that the entry takes', () => {
  it('is taken by the leader, so that no caller can break the stream between them', () => {
    const number = fc.oneof({ weight: 19, arbitrary: fc.nat(50) }, { weight: 1, arbitrary: fc.constantFrom(0, -1, 0.5, 1e15, 1e300) })
    const phase = fc.record({ count: fc.integer({ min: 1, max: 3 }), cpu: number, estimateMs: number, dependsOn: fc.array(fc.nat(2), { maxLength: 2 }), targetMs: number, fillCount: fc.oneof(fc.boolean(), number), maxUnavailable: number, image: fc.string() }, { requiredKeys: ['count'] })
    const body = fc.record({ spec: fc.string(), phases: fc.array(phase, { minLength: 1, maxLength: 3 }), repeatCount: number, startAtMs: number, intervalMs: number }, { requiredKeys: ['phases'] })
    let taken = 0
    fc.assert(fc.property(body, value => {
      const submission = decodeSubmission(JSON.stringify(value))
      if (!submission.ok) return
      taken += 1
      const message: unknown = JSON.parse(JSON.stringify({ type: 'call', id: 1, call: { type: 'submit', host: 'h', path: '/p', submission: submission.val } }))
      expect(decodeClientMessage(message)).to.equal(message)
    }), { seed: 5, numRuns: 1000 })
    expect(taken).to.be.above(100)
  })
})

describe('the decoder of manifests', () => {
  const manifest = createDevManifest(7) as { readonly routes: readonly object[], readonly services: readonly object[], readonly version: number }
  const [route] = manifest.routes

  it('keeps the document for reading back', () => {
    const document = JSON.stringify(manifest)
    const decoded = decodeManifest(document).unwrap()
    expect(decoded).to.deep.include({ version: 7, document })
    expect(decoded.queues[0]).to.include({ name: 'plans', pool: 'tastings', maximumAttempts: 2, slackFactor: 2, targetLatencyMs: 300 })
  })

  it('takes the regions of a route, and none as no restriction', () => {
    const regionsOf = (changes: object): unknown => decodeManifest(JSON.stringify({ ...manifest, routes: [{ ...route, ...changes }] })).unwrap().queues[0]?.allowedRegions
    expect([regionsOf({ allowedRegions: ['north'] }), regionsOf({ allowedRegions: [] }), regionsOf({})]).to.deep.equal([['north'], undefined, undefined])
  })

  const invalid: ReadonlyArray<readonly [string, string]> = [
    ['with regions that are no list', JSON.stringify({ ...manifest, routes: [{ ...route, allowedRegions: 'north' }] })],
    ['cut short', JSON.stringify(manifest).slice(0, -5)],
    ['of an unknown service', JSON.stringify({ ...manifest, services: [] })],
    ['with two routes in one place', JSON.stringify({ ...manifest, routes: [route, { ...route, name: 'other' }] })],
    ['with a time-out of 0', JSON.stringify({ ...manifest, routes: [{ ...route, timeoutMs: 0 }] })],
    ['with an infinite objective, which the log can not carry', JSON.stringify({ ...manifest, routes: [{ ...route, targetLatencyMs: 0 }] }).replace('"targetLatencyMs":0', '"targetLatencyMs":1e999')],
    ['of a version that can not be counted on from', JSON.stringify({ ...manifest, version: 2 ** 53 })],
    ['without a version', JSON.stringify({ ...manifest, version: undefined })]
  ]
  for (const [what, document] of invalid) {
    it(`refuses one ${what}`, () => {
      expect(decodeManifest(document).val).to.include({ code: 'manifest/invalid' })
    })
  }
})

describe('the decoder of heartbeats', () => {
  const beat = { service: 's', address: '127.0.0.1:1', zone: 'a', state: 'ready', capacity: { cpu: 16000, memMb: 1, gpu: 0 }, labels: ['a', 'r1-3'], clockMs: 5, sequence: 4, born: 17 }

  it('tells the rack from the kind, and cores from thousandths of them', () => {
    expect(decodeHeartbeat('i-1', JSON.stringify(beat))).to.deep.include({ workerId: 'i-1', bornMs: 17, rack: 'r1-3', capacity: { processors: 16, memoryMb: 1, accelerators: 0 }, isDraining: false })
  })

  it('tells how much longer a worker is slow after its start, and that one which says nothing of it is not', () => {
    const coldMs = (changes: object): number | undefined => decodeHeartbeat('i-1', JSON.stringify({ ...beat, ...changes }))?.coldMs
    expect([coldMs({ coldRemainingMs: 2500 }), coldMs({ coldRemainingMs: -5 }), coldMs({})]).to.deep.equal([2500, 0, 0])
  })

  const malformed: ReadonlyArray<readonly [string, string]> = [
    ['without its birth', JSON.stringify({ ...beat, born: undefined })],
    ['with a birth of another type', JSON.stringify({ ...beat, born: '17' })],
    ['with an infinite clock', JSON.stringify(beat).replace('"clockMs":5', '"clockMs":1e999')],
    ['with a state that is not known', JSON.stringify({ ...beat, state: 'sleepy' })],
    ['with a capacity that is missing', JSON.stringify({ ...beat, capacity: undefined })],
    ['that can not be read', '\u0000{']
  ]
  for (const [what, body] of malformed) {
    it(`takes one ${what} for no worker`, () => {
      expect(decodeHeartbeat('i-1', body)).to.equal(undefined)
    })
  }
})
