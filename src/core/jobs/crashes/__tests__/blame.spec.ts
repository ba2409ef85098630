import { expect } from 'chai'
import { addCrash, CrashHistory, isGuilty, isSuspect, shareBlame, type PresentRun, type Suspicion, type TaskCrash } from '..'

const quiet = { formerCrashes: 0, simultaneousCrashes: 0 }

function runOf (task: string, ageMs: number | undefined, ...formerAgesMs: readonly number[]): PresentRun { return { task, ageMs, formerAgesMs } }

const twoCrashes = { crashes: 2, isLongRunning: false }

/** Crashes of different VMs that a task was in, each with the other runs on its worker. */
function suspicionAfter (crashes: ReadonlyArray<readonly PresentRun[]>, task: string): Suspicion | undefined {
  let suspicion: Suspicion | undefined
  for (const [number, runs] of crashes.entries()) {
    const present = runs.map(run => run.task === task ? { ...run, formerAgesMs: (suspicion?.crashes ?? []).flatMap(crash => crash.ageMs ?? []) } : run)
    const share = shareBlame(present, quiet).get(task)
    const ageMs = runs.find(run => run.task === task)?.ageMs
    if (share !== undefined) suspicion = addCrash(suspicion, { share, ageMs, vm: `vm-${number}` })
  }
  return suspicion
}

function isGuiltyAfter (crashes: ReadonlyArray<readonly PresentRun[]>, task: string): boolean {
  const suspicion = suspicionAfter(crashes, task)
  return suspicion !== undefined && isGuilty(suspicion, twoCrashes)
}

describe('the blame for a crash of a worker', () => {
  const bystanders = Array.from({ length: 20 }, (_, number) => runOf(`old-${number}`, 700 + 300 * number))

  it('goes to the run that has just started, not to those that have run for a while', () => {
    const shares = shareBlame([runOf('fresh', 11), ...bystanders], quiet)
    expect(shares.get('fresh')).to.be.above(0.6)
    for (const [task, share] of shares) if (task !== 'fresh') expect(share).to.be.below(0.03)
  })

  it('is shared among runs that started together', () => {
    const shares = shareBlame([runOf('a', 11), runOf('b', 12), runOf('c', 12), ...bystanders], quiet)
    for (const task of ['a', 'b', 'c']) expect(shares.get(task)).to.be.within(0.2, 1 / 3)
    for (const [task, share] of shares) if (task.startsWith('old')) expect(share).to.be.below(0.01)
  })

  it('still names suspects when dozens of runs started together', () => {
    const runs = Array.from({ length: 80 }, (_, number) => runOf(`fresh-${number}`, 12))
    expect(shareBlame(runs, quiet).size).to.equal(80)
  })

  it('goes to a run that is as old as it was at its former crash, however old that is', () => {
    const runs = [runOf('late', 3010, 3000), runOf('other', 2900), ...bystanders]
    expect(shareBlame(runs, quiet).get('late')).to.be.above(0.6)
  })

  it('is smaller on a VM that crashes again and again, and where VMs crash at the same moment', () => {
    const runs = [runOf('fresh', 11)]
    const [alone, flapping, together] = [quiet, { formerCrashes: 6, simultaneousCrashes: 0 }, { formerCrashes: 0, simultaneousCrashes: 3 }].map(context => shareBlame(runs, context).get('fresh') ?? 0)
    expect(flapping).to.be.below((alone ?? 0) / 1.7)
    expect(together).to.be.below((alone ?? 0) / 1.7)
  })

  it('does not prove the guilt of a task that was once beside a culprit and once alone on a VM without power', () => {
    const share = shareBlame([runOf('a', 11), runOf('b', 12), runOf('c', 12)], quiet).get('a') ?? 0
    const second = shareBlame([runOf('a', 400, 11)], { formerCrashes: 0, simultaneousCrashes: 2 }).get('a') ?? 0
    expect(isGuilty(addCrash(addCrash(undefined, { share, ageMs: 11, vm: 'vm-1' }), { share: second, ageMs: 400, vm: 'vm-2' }), twoCrashes)).to.equal(false)
  })

  it('proves the guilt of a task that crashes two workers right after its start, the second one alone', () => {
    const crashes = [[runOf('a', 11), runOf('b', 12), ...bystanders], [runOf('a', 12), ...bystanders]]
    expect(isGuiltyAfter(crashes.slice(0, 1), 'a')).to.equal(false)
    expect(isGuiltyAfter(crashes, 'a')).to.equal(true)
  })

  it('proves no guilt of a task whose workers crash at different ages of its runs, though it runs there alone', () => {
    expect(isGuiltyAfter([883, 40, 210, 95].map(ageMs => [runOf('a', ageMs)]), 'a')).to.equal(false)
  })

  it('proves the guilt of a task that crashes five workers right after its start, however many tasks start beside it', () => {
    const beside = Array.from({ length: 40 }, (_, number) => runOf(`fresh-${number}`, 12))
    const crashes = Array.from({ length: 5 }, () => [runOf('a', 11), ...beside])
    expect(isGuiltyAfter(crashes.slice(0, 4), 'a')).to.equal(false)
    expect(isGuiltyAfter(crashes, 'a')).to.equal(true)
  })

  it('proves no guilt of a long-running task that loses its worker again and again at any age', () => {
    const crashes = [900, 5200, 2300, 7000, 1500, 3300].map(ageMs => [runOf('a', ageMs), ...bystanders])
    expect(isGuiltyAfter(crashes, 'a')).to.equal(false)
  })
})

