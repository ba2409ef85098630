import { expect } from 'chai'
import fc from 'fast-check'
import { JobBook, shownStateOf, type JobOperation, type JobState, type RunEnd } from '../..'
import { acceptOf, jobIdOf, manifestOf, queueOf, stepOf, submissionOf } from '../../__tests__/fixtures'

const first = `${jobIdOf(1)}.0.0.0`

function end (task: string, run: number, how: RunEnd, worker = 'w1', at = 2000): JobOperation {
  return { type: 'endRun', task, run, worker, end: how, checkpoint: '', at }
}

function assign (task: string, run: number, worker = 'w1'): JobOperation {
  return { type: 'assignRun', task, run, worker }
}

function bookWith (...operations: readonly JobOperation[]): JobBook {
  const book = new JobBook()
  for (const operation of operations) book.apply(operation)
  return book
}

describe('the job book', () => {
  it('keeps one job per id, even if it is submitted again after its end or its cancellation', () => {
    const book = bookWith(acceptOf(1), { type: 'cancelJob', jobId: jobIdOf(1), at: 1500 })
    expect(book.apply(acceptOf(1))).to.equal(false)
    expect(book.job(jobIdOf(1))?.state).to.equal('cancelled')
  })

  it('remembers the cancel of an unknown job in its snapshot, and for two minutes', () => {
    const book = new JobBook()
    book.load(JSON.parse(JSON.stringify(bookWith({ type: 'cancelJob', jobId: jobIdOf(1), at: 1000 }).save())))
    expect([book.wasCancelledEarly(jobIdOf(1), 121_000), book.wasCancelledEarly(jobIdOf(1), 121_001), book.wasCancelledEarly(jobIdOf(2), 1000)]).to.deep.equal([true, false, false])
    book.apply({ type: 'cancelJob', jobId: jobIdOf(2), at: 121_001 })
    expect(book.save().earlyCancels).to.deep.equal([{ jobId: jobIdOf(2), at: 121_001 }])
  })

  it('remembers the newest 10,000 cancels of unknown jobs', () => {
    const book = new JobBook()
    for (let number = 0; number < 10_001; number += 1) book.apply({ type: 'cancelJob', jobId: jobIdOf(number), at: 1000 })
    expect([0, 1, 10_000].map(number => book.wasCancelledEarly(jobIdOf(number), 1000))).to.deep.equal([false, true, true])
  })

  it('does not remember that an unknown job was given up', () => {
    expect(new JobBook().apply({ type: 'cancelJob', jobId: jobIdOf(1), at: 1000, failedTask: first })).to.equal(false)
  })

  it('does not remember the cancel of an id that no job can have, as it may have any length', () => {
    expect(bookWith({ type: 'cancelJob', jobId: 'a'.repeat(10_000), at: 1000 }).save().earlyCancels).to.deep.equal([])
  })

  it('assigns a task to one worker at a time, and only under the next run number', () => {
    const book = bookWith(acceptOf(1))
    expect(book.apply(assign(first, 2))).to.equal(false)
    expect(book.apply(assign(first, 1))).to.equal(true)
    expect(book.apply(assign(first, 2, 'w2'))).to.equal(false)
    expect(book.task(first)).to.include({ state: 'live', run: 1, worker: 'w1' })
  })

  it('counts the end of a run once, and ignores the end of a run that was released before', () => {
    const book = bookWith(acceptOf(1), assign(first, 1), { type: 'releaseRun', task: first, run: 1, worker: 'w1', checkpoint: 'half' })
    expect(book.apply(end(first, 1, 'done'))).to.equal(false)
    expect(book.task(first)).to.include({ state: 'waiting', checkpoint: 'half' })
    expect(book.apply(assign(first, 2, 'w2'))).to.equal(true)
    expect(book.apply(end(first, 1, 'done'))).to.equal(false)
    expect(book.apply(end(first, 2, 'done', 'w2'))).to.equal(true)
    expect(book.apply(end(first, 2, 'done', 'w2'))).to.equal(false)
    expect(book.job(jobIdOf(1))?.state).to.equal('complete')
  })

  it('starts a step only after all tasks of the steps it depends on are done', () => {
    const book = bookWith(acceptOf(1, [stepOf({ count: 2 }), stepOf({ dependsOn: [0] })]))
    const startable = (): readonly number[] => book.startableSteps(book.job(jobIdOf(1)) as never).map(group => group.stepNumber)
    expect(startable()).to.deep.equal([0])
    for (const index of [0, 1]) {
      book.apply(assign(`${jobIdOf(1)}.0.0.${index}`, 1))
      book.apply(end(`${jobIdOf(1)}.0.0.${index}`, 1, 'done'))
      expect(startable()).to.deep.equal(index === 0 ? [0] : [1])
    }
  })

  it('fails a job after the last attempt of a task, and not for ends without a failure of the task', () => {
    const book = bookWith(acceptOf(1))
    const ends: readonly RunEnd[] = ['stopped', 'lapsed', 'broken', 'alone', 'failed', 'stopped', 'failed']
    ends.forEach((how, position) => {
      expect(book.job(jobIdOf(1))?.state).not.to.equal('failed')
      book.apply(assign(first, position + 1))
      book.apply(end(first, position + 1, how))
    })
    expect(book.job(jobIdOf(1))?.state).to.equal('failed')
    expect(book.apply(assign(first, ends.length + 1))).to.equal(false)
  })

  it('restarts a long-running task regardless of how its run ends', () => {
    const book = bookWith(acceptOf(1, [stepOf({ isLongRunning: true })]))
    for (let run = 1; run <= 5; run += 1) {
      expect(book.apply(assign(first, run))).to.equal(true)
      book.apply(end(first, run, run % 2 === 0 ? 'done' : 'failed'))
    }
    expect(book.job(jobIdOf(1))?.state).to.equal('active')
  })

  it('keeps the resources of a cancelled run reserved until its end is listed', () => {
    const book = bookWith(acceptOf(1, [stepOf({ processors: 3 })]), assign(first, 1), { type: 'cancelJob', jobId: jobIdOf(1), at: 1500 })
    expect(book.reservedOn('w1').processors).to.equal(3)
    book.apply(end(first, 1, 'stopped'))
    expect(book.reservedOn('w1').processors).to.equal(0)
    expect(book.job(jobIdOf(1))?.state).to.equal('cancelled')
  })

  it('reserves memory but no processors for a filling task', () => {
    const book = bookWith(acceptOf(1, [stepOf({ processors: 3, memoryMb: 70, isFilling: true })]), assign(first, 1))
    expect(book.reservedOn('w1')).to.deep.equal({ processors: 0, memoryMb: 70, accelerators: 0 })
  })

  it('keeps the manifest with the highest version', () => {
    const book = bookWith({ type: 'putManifest', manifest: manifestOf(5) }, { type: 'putManifest', manifest: manifestOf(3) }, { type: 'putManifest', manifest: { ...manifestOf(5), document: 'other' } })
    expect(book.manifest).to.deep.equal(manifestOf(5))
  })

  it('counts a job as queued until a worker has confirmed one of its runs', () => {
    const book = bookWith(acceptOf(1), acceptOf(2))
    const shown = (): JobState => shownStateOf(book.job(jobIdOf(1)) ?? { state: 'failed' })
    book.apply(assign(first, 1))
    expect(book.countQueued('plans')).to.equal(2)
    expect(shown()).to.equal('queued')
    expect(book.apply({ type: 'beginJobs', jobIds: [jobIdOf(1), jobIdOf(7)] })).to.equal(true)
    expect(book.countQueued('plans')).to.equal(1)
    expect(shown()).to.equal('active')
    expect(book.apply({ type: 'beginJobs', jobIds: [jobIdOf(1)] })).to.equal(false)
  })

  it('counts a job as queued again while none of its runs was ever confirmed, though all of them were released', () => {
    const book = bookWith(acceptOf(1), assign(first, 1), { type: 'releaseRun', task: first, run: 1, worker: 'w1', checkpoint: '' })
    expect(book.countQueued('plans')).to.equal(1)
  })

  it('does not count a job as queued of which an end of a run was listed', () => {
    const book = bookWith(acceptOf(1), assign(first, 1), { type: 'endRun', task: first, run: 1, worker: 'w1', end: 'failed', checkpoint: '', at: 1000 })
    expect(book.countQueued('plans')).to.equal(0)
  })

  it('behaves the same after it is saved and loaded at any point', () => {
    const step = fc.record({ task: fc.integer({ min: 0, max: 2 }), run: fc.integer({ min: 1, max: 3 }), worker: fc.constantFrom('w1', 'w2'), how: fc.constantFrom<RunEnd>('done', 'failed', 'stopped'), kind: fc.constantFrom('assign', 'end', 'release', 'crash', 'clear', 'cancel', 'fail', 'accept', 'begin') })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), fc.nat({ max: 60 }), (steps, saveAt) => {
      const whole = new JobBook()
      let copy = new JobBook()
      steps.forEach(({ task, run, worker, how, kind }, position) => {
        const name = `${jobIdOf(task)}.0.0.0`
        const operation: JobOperation = kind === 'assign'
          ? assign(name, run, worker)
          : kind === 'end'
            ? end(name, run, how, worker)
            : kind === 'begin'
              ? { type: 'beginJobs', jobIds: [jobIdOf(task)] }
              : kind === 'release' || kind === 'crash'
                ? { type: 'releaseRun', task: name, run, worker, checkpoint: '', ...(kind === 'crash' ? { crash: { share: 0.3, ageMs: 11 } } : {}) }
                : kind === 'clear'
                  ? { type: 'clearSuspicion', task: name, run }
                  : kind === 'cancel' || kind === 'fail' ? { type: 'cancelJob', jobId: jobIdOf(task), at: 10, ...(kind === 'fail' ? { failedTask: name } : {}) } : acceptOf(task)
        const changed = whole.apply(operation)
        expect(copy.apply(operation)).to.equal(changed)
        if (position !== saveAt) return
        const saved = JSON.parse(JSON.stringify(copy.save())) as ReturnType<JobBook['save']>
        copy = new JobBook()
        copy.load(saved)
      })
      expect(copy.save()).to.deep.equal(whole.save())
      for (const worker of ['w1', 'w2']) {
        expect(copy.reservedOn(worker)).to.deep.equal(whole.reservedOn(worker))
        expect(copy.hasSuspectOn(worker)).to.equal(whole.hasSuspectOn(worker))
      }
    }), { seed: 20261204, numRuns: 200 })
  })

  it('shows a job as failed that is given up because of one of its tasks, and stops its runs', () => {
    const book = bookWith(acceptOf(1), assign(first, 1), { type: 'cancelJob', jobId: jobIdOf(1), at: 1500, failedTask: first })
    expect(book.job(jobIdOf(1))).to.include({ state: 'failed', endedAt: 1500 })
    expect(book.liveOn('w1').size).to.equal(1)
    expect(book.apply({ type: 'cancelJob', jobId: jobIdOf(1), at: 1600 })).to.equal(false)
  })

  it('knows where suspects of crashes run, until a run outlives the suspicion', () => {
    const crash = { share: 0.4, ageMs: 11 }
    const book = bookWith(acceptOf(1), assign(first, 1), { type: 'releaseRun', task: first, run: 1, worker: 'w1', checkpoint: '', crash }, assign(first, 2, 'w2'))
    expect([book.hasSuspectOn('w1'), book.hasSuspectOn('w2')]).to.deep.equal([false, true])
    expect([...book.suspects()]).to.deep.equal([first])
    expect(book.task(first)?.suspicion).to.deep.equal({ crashes: [crash] })
    expect(book.apply({ type: 'clearSuspicion', task: first, run: 1 })).to.equal(false)
    expect(book.apply({ type: 'clearSuspicion', task: first, run: 2 })).to.equal(true)
    expect(book.hasSuspectOn('w2')).to.equal(false)
    expect([...book.suspects()]).to.deep.equal([])
    expect(book.task(first)).to.include({ state: 'live', run: 2 }).and.not.to.have.property('suspicion')
  })

  it('keeps the newest learned pressure of each image pair across a snapshot', () => {
    const book = new JobBook()
    const pair = { servingImage: 's', fillingImage: 'f', mean: 1, deviation: 0.5 }
    book.apply({ type: 'learnPressures', pressures: [pair, { ...pair, fillingImage: 'g' }] })
    book.apply({ type: 'learnPressures', pressures: [{ ...pair, mean: 0.1 }] })
    const restored = new JobBook()
    restored.load(structuredClone(book.save()))
    expect(restored.pressures).to.deep.equal([{ ...pair, fillingImage: 'g' }, { ...pair, mean: 0.1 }])
  })

  it('keeps the origin zone of a job across a snapshot, and loads jobs without one from earlier versions', () => {
    const book = new JobBook()
    book.apply({ type: 'acceptJob', submission: submissionOf(1, [stepOf()], { originZone: 'a' }), queue: queueOf(), at: 0 })
    book.apply(acceptOf(2))
    const saved = JSON.parse(JSON.stringify(book.save())) as ReturnType<JobBook['save']>
    expect(saved.jobs.map(job => Object.hasOwn(job, 'originZone'))).to.deep.equal([true, false])
    const restored = new JobBook()
    restored.load(saved)
    expect([1, 2].map(number => restored.job(jobIdOf(number))?.originZone)).to.deep.equal(['a', undefined])
  })

  it('keeps only the state of ended jobs in a snapshot, and decides the same after loading it', () => {
    const book = new JobBook()
    const operations: readonly JobOperation[] = [
      acceptOf(1, [stepOf({ count: 2 })]),
      acceptOf(2),
      { type: 'assignRun', task: `${jobIdOf(1)}.0.0.0`, run: 1, worker: 'w1' },
      { type: 'cancelJob', jobId: jobIdOf(1), at: 2000 },
      { type: 'cancelJob', jobId: jobIdOf(2), at: 2000 }
    ]
    for (const operation of operations) book.apply(operation)
    const restored = new JobBook()
    const snapshot = structuredClone(book.save())
    restored.load(snapshot)
    expect(snapshot.jobs.map(job => job.tasks.length), 'the first job still has a run on a worker').to.deep.equal([2, 0])
    const later: readonly JobOperation[] = [
      acceptOf(2),
      { type: 'assignRun', task: `${jobIdOf(2)}.0.0.0`, run: 1, worker: 'w1' },
      { type: 'endRun', task: `${jobIdOf(2)}.0.0.0`, run: 1, worker: 'w1', end: 'done', checkpoint: '', at: 3000 },
      { type: 'endRun', task: `${jobIdOf(1)}.0.0.0`, run: 1, worker: 'w1', end: 'stopped', checkpoint: '', at: 3000 },
      { type: 'cancelJob', jobId: jobIdOf(2), at: 3000 }
    ]
    expect(later.map(operation => restored.apply(operation))).to.deep.equal(later.map(operation => book.apply(operation)))
    expect(restored.save()).to.deep.equal(book.save())
  })

  describe('with evacuated zones', () => {
    const start = (zone: string, at = 1000): JobOperation => ({ type: 'startEvacuation', zone, at })

    it('reports no change for a repeated start or end of an evacuation, so that the log shows which one took effect', () => {
      const book = new JobBook()
      expect([start('a'), start('a', 2000), { type: 'endEvacuation', zone: 'a', at: 3000 } as const, { type: 'endEvacuation', zone: 'a', at: 4000 } as const].map(operation => book.apply(operation))).to.deep.equal([true, false, true, false])
      expect([...book.evacuatedZones.keys()]).to.deep.equal([])
    })

    it('keeps evacuations across a snapshot, so that the loss of all processes ends no evacuation', () => {
      const book = bookWith(start('b'), start('a'), start('c'), { type: 'endEvacuation', zone: 'c', at: 2000 })
      const restored = new JobBook()
      restored.load(JSON.parse(JSON.stringify(book.save())) as ReturnType<JobBook['save']>)
      expect([...restored.evacuatedZones.values()]).to.deep.equal([{ zone: 'b', at: 1000 }, { zone: 'a', at: 1000 }])
      expect(restored.save()).to.deep.equal(book.save())
    })

    it('loads a snapshot of an earlier version without the field as one without evacuations', () => {
      const { evacuations: _absent, ...earlier } = bookWith(acceptOf(1)).save()
      const book = bookWith(start('a'))
      book.load(earlier)
      expect([...book.evacuatedZones.keys()]).to.deep.equal([])
      expect(book.job(jobIdOf(1))?.state).to.equal('queued')
    })
  })
})
