import { expect } from 'chai'
import fc from 'fast-check'
import { addResources, hasRoomFor, Ledger, noResources, type LedgerCommand } from '..'
import type { CatalogueEntry } from '../../catalogue'

const entry: CatalogueEntry = {
  name: 'pairings',
  organisation: 'cartago',
  workClass: 'batch',
  urgent: false,
  cell: 'main',
  limits: { processors: 2, memoryMb: 1000, accelerators: 0, concurrency: 1, queue: 0, deadlineMs: 1000, instances: 0 }
}

const capacity = { processors: 4, memoryMb: 4000, accelerators: 1 }
const reservation = { processors: 2, memoryMb: 1000, accelerators: 0 }
const taskId = fc.constantFrom('t1', 't2', 't3', 't4', 't5')
const worker = fc.constantFrom('w1', 'w2')
const attempt = fc.integer({ min: 1, max: 4 })
const at = fc.constant(0)

const command: fc.Arbitrary<LedgerCommand> = fc.oneof(
  fc.record({ type: fc.constant('submitTask' as const), taskId, entry: fc.constant('pairings'), at, input: fc.constant('') }),
  fc.record({ type: fc.constant('assignTask' as const), taskId, attempt, worker, reservation: fc.constant(reservation), at }),
  fc.record({ type: fc.constant('assignTask' as const), taskId, attempt, worker, reservation: fc.constant(reservation), at }),
  fc.record({ type: fc.constant('evictTask' as const), taskId, attempt, at }),
  fc.record({ type: fc.constant('releaseTask' as const), taskId, attempt, reason: fc.constantFrom('evicted' as const, 'failed' as const, 'leaseExpired' as const), at }),
  fc.record({ type: fc.constant('finishTask' as const), taskId, attempt, result: fc.string({ maxLength: 3 }), at }),
  fc.record({ type: fc.constant('cancelTask' as const), taskId, at }),
  fc.record({ type: fc.constant('registerWorker' as const), name: worker, incarnation: fc.constantFrom('i1', 'i2'), capacity: fc.constant(capacity), rack: fc.constant('r'), zone: fc.constant('a'), at }),
  fc.record({ type: fc.constant('setQuota' as const), organisation: fc.constant('cartago'), quota: fc.constant({ processors: 6, memoryMb: 9000, accelerators: 0 }) })
)

function createLedger (): Ledger {
  const ledger = new Ledger()
  ledger.apply({ type: 'changeEntry', changeId: 'c', by: 'test', at: 0, name: entry.name, expectedVersion: 0, entry })
  for (const name of ['w1', 'w2']) ledger.apply({ type: 'registerWorker', name, incarnation: 'i1', capacity, rack: 'r', zone: 'a', at: 0 })
  return ledger
}

function checkReservations (ledger: Ledger): void {
  for (const { name } of ledger.workers()) {
    const live = ledger.liveTasks().filter(task => task.assignment?.worker === name)
    const sum = live.reduce((total, task) => addResources(total, task.assignment?.reservation ?? noResources), noResources)
    expect(hasRoomFor(capacity, sum), `${name} holds ${JSON.stringify(sum)}`).to.equal(true)
    expect(ledger.reservedOn(name)).to.deep.equal(sum)
  }
}

