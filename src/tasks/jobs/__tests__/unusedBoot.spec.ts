import { expect } from 'chai'
import { jobIdOf } from '../../../core/jobs/__tests__/fixtures'
import { LeaderFixture } from './leaderFixture'
import { orderOf, runningOf, SupervisorFixture, task, worker } from './supervisorFixture'

const end = { sequence: 1, task: 'other', run: 1, end: 'done', checkpoint: '' } as const

/** A leader whose ledger has the task at the worker, and which knows another worker with room. */
function createLeader (): LeaderFixture {
  const leader = new LeaderFixture()
  leader.lead()
  leader.connect('agent-1')
  leader.commit()
  leader.handle({ type: 'follow' })
  leader.handle({ type: 'lead', term: 2 })
  leader.connect('agent-2')
  leader.commit()
  expect(leader.committed.task(`${jobIdOf(1)}.0.0.0`)).to.include({ state: 'live', worker })
  return leader
}

/** An agent whose worker restarts under its id while a look that acknowledges an end stays unanswered. */
async function loseAcknowledgement (agent: SupervisorFixture): Promise<void> {
  await agent.driver.list([], [end])
  agent.tell({ type: 'acknowledged', worker, sequence: 1 })
  const look = agent.driver.looks.shift()
  expect(look?.request.acknowledged).to.equal(1)
  await look?.answer({ type: 'unanswered' })
}

/** Passes for a while what the agent sends to the leader. */
function connect (agent: SupervisorFixture, leader: LeaderFixture, ms: number): void {
  const session = { agent: 'agent-1', number: 100, send: () => {} }
  for (let waitedMs = 0; waitedMs < ms; waitedMs += 50) {
    agent.advance(50)
    leader.advance(50)
    for (const message of agent.sent.splice(0)) if (message.type === 'vacant' || message.type === 'worker' || message.type === 'ended') leader.handle({ ...message, session })
    leader.commit()
  }
}

describe('a worker that is not used yet, as a late call for its former boot may reach it', () => {
  it('keeps no runs of the former boot waiting at a leader elected meanwhile', async () => {
    const agent = new SupervisorFixture()
    agent.connect()
    await loseAcknowledgement(agent)
    agent.register({ bornMs: 2 })
    expect(agent.sentOf('ended').length).to.equal(1)
    agent.sent.splice(0)
    agent.openLink(2)
    const leader = createLeader()
    connect(agent, leader, 1000)
    expect(leader.committed.task(task)).to.include({ state: 'live', worker: 'agent-2/w@1', run: 2 })
  })

  it('keeps no runs of the former boot waiting because one of them ended at it', async () => {
    const agent = new SupervisorFixture()
    const late = orderOf({ task: 'late' })
    agent.connect([orderOf(), late])
    for (const order of agent.driver.orders.splice(0)) await order.answer(order.task === 'late' ? { type: 'unanswered' } : { type: 'done' })
    await agent.driver.list([runningOf()], [end])
    agent.tell({ type: 'acknowledged', worker, sequence: 1 })
    await agent.driver.looks.shift()?.answer({ type: 'unanswered' })
    agent.driver.bornMs = 2
    agent.register({ bornMs: 2 })
    agent.advance(200)
    for (const order of agent.driver.orders.splice(0)) await order.answer({ type: 'done' })
    const ended = { sequence: 1, task: 'late', run: 1, end: 'stopped', checkpoint: '' } as const
    for (let look = 0; look < 4 && agent.driver.looks.length > 0; look += 1) await agent.driver.list([], [ended])
    const leader = createLeader()
    connect(agent, leader, 1000)
    expect(leader.committed.task(task)).to.include({ state: 'live', worker: 'agent-2/w@1', run: 2 })
  })
})
