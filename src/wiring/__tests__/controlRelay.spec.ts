import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { callHttp } from '../../cli/httpCall'
import { findFreePorts } from '../../fakes'
import { Counters, createLogger } from '../../observability'
import { createDevManifest } from '../../platform/standIn'
import { defaultNodePolicies, type NodeSettings } from '../../settings'
import { startControlNode, type JobNode } from '../nodeWiring'
import { waitFor } from './siteFixture'

describe('control processes on VMs with and without a disk', () => {
  let folder: string
  let peerPort: number
  let controlPort: number
  let nodes: Map<number, JobNode>
  let logLines: string[]

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'control-relay-'));
    [peerPort, controlPort] = await findFreePorts(2) as [number, number]
    nodes = new Map()
    logLines = []
  })

  afterEach(async () => {
    await Promise.all([...nodes.values()].map(async node => await node.drain()))
    rmSync(folder, { recursive: true, force: true })
  })

  /** Processes use the same ports at different IP addresses, as on the platform. */
  async function start (number: number, hasDisk: boolean, seeds: readonly number[], isFirstStart = true): Promise<void> {
    const logger = createLogger({ level: 'info', write: line => logLines.push(line) })
    nodes.set(number, await startControlNode(settingsOf(number, hasDisk, seeds, isFirstStart), {
      now: () => performance.now(),
      wallClock: Date.now,
      random: Math.random,
      logger,
      counters: new Counters()
    }))
  }

  function settingsOf (number: number, hasDisk: boolean, seeds: readonly number[], isFirstStart: boolean): NodeSettings {
    return {
      ...defaultNodePolicies,
      contracts: ['places'],
      zones: { a: 'north' },
      name: `control-${number}`,
      zone: 'a',
      ip: `127.0.0.${number}`,
      first_peer_port: peerPort,
      seeds: seeds.map(seed => `127.0.0.${seed}:${controlPort}`),
      first_start: isFirstStart,
      data_folder: hasDisk ? join(folder, `control-${number}`) : '',
      listen: { callers: '', readiness: '', control: `127.0.0.${number}:${controlPort}` },
      worker: { address: '' },
      bounds: { longest_lease_ms: 10_000, grace_s: 2, tolerated_losses: 2 }
    }
  }

  async function put (number: number, version: number): Promise<{ readonly status: number, readonly location: string }> {
    const answer = await callHttp({ address: { host: `127.0.0.${number}`, port: controlPort }, method: 'PUT', path: '/-/config', headers: {}, body: JSON.stringify(createDevManifest(version)) })
    return { status: answer.status, location: String(answer.headers['location'] ?? '') }
  }

  /** Puts a manifest at a process without a disk and follows the redirect; returns the number of the leader. */
  async function putAndRedirect (relay: number, version: number): Promise<number> {
    let leader = 0
    await waitFor(async () => {
      const { status, location } = await put(relay, version)
      leader = Number(/^http:\/\/127\.0\.0\.(\d+):/.exec(location)?.[1] ?? 0)
      return status === 307 && (await put(leader, version)).status === 200
    })
    return leader
  }

  function hasMembers (count: number): boolean {
    const newest = logLines.findLast(line => line.includes('event=members_changed'))
    return newest !== undefined && newest.split(`:${peerPort}`).length - 1 === count
  }

  it('form a group of the seeds that have a disk and extend it to five replicas', async () => {
    const seeds = [1, 2, 3]
    for (const number of [1, 2, 3, 4, 5, 6, 7]) await start(number, number !== 2 && number !== 3, seeds)
    const leader = await putAndRedirect(2, 1)
    expect([1, 4, 5, 6, 7]).to.include(leader)
    await waitFor(() => hasMembers(5))
  })

  it('form a group of one replica that a seed chooses if no seed has a disk, and extend it', async () => {
    const seeds = [1, 2, 3]
    for (const number of [1, 2, 3, 4, 5, 6]) await start(number, number > 3, seeds)
    await putAndRedirect(3, 1)
    await waitFor(() => hasMembers(3))
    expect(logLines.filter(line => line.includes('event=founder_chosen'))).to.have.length(1)
  })

  it('let a replica with an empty disk join through seeds without a disk', async () => {
    const seeds = [1, 2, 3]
    for (const number of [1, 2, 3, 4]) await start(number, number > 2, seeds)
    await putAndRedirect(1, 1)
    await start(9, true, [1, 2], false)
    await waitFor(() => hasMembers(3))
    expect(logLines.findLast(line => line.includes('event=members_changed'))).to.include(`127.0.0.9:${peerPort}`)
  })

  it('find the leader although they and all their seeds started after the group, without a disk', async () => {
    for (const number of [1, 2, 3]) await start(number, true, [1, 2, 3])
    await waitFor(async () => (await Promise.all([1, 2, 3].map(async number => await put(number, 1)))).some(answer => answer.status === 200))
    for (const number of [1, 2, 3]) nodes.get(number)?.reload(settingsOf(number, true, [4, 5], false))
    for (const number of [4, 5]) await start(number, false, [4, 5], false)
    await putAndRedirect(4, 2)
    await putAndRedirect(5, 3)
  })

  it('redirect an order to evacuate a zone to the same path at the leader, which acknowledges it', async () => {
    const evacuate = async (number: number): Promise<string> => {
      const answer = await callHttp({ address: { host: `127.0.0.${number}`, port: controlPort }, method: 'POST', path: '/-/evacuate/%61' })
      return `${answer.status} ${answer.headers['location'] ?? ''}`
    }
    for (const number of [1, 2, 3, 4]) await start(number, number !== 1, [1, 2, 3])
    const leader = await putAndRedirect(1, 1)
    for (const number of [1, 2, 3, 4].filter(number => number !== leader)) {
      await waitFor(async () => await evacuate(number) === `307 http://127.0.0.${leader}:${controlPort}/-/evacuate/%61`)
    }
    expect(await evacuate(leader)).to.equal('200 ')
  })

  it('answer a manifest with 503 and no redirect while no leader is known', async () => {
    await start(1, false, [1, 2, 3])
    const { status, location } = await put(1, 1)
    expect([status, location]).to.deep.equal([503, ''])
  })
})
