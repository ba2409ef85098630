import { expect } from 'chai'
import { PressureModel, standingOf } from '../pressureModel'

const targetMs = 150
const idleMs = 25
const sampleMs = 500
const swingPeriodMs = 20_000

/** The tail latency of a serving task at a load, in milliseconds; bounded from a load of 0.99, where its request queue grows. */
function tailAt (load: number): number {
  return load < 0.99 ? idleMs / (1 - load) : 100 * idleMs
}

/** The own load of a serving task, which varies periodically by half. */
function ownLoadAt (now: number, phase: number): number {
  return 0.48 + 0.24 * Math.sin(2 * Math.PI * (now / swingPeriodMs + phase))
}

/** Simulates a worker with a serving image on which a filling image works every other second. */
function simulate (model: PressureModel, worker: string, fillingImage: string, weight: number, durationMs: number, phase = 0): void {
  for (let now = 0; now < durationMs; now += sampleMs) {
    const share = Math.floor(now / 1000) % 2 === 0 ? 0.2 : 0
    const tailLatencyMs = tailAt(ownLoadAt(now, phase) + weight * share)
    model.observe(worker, { serving: [{ jobId: worker, image: 's', tailLatencyMs, targetMs }], filling: share > 0 ? new Map([[fillingImage, share]]) : new Map() }, now)
  }
}

describe('the pressure of filling images on serving ones', () => {
  it('is unknown for a pair that was not observed', () => {
    expect(standingOf(new PressureModel().pressure('s', 'f'))).to.equal('unknown')
  })

  it('is classified within ten seconds although the load of the serving task varies by half', () => {
    for (const phase of [0, 0.25, 0.5, 0.75]) {
      const model = new PressureModel()
      simulate(model, 'w1', 'light', 0, 10_000, phase)
      simulate(model, 'w2', 'heavy', 1.5, 10_000, phase)
      expect([standingOf(model.pressure('s', 'light')), standingOf(model.pressure('s', 'heavy'))]).to.deep.equal(['harmless', 'pressing'])
    }
  })

  it('is classified within three seconds from tasks of the same job at other workers, whose load varies in the same way', () => {
    for (const phase of [0, 0.2, 0.4, 0.6, 0.8]) {
      const model = new PressureModel()
      for (let now = 0; now <= 3000; now += sampleMs) {
        for (const [fillingImage, weight] of [['light', 0], ['heavy', 2.5], ['', 0]] as const) {
          const share = fillingImage === '' ? 0 : 0.09
          const tailLatencyMs = tailAt(ownLoadAt(now, phase) + weight * share)
          model.observe(`beside ${fillingImage}`, { serving: [{ jobId: 'job', image: 's', tailLatencyMs, targetMs }], filling: new Map([[fillingImage, share]].filter(([, used]) => used !== 0) as Array<[string, number]>) }, now)
        }
      }
      expect([standingOf(model.pressure('s', 'light')), standingOf(model.pressure('s', 'heavy'))], `phase ${phase}`).to.deep.equal(['harmless', 'pressing'])
    }
  })

  it('is passed to the next leader, which continues to learn from it', () => {
    const model = new PressureModel()
    simulate(model, 'w1', 'light', 0, 10_000)
    const learned = model.takeChanges()
    expect(learned.map(pair => pair.fillingImage)).to.deep.equal(['light'])
    expect(model.takeChanges()).to.deep.equal([])
    const next = new PressureModel()
    next.begin(learned)
    expect(next.takeChanges()).to.deep.equal([])
    simulate(next, 'w1', 'light', 1.5, 10_000)
    expect(next.takeChanges().map(standingOf)).to.deep.equal(['pressing'])
  })

  it('is forgotten for the oldest images when there are too many', () => {
    const model = new PressureModel()
    for (let image = 0; image < 200; image += 1) {
      model.observe('w1', { serving: [{ jobId: `job ${image}`, image: `s${image}`, tailLatencyMs: 40, targetMs }, { jobId: 'job', image: 's', tailLatencyMs: 40, targetMs }], filling: new Map([[`f${image}`, 0.2]]) }, image * sampleMs)
    }
    expect(model.takeChanges().length).to.be.below(100)
    expect(model.pressure('s', 'f0')).to.deep.equal({ mean: 0.7, deviation: 1 })
  })
})