describe('small shares', () => {
  const bystanders = Array.from({ length: 40 }, (_, number) => runOf(`old-${number}`, 700 + 100 * number))

  it('are kept of the youngest runs only, as a task may crash each worker at another age', () => {
    const shares = shareBlame([runOf('a', 1200), ...bystanders], quiet)
    expect(shares.get('a')).to.be.within(0.005, 0.1)
    expect(shares.size).to.equal(16)
    expect(isSuspect({ crashes: [{ share: shares.get('a') ?? 0, ageMs: 1200, vm: 'a' }] })).to.equal(false)
  })

  it('of crashes of two VMs, one after the other, make a task a suspect and grow', () => {
    const crashes = [{ share: 0.02, ageMs: 1200, vm: 'a' }, { share: 0.02, ageMs: 700, vm: 'b' }]
    expect(isSuspect({ crashes })).to.equal(true)
    expect(isSuspect({ crashes: crashes.map(crash => ({ ...crash, vm: 'a' })) })).to.equal(false)
    expect(shareBlame([{ ...runOf('a', 1900), formerVms: 2 }, ...bystanders.slice(0, 10)], quiet).get('a')).to.be.above(0.5)
  })
})

describe('the proof from crashes at any age', () => {
  const required = { crashes: 4, isLongRunning: false }
  const crashesOf = (chance: number, ...ages: readonly number[]): readonly TaskCrash[] =>
    ages.map((ageMs, number) => ({ share: number === 0 ? 0.02 : 0.6, ageMs, vm: `vm-${number}`, chance }))

  it('takes three VMs that crash one after the other if they hardly crash by themselves', () => {
    expect(isGuilty({ crashes: crashesOf(0.008, 400, 1900) }, required)).to.equal(false)
    expect(isGuilty({ crashes: crashesOf(0.008, 400, 1900, 2300) }, required)).to.equal(true)
  })

  it('takes more the more VMs crash by themselves', () => {
    expect(isGuilty({ crashes: crashesOf(0.1, 400, 1900, 2300, 1100) }, required)).to.equal(false)
    expect(isGuilty({ crashes: crashesOf(0.1, 400, 1900, 2300, 1100, 700) }, required)).to.equal(true)
    expect(isGuilty({ crashes: crashesOf(0.4, 400, 1900, 2300, 1100, 700) }, required)).to.equal(false)
  })

  it('is none against a long-running task, to which no limit of starts applies', () => {
    expect(isGuilty({ crashes: crashesOf(0.02, 400, 1900, 2300, 1100, 700) }, { ...required, isLongRunning: true })).to.equal(false)
  })

  it('begins anew once a run has got much older than all before', () => {
    const known = { crashes: crashesOf(0.02, 400, 1200) }
    expect(addCrash(known, { share: 0.02, ageMs: 2900 }).crashes).to.have.length(3)
    expect(addCrash(known, { share: 0.02, ageMs: 3100 }).crashes).to.have.length(1)
  })
})

