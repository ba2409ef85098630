import { expect } from 'chai'
import { JobBook } from '../../../core/jobs'
import { Counters, createLogger } from '../../../observability'
import { LeaderLog } from '../leaderLog'

describe('the leader log', () => {
  it('logs and counts each caller zone that gets less than its share, which the total load alone does not show', () => {
    const lines: string[] = []
    const counters = new Counters()
    const log = new LeaderLog({ committed: new JobBook(), counters, logger: createLogger({ level: 'info', write: line => { lines.push(line) } }) })
    const share = { pool: 'p', zone: 'a', served: 0.1, entitled: 0.25, debt: 0.12, belowMs: 1500 }
    log.load({ jobs: 1, waitingTasks: 1, workers: [], longRunning: [], zoneShares: [share, { ...share, zone: '', debt: -0.12, belowMs: 0 }] }, { backlog: [], drained: [], waitingTasks: 1, refusedJobs: 0 })
    expect(lines.join('')).to.contain('p/a:10/25:12,p/unknown:10/25:-12')
    expect(counters.render().split('\n').filter(line => line.includes('zone'))).to.deep.equal(['heatherdrum_zone_below_share_ms_total{pool="p",zone="a"} 1500'])
  })

  it('logs what the workers lack for a long-running task that waits, with a bounded number of names', () => {
    const lines: string[] = []
    const log = new LeaderLog({ committed: new JobBook(), counters: new Counters(), logger: createLogger({ level: 'info', write: line => { lines.push(line) } }) })
    const full = Array.from({ length: 14 }, (_, index) => [`side-${index}/w@1`, 'room'] as const)
    const [needed, free, reclaimable] = [{ processors: 10.375, memoryMb: 4096, accelerators: 0 }, { processors: 10.351, memoryMb: 512, accelerators: 0 }, { processors: 20.1, memoryMb: 8192, accelerators: 1 }]
    const rooms = new Map([...full.map(([worker]) => [worker, { free, reclaimable: free }] as const), ['spare/w@1', { free, reclaimable }]])
    log.finding({ type: 'waiting', step: '0000000000000001.0.0', tasks: 2, waitingMs: 2000, needed, lacks: new Map([...full, ['spare/w@1', 'hold']]), rooms })
    expect(lines.join('')).to.match(/event=long_running_waiting .*step=0000000000000001.0.0 tasks=2 waiting_ms=2000 workers=15/)
    expect(lines.join('')).to.match(/lack_room="?side-0,side-1,.*side-11,\+2"? lack_hold=spare/)
    expect(lines.join('')).to.match(/needs=10.375\/4096 room="?spare:10.351\/512:20.1\/8192\/1,side-0:10.351\/512:10.351\/512,.*side-10:[^,]*,\+3/)
  })

  it('logs and counts live long-running tasks that are not at work', () => {
    const lines: string[] = []
    const counters = new Counters()
    const log = new LeaderLog({ committed: new JobBook(), counters, logger: createLogger({ level: 'info', write: line => { lines.push(line) } }) })
    log.finding({ type: 'notAtWork', step: 'job.0.0', tasks: 3, task: 'job.0.0.1', run: 4, worker: 'a/w@1', absentMs: 2000.4, isConnected: true, listedRun: 3, percent: 100 })
    expect(lines.join('')).to.match(/event=long_running_absent .*step=job.0.0 tasks=3 absent_ms=2000 task=job.0.0.1 run=4 worker=a\/w@1 connected=true listed_run=3 percent=100/)
    expect(counters.render()).to.contain('heatherdrum_long_running_absences_total 1')
  })

  it('names the VMs of the crashes because of which a task is given up', () => {
    const lines: string[] = []
    const log = new LeaderLog({ committed: new JobBook(), counters: new Counters(), logger: createLogger({ level: 'info', write: line => { lines.push(line) } }) })
    const crashes = [{ share: 0.25, ageMs: 11, vm: 'a' }, { share: 0.7, ageMs: 640, vm: 'b', isVmUnreliable: true }]
    log.finding({ type: 'givenUp', task: 'job.0.0.0', suspicion: { crashes } })
    expect(lines.join('')).to.match(/blame=0.95 crashes="?0.25@11@a,0.70@640@b\?/)
  })
})
