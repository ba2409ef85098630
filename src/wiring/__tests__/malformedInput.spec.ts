import net from 'node:net'
import { expect } from 'chai'
import { Counters, createLogger } from '../../observability'
import { createDevManifest, createJobDevSite, devQueue, type JobDevSite } from '../../platform/standIn'
import type { Address } from '../../transport'
import { waitFor } from './siteFixture'

const taskMs = 50

/** Sends bytes on a connection of its own, and waits until the other side closes it or nothing more is to come. */
async function sendRaw (address: Address, text: string | Uint8Array, waitMs = 150): Promise<string> {
  return await new Promise(resolve => {
    let answer = ''
    const socket = net.connect(address)
    const timer = setTimeout(() => socket.destroy(), waitMs)
    socket.on('data', chunk => { answer += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => {
      clearTimeout(timer)
      resolve(answer)
    })
    socket.write(text)
  })
}

function chunk (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

/** Sends lines on a stream of its own, as another process of the deployment would. */
async function sendLines (address: Address, lines: readonly string[]): Promise<string> {
  return await sendRaw(address, `POST /stream HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${lines.map(line => chunk(line + '\n')).join('')}`)
}

describe('a job deployment under malformed input', () => {
  let site: JobDevSite
  let lines: string[]
  let nextJob = 1

  before(async () => {
    lines = []
    const logger = createLogger({ level: 'info', write: line => lines.push(line) })
    site = await createJobDevSite({ workers: 1, taskMs, surroundings: () => ({ now: () => performance.now(), wallClock: Date.now, random: Math.random, logger, counters: new Counters() }) })
    await waitFor(async () => (await site.operate('PUT', '/-/config', createDevManifest(1))).status === 200)
  })

  after(async () => { await site.close() })

  /** An exception that nothing caught would have failed the spec by then, as it ends a process. */
  async function expectServing (): Promise<void> {
    const path = `${devQueue.pathPrefix}${(nextJob++).toString(16).padStart(16, '0')}`
    await waitFor(async () => (await site.call('POST', path, { spec: 's', phases: [{ count: 1, cpu: 500, memMb: 100, estimateMs: taskMs }] })).status === 200)
    await waitFor(async () => (await site.call('GET', path)).body === '{"state":"complete"}')
  }

  const greetings = ['replica', 'agent', 'entry', 'relay', 'a role of a later version'].map(role => JSON.stringify({ type: 'hello', role, name: 'stranger' }))
  const said = [
    'null', '7', '"text"', '[]', '{}', '{"type":7}', '{"type":"hello"}', '{"type":"consensus"}', '{"type":"consensus","messages":[null]}',
    '{"type":"call"}', '{"type":"call","id":1,"call":{"type":"readState"}}', '{"type":"worker"}', '{"type":"look"}', '{"type":"look","look":{}}',
    '{"type":"ended"}', '{"type":"absent"}', '{"type":"stop"}', '{"type":"committed"}', '{"type":"lead"}', '{"type":"manifest"}', '{"type":', 'x'.repeat(200_000)
  ]
  for (const line of said) {
    it(`goes on after the line ${line.slice(0, 60)} on a stream of any role`, async () => {
      await Promise.all([...greetings.map(async greeting => await sendLines(site.listeners.peers, [greeting, line])), sendLines(site.listeners.peers, [line])])
      await expectServing()
    })
  }

  it('writes one line that names the peer for a stream which it ends as malformed', async () => {
    lines.length = 0
    await sendLines(site.listeners.peers, [greetings[1] ?? '', '{"type":"look"}'])
    expect(lines.filter(line => line.includes('event=stream_malformed'))).to.have.length(1)
    expect(lines.find(line => line.includes('event=stream_malformed'))).to.include('peer=stranger')
  })
})
