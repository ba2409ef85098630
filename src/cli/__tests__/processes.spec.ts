import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import type { ControlStatus } from '../../tasks/control'
import { findFreePorts } from '../../fakes'
import { waitFor } from '../../wiring/__tests__/siteFixture'
import { callHttp, type HttpAnswer } from '../httpCall'

const names = ['c1', 'c2', 'c3'] as const
const token = 'an operators token of some length'

describe('real processes', () => {
  let folder: string
  let ports: readonly number[]
  const processes = new Map<string, ChildProcess>()

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'processes-'))
    ports = await findFreePorts(6)
    writeFileSync(join(folder, 'peer.key'), 'a peer key of some length')
    writeFileSync(join(folder, 'operator.token'), token)
    const members = names.map((name, index) => `${name} = "127.0.0.1:${ports[index]}"`).join(', ')
    const common = ['zone = "a"', 'peer_key_file = "peer.key"', 'operator_token_file = "operator.token"', `control_members = { ${members} }`]
    names.forEach((name, index) => writeFileSync(join(folder, `${name}.toml`), [
      `name = "${name}"`, ...common, '[control]', `listen = "127.0.0.1:${ports[index]}"`, `data_folder = "${join(folder, name)}"`, 'snapshot_after = 20'
    ].join('\n')))
    writeFileSync(join(folder, 'entry.toml'), [
      'name = "entry"', ...common, '[entry]', `callers = "127.0.0.1:${ports[3]}"`, `operators = "127.0.0.1:${ports[4]}"`, `peers = "127.0.0.1:${ports[5]}"`, 'readiness_ms = 50'
    ].join('\n'))
  })

  after(() => {
    for (const child of processes.values()) child.kill('SIGKILL')
    rmSync(folder, { recursive: true, force: true })
  })

  function start (role: string, name: string): void {
    const child = spawn(process.execPath, ['--import', 'tsx', 'src/cli/main.ts', role, '--settings', join(folder, `${name}.toml`)], { stdio: 'ignore' })
    processes.set(name, child)
  }

  async function kill (name: string): Promise<void> {
    const child = processes.get(name)
    const exited = new Promise(resolve => child?.once('exit', resolve))
    child?.kill('SIGKILL')
    await exited
  }

  async function operate (method: string, path: string, body?: object): Promise<HttpAnswer | undefined> {
    return await callHttp({
      address: { host: '127.0.0.1', port: ports[4] ?? 0 },
      method,
      path,
      headers: { authorization: `Bearer ${token}` },
      ...(body === undefined ? {} : { body: JSON.stringify(body) })
    }).catch(() => undefined)
  }

  /** Puts an entry until the answer comes; a resend has the same change id. */
  async function put (name: string): Promise<void> {
    const entry = { organisation: 'cartago', workClass: 'batch', limits: { processors: 1, memoryMb: 1 } }
    await waitFor(async () => (await operate('PUT', `/catalogue/${name}`, { expectedVersion: 0, changeId: name, entry }))?.status === 200)
  }

  async function listed (): Promise<readonly string[]> {
    const answer = await operate('GET', '/catalogue')
    return answer?.status === 200 ? (JSON.parse(answer.body) as ReadonlyArray<{ readonly name: string }>).map(version => version.name) : []
  }

  async function status (): Promise<ControlStatus | undefined> {
    const answer = await operate('GET', '/status')
    return answer?.status === 200 ? JSON.parse(answer.body) as ControlStatus : undefined
  }

  /** Whether all replicas vote and have the whole log, so that another one may be lost. */
  async function isRepaired (): Promise<boolean> {
    const shown = await status()
    return shown !== undefined && shown.replicas.every(replica => replica.isVoter && replica.silentMs < 1000 && replica.matchIndex >= shown.committedIndex)
  }

  it('keep every answered change through kill -9 of leaders, a lost folder, and a drain', async () => {
    for (const name of names) start('control', name)
    start('entry', 'entry')
    const accepted: string[] = []
    for (let index = 0; index < 40; index += 1) {
      const name = `entry-${index}`
      await put(name)
      accepted.push(name)
      if (index === 10 || index === 20 || index === 30) {
        const dying = (await status())?.leader ?? ''
        await kill(dying)
        await put(`after-kill-${index}`)
        accepted.push(`after-kill-${index}`)
        // The replica of the second kill loses its folder as well, and must come back as a learner.
        if (index === 20) rmSync(join(folder, dying), { recursive: true })
        start('control', dying)
        await waitFor(isRepaired)
      }
    }
    expect(await listed()).to.include.members(accepted)
    const child = processes.get('entry')
    const exited = new Promise<number | null>(resolve => child?.once('exit', resolve))
    child?.kill('SIGTERM')
    expect(await exited).to.equal(0)
  })
})