describe('the proof from crashes at the same age', () => {
  const crashOf = (vm: string | undefined, share = 0.8): TaskCrash => ({ share, ageMs: 650, vm })
  const suspicionOf = (...crashes: readonly TaskCrash[]): Suspicion => ({ crashes })
  const lasting = { crashes: 2, isLongRunning: true }

  it('takes crashes of two VMs, as one that goes down and up regularly gives each run there the same age', () => {
    expect(isGuilty(suspicionOf(crashOf('a'), crashOf('a'), crashOf('a'), crashOf('a')), twoCrashes)).to.equal(false)
    expect(isGuilty(suspicionOf(crashOf('a'), crashOf('b')), twoCrashes)).to.equal(true)
  })

  it('counts no crash of a VM that crashes without the task as well', () => {
    expect(isGuilty(suspicionOf(crashOf('a'), { ...crashOf('b'), isVmUnreliable: true }), twoCrashes)).to.equal(false)
  })

  it('takes data of an earlier version, which names no VM, as crashes of one VM', () => {
    expect(isGuilty(suspicionOf(crashOf(undefined), crashOf(undefined)), twoCrashes)).to.equal(false)
    expect(isGuilty(suspicionOf(crashOf(undefined), crashOf(undefined), crashOf('b')), twoCrashes)).to.equal(true)
  })

  it('is reached by five crashes of the only VM on which a task can run, but never against a long-running one', () => {
    const five = suspicionOf(...Array.from({ length: 5 }, () => crashOf('a')))
    expect(isGuilty(five, twoCrashes)).to.equal(true)
    expect(isGuilty(five, lasting)).to.equal(false)
  })

  it('takes two VMs that crash right after its start, when nothing else that started is as likely a cause, if the task is long-running', () => {
    const fresh = (vm: string, share = 0.8): TaskCrash => ({ ...crashOf(vm, share), ageMs: 11 })
    expect(isGuilty(suspicionOf(fresh('a', 0.3), fresh('b')), lasting)).to.equal(false)
    expect(isGuilty(suspicionOf(fresh('a', 0.3), fresh('b'), fresh('b')), lasting)).to.equal(false)
    expect(isGuilty(suspicionOf(fresh('a', 0.3), fresh('b'), fresh('c')), lasting)).to.equal(true)
    expect(isGuilty(suspicionOf(crashOf('a'), crashOf('b'), crashOf('c')), lasting)).to.equal(false)
  })

  it('takes more than two crashes of VMs that left the start unanswered, as each VM that was silent before does so', () => {
    const unanswered = ['a', 'b', 'c'].map(vm => ({ ...crashOf(vm), ageMs: 501, isUnconfirmed: true, chance: 0.001 }))
    expect(isGuilty(suspicionOf(...unanswered.slice(1)), twoCrashes)).to.equal(false)
    expect(isGuilty(suspicionOf(...unanswered), twoCrashes)).to.equal(false)
  })

  it('fails no long-running task whose starts were left unanswered until the VMs crashed', () => {
    const unanswered = ['a', 'b', 'c', 'd'].map(vm => ({ ...crashOf(vm, 0.8), ageMs: 0, isUnconfirmed: true }))
    expect(isGuilty(suspicionOf(...unanswered), lasting)).to.equal(false)
    expect(isGuilty(suspicionOf(...unanswered), twoCrashes)).to.equal(true)
  })
})

describe('the history of crashes', () => {
  it('counts former crashes of the VM and VMs that crashed at the same moment, and forgets them', () => {
    const history = new CrashHistory()
    expect(history.record('a', 1000, 11)).to.deep.equal(quiet)
    expect(history.record('b', 1010, 11)).to.deep.equal({ formerCrashes: 0, simultaneousCrashes: 1 })
    expect(history.record('a', 2000, 11)).to.deep.equal({ formerCrashes: 1, simultaneousCrashes: 0 })
    expect(history.countOf('a', 17_000)).to.equal(1)
    expect(history.record('a', 30_000, 11)).to.deep.equal(quiet)
  })

  it('requires more crashes as a proof the more VMs crash while nothing starts on them', () => {
    const history = new CrashHistory()
    const required = (): number => history.provingCrashes(4, 1000)
    for (let vm = 0; vm < 9; vm += 1) history.record(`explained-${vm}`, 1000, 11)
    expect(required()).to.equal(2)
    history.record('vm-0', 1000, 900)
    expect(required()).to.equal(3)
    for (let vm = 1; vm < 5; vm += 1) history.record(`vm-${vm}`, 1000, Number.POSITIVE_INFINITY)
    expect(required()).to.equal(4)
    expect(history.provingCrashes(4, 20_000)).to.equal(2)
  })
  it('knows VMs that crash without a task, until the task that was there is found guilty', () => {
    const history = new CrashHistory()
    history.record('a', 1000, 400)
    history.suspect('a', ['culprit'])
    expect(history.hasCrashedWithout('culprit', 'a', 1000)).to.equal(false)
    history.record('a', 3000, 700)
    history.suspect('a', ['other'])
    expect(history.hasCrashedWithout('other', 'a', 3000)).to.equal(true)
    history.explain('culprit')
    expect(history.hasCrashedWithout('other', 'a', 3000)).to.equal(false)
  })

  it('estimates the chance to lose a run from the crashes of the fleet and of its VM', () => {
    const history = new CrashHistory()
    const chance = (vm = 'a'): number => history.chanceOf('task', vm, 1000, 10, 4000) ?? 1
    const quietChance = chance()
    expect(quietChance).to.be.below(0.02)
    history.record('b', 3000, 400)
    history.suspect('b', ['task'])
    expect(chance()).to.equal(quietChance)
    for (const vm of ['c', 'd', 'e', 'f']) history.record(vm, 3500, 900)
    expect(chance()).to.be.above(4 * quietChance)
    for (let at = 500; at < 4000; at += 500) history.record('c', at, 900)
    expect(chance('c')).to.be.above(3 * chance())
  })

  it('knows no chance at the beginning of a leadership, as it has not seen how often VMs crash', () => {
    const history = new CrashHistory()
    history.begin(1000)
    expect(history.chanceOf('task', 'a', 1000, 10, 5900)).to.equal(undefined)
    expect(history.chanceOf('task', 'a', 1000, 10, 6000)).to.be.below(0.02)
  })
})
