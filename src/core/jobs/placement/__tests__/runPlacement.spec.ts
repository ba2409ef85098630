import { expect } from 'chai'
import { JobBook, WorkerRoster, type Job, type JobOperation, type Step } from '../..'
import { createCandidate, reserveResources, type Candidate } from '../candidate'
import { PressureModel } from '../../filling'
import { separatesImages } from '../imageGrouping'
import { suitability, type PlacementContext } from '../runPlacement'
import { WorkerRanking } from '../workerRanking'
import { acceptOf, jobIdOf, reportOf, stepOf } from '../../__tests__/fixtures'

const capacity = { processors: 64, memoryMb: 250_000, accelerators: 0 }
const serving = (image: string): Step => stepOf({ processors: 13, image, targetMs: 150, isLongRunning: true })
const filling = (image: string): Step => stepOf({ processors: 6, image, isFilling: true })

/** A pressure model with known means for image pairs, given as 'serving filling'. */
function modelOf (pairs: Readonly<Record<string, number>>): PressureModel {
  const model = new PressureModel()
  model.begin(Object.entries(pairs).map(([pair, mean]) => {
    const [servingImage = '', fillingImage = ''] = pair.split(' ')
    return { servingImage, fillingImage, mean, deviation: 0 }
  }))
  return model
}

describe('the choice of a worker', () => {
  let book: JobBook
  let roster: WorkerRoster

  beforeEach(() => {
    book = new JobBook()
    roster = new WorkerRoster()
  })

  /** Candidates whose workers run serving tasks of the given images. */
  function candidatesOf (held: Readonly<Record<string, readonly string[]>>): readonly Candidate[] {
    let number = 100
    return Object.entries(held).map(([worker, images]) => {
      roster.report(`agent-${worker}`, reportOf(worker, { capacity }), 0)
      for (const image of images) {
        number += 1
        const assign: JobOperation = { type: 'assignRun', task: `${jobIdOf(number)}.0.0.0`, run: 1, worker }
        for (const operation of [acceptOf(number, [serving(image)]), assign]) book.apply(operation)
      }
      const known = roster.find(worker)
      if (known === undefined) throw new Error('the roster did not accept the report of the worker')
      return createCandidate(known, book, Number.POSITIVE_INFINITY)
    })
  }

  /** Places tasks of a step one after another and returns their workers. */
  function place (candidates: readonly Candidate[], step: Step, count: number, pressure: PressureModel, changes: Partial<PlacementContext> = {}): ReadonlyArray<string | undefined> {
    book.apply(acceptOf(1, [step]))
    const job = book.job(jobIdOf(1)) as Job
    const group = { job, step, stepNumber: 0, occurrence: 0, tasks: job.tasks }
    const ranking = new WorkerRanking(candidates, candidate => suitability(candidate, group, { liveOfStep: new Map(), pressure, ...changes }))
    return Array.from({ length: count }, () => {
      const chosen = ranking.best()
      if (chosen !== undefined) reserveResources(chosen, step)
      if (chosen !== undefined) ranking.update(chosen)
      return chosen?.known.report.worker
    })
  }

  it('places filling tasks without pressure on processors that serving tasks have reserved but do not use', () => {
    const candidates = candidatesOf({ w1: ['s', 's', 's', 's'] })
    const placed = place(candidates, filling('light'), 10, modelOf({ 's light': 0 }))
    expect(placed.filter(worker => worker === 'w1').length).to.be.within(5, 8)
  })

  it('places only one filling task beside a serving task while the pressure of their image pair is unknown', () => {
    const candidates = candidatesOf({ w1: ['s'] })
    expect(place(candidates, filling('new'), 3, new PressureModel())).to.deep.equal(['w1', undefined, undefined])
  })

  it('keeps filling tasks that cause pressure away from serving tasks', () => {
    const candidates = candidatesOf({ w1: ['s'], w2: [] })
    expect(place(candidates, filling('heavy'), 3, modelOf({ 's heavy': 3 }))).to.deep.equal(['w2', 'w2', 'w2'])
  })

  it('places filling tasks without pressure beside serving tasks first, which leaves empty workers to those that cause pressure', () => {
    const candidates = candidatesOf({ w1: ['s'], w2: [] })
    expect(place(candidates, filling('light'), 2, modelOf({ 's light': 0 }))).to.deep.equal(['w1', 'w1'])
  })

  it('places serving tasks of one image together, and beside other images before it uses an empty worker', () => {
    const candidates = candidatesOf({ w1: ['s'], w2: [], w3: ['t'] })
    expect(place(candidates, serving('s'), 7, new PressureModel())).to.deep.equal(['w1', 'w1', 'w1', 'w3', 'w3', 'w3', 'w2'])
  })

  it('gives each serving image workers of its own once serving tasks reserve a quarter of the pool, because mixed images leave no worker to most filling images', () => {
    const candidates = candidatesOf({ w1: ['s', 's'], w2: [], w3: ['t', 't'], w4: [], w5: [] })
    const { pool } = reportOf('w1')
    expect(separatesImages(candidates, pool)).to.equal(false)
    const crowded = candidates.slice(0, 3)
    expect(separatesImages(crowded, pool)).to.equal(true)
    expect(place(crowded, serving('s'), 8, new PressureModel(), { separatesImages: true })).to.deep.equal(['w1', 'w1', 'w2', 'w2', 'w2', 'w2', 'w3', 'w3'])
  })
})