describe('the ledger', () => {
  it('never exceeds a capacity, keeps attempts in order and records one result for any sequence of commands', () => {
    fc.assert(fc.property(fc.array(command, { minLength: 50, maxLength: 200, size: 'max' }), commands => {
      const ledger = createLedger()
      const results = new Map<string, string>()
      const attempts = new Map<string, number>()
      for (const proposal of commands) {
        ledger.apply(proposal)
        checkReservations(ledger)
        for (const task of ledger.allTasks()) {
          expect(task.attempt).to.be.oneOf([attempts.get(task.taskId) ?? 0, (attempts.get(task.taskId) ?? 0) + 1])
          attempts.set(task.taskId, task.attempt)
          if (task.result !== undefined) {
            expect(task.result).to.equal(results.get(task.taskId) ?? task.result)
            results.set(task.taskId, task.result)
          }
        }
      }
    }), { seed: 20261203, numRuns: 200, endOnFailure: true })
  })

  it('is restored unchanged from a snapshot', () => {
    fc.assert(fc.property(fc.array(command, { minLength: 20, maxLength: 80, size: 'max' }), commands => {
      const ledger = createLedger()
      for (const proposal of commands) ledger.apply(proposal)
      const copy = new Ledger()
      copy.load(JSON.parse(JSON.stringify(ledger.save())) as ReturnType<Ledger['save']>)
      expect(copy.save()).to.deep.equal(ledger.save())
      for (const name of ['w1', 'w2']) expect(copy.reservedOn(name)).to.deep.equal(ledger.reservedOn(name))
    }), { seed: 20261203, numRuns: 100, endOnFailure: true })
  })

  it('accepts only one of two changes with the same expected version, and answers a resend with the first answer', () => {
    const ledger = createLedger()
    const change = (changeId: string, processors: number): LedgerCommand => ({
      type: 'changeEntry', changeId, by: changeId, at: 0, name: entry.name, expectedVersion: 1, entry: { ...entry, limits: { ...entry.limits, processors } }
    })
    const won = ledger.apply(change('first', 3))
    const lost = ledger.apply(change('second', 4))
    expect([won.ok, lost.ok]).to.deep.equal([true, false])
    expect(ledger.apply(change('first', 3)).val).to.deep.equal(won.val)
    expect(ledger.apply(change('second', 4)).ok).to.equal(false)
    expect(ledger.entry(entry.name)?.limits.processors).to.equal(3)
    expect(ledger.revision).to.equal(2)
  })

  it('keeps the version of a removed entry, so that an outdated change cannot restore it', () => {
    const ledger = createLedger()
    ledger.apply({ type: 'changeEntry', changeId: 'r', by: 'test', at: 0, name: entry.name, expectedVersion: 1 })
    const again = ledger.apply({ type: 'changeEntry', changeId: 'old', by: 'test', at: 0, name: entry.name, expectedVersion: 0, entry })
    expect(again.ok).to.equal(false)
    expect(ledger.entry(entry.name)).to.equal(undefined)
  })

  it('assigns a key to one attempt at a time and keeps the first recorded end', () => {
    const ledger = createLedger()
    const open = (requestId: string) => ledger.apply({ type: 'openClaim', key: 'k', digest: 'd', target: { agent: 'a', incarnation: 'i', requestId }, at: 0, expiresAt: 100 }).val
    expect(open('r1')).to.include({ isNew: true })
    expect(open('r2')).to.include({ isNew: false })
    ledger.apply({ type: 'moveClaim', key: 'k', attempt: 1, target: { agent: 'b', incarnation: 'i', requestId: 'r2' } })
    expect(ledger.apply({ type: 'endClaim', key: 'k', attempt: 1, outcome: 'answered' }).ok).to.equal(false)
    ledger.apply({ type: 'endClaim', key: 'k', attempt: 2, outcome: 'answered' })
    ledger.apply({ type: 'endClaim', key: 'k', attempt: 2, outcome: 'notRun' })
    expect(ledger.claim('k')?.state).to.equal('answered')
    expect(open('r3')).to.include({ isNew: false })
  })

  it('enforces the quota of an organisation', () => {
    const ledger = createLedger()
    ledger.apply({ type: 'setQuota', organisation: 'cartago', quota: { processors: 3, memoryMb: 9000, accelerators: 0 } })
    for (const id of ['t1', 't2']) ledger.apply({ type: 'submitTask', taskId: id, entry: entry.name, at: 0, input: '' })
    const assign = (id: string) => ledger.apply({ type: 'assignTask', taskId: id, attempt: 1, worker: 'w1', reservation, at: 0 })
    expect([assign('t1').ok, assign('t2').ok]).to.deep.equal([true, false])
  })
})
