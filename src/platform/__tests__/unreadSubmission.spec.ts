import { expect } from 'chai'
import net from 'node:net'
import { Worker } from 'node:worker_threads'
import type { CallerCall } from '../../core/jobs'
import { createLogger } from '../../observability'
import { openListener, type Listener } from '../../transport'
import { waitFor } from '../../wiring/__tests__/siteFixture'
import { createCallerHandler } from '../callerHandler'

const body = JSON.stringify({ spec: '', phases: [{ count: 1, cpu: 500, memMb: 256, estimateMs: 1000 }] })
const submission = `POST /plans/0000000000000001 HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 3000\r\nContent-Length: ${body.length}\r\n\r\n${body}`

describe('a submission that waited unread while its process stood still', () => {
  let listener: Listener
  let unreadMs: number
  let calls: Array<readonly [type: CallerCall['type'], deadlineMs: number]>
  let answered: string[]
  const lines: string[] = []

  beforeEach(async () => {
    calls = []
    answered = []
    lines.length = 0
    listener = await openListener({
      address: { host: '127.0.0.1', port: 0 },
      handle: createCallerHandler({
        call: async (call, deadlineMs) => {
          calls.push([call.type, deadlineMs])
          return { type: 'accepted' }
        },
        unreadMs: () => unreadMs,
        now: () => 0,
        logger: createLogger({ level: 'info', write: line => lines.push(line) }),
        onAnswered: (kind, status) => answered.push(`${kind} ${status}`)
      }),
      maximumConnections: 10,
      maximumHeaderBytes: 16_384,
      headersTimeoutMs: 1000,
      keepAliveMs: 1000
    })
  })

  afterEach(() => listener.destroy())

  /** Sends a request and resolves to the first line of the answer. */
  async function send (request: string): Promise<string> {
    const socket = net.connect({ host: '127.0.0.1', port: listener.address.port })
    let text = ''
    socket.on('data', data => { text += data.toString() }).write(request)
    await waitFor(() => text.includes('\r\n'))
    socket.destroy()
    return text.split('\r\n')[0] ?? ''
  }

  /** Stops this thread until another one has sent a request and closed its connection. */
  function sendAndLeave (request: string): void {
    const flag = new Int32Array(new SharedArrayBuffer(4))
    const code = `
      const { workerData: { port, request, flag } } = require('node:worker_threads')
      require('node:net').connect({ host: '127.0.0.1', port }).end(request, () => {
        Atomics.store(flag, 0, 1)
        Atomics.notify(flag, 0)
      })`
    const worker = new Worker(code, { eval: true, execArgv: [], workerData: { port: listener.address.port, request, flag } })
    expect(Atomics.wait(flag, 0, 0, 10_000)).to.equal('ok')
    worker.unref()
  }

  it('is rejected and not handed in if the caller has stopped waiting', async () => {
    unreadMs = 2700
    expect(await send(submission)).to.include('503')
    expect(calls).to.deep.equal([])
  })

  it('is handed in for the time that is left', async () => {
    unreadMs = 1000
    expect(await send(submission)).to.include('200')
    expect(calls).to.deep.equal([['submit', 1700]])
  })

  it('is not handed in if the caller has left', async () => {
    unreadMs = 1000
    sendAndLeave(submission)
    await waitFor(() => lines.some(line => line.includes('caller_left')))
    expect([calls, answered]).to.deep.equal([[], []])
  })

  it('is handed in if the process ran and the caller has only ended its own side', async () => {
    unreadMs = 0
    sendAndLeave(submission)
    await waitFor(() => answered.length > 0)
    expect(calls).to.deep.equal([['submit', 2700]])
  })

  it('does not keep a cancel from being handed in', async () => {
    unreadMs = 7000
    sendAndLeave('DELETE /plans/0000000000000001 HTTP/1.1\r\nHost: a.example\r\n\r\n')
    await waitFor(() => answered.length > 0)
    expect(calls).to.deep.equal([['cancel', 2700]])
  })
})
