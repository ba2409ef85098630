import http from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Failure } from '../core/failures'
import type { Result } from '../core/results'
import type { AttemptId, LeaseRenewal, TaskOrder } from '../workers'
import type { Address } from '../transport'
import { FakeWorkerModel, type FakeWorkerOptions } from './fakeWorkerModel'

/** A fake worker that serves the calls of `HttpWorkerPlatform`. */
export interface FakeWorker {
  readonly address: Address
  readonly model: FakeWorkerModel
  /** Stops or resumes answering, without closing connections. */
  setSilent (isSilent: boolean): void
  close (): Promise<void>
}

type Command = AttemptId & { readonly term: number, readonly share?: number }

/** Starts a fake worker on a free loopback port. */
export async function createFakeWorker (options: FakeWorkerOptions): Promise<FakeWorker> {
  const model = new FakeWorkerModel(options)
  let isSilent = false

  function handle (path: string, body: unknown): Result<unknown, Failure> {
    const command = body as Command
    switch (path) {
      case '/lease': return model.renew(body as LeaseRenewal)
      case '/start': return model.start(command.term, body as TaskOrder)
      case '/evict': return model.evict(command.term, command)
      case '/stop': return model.stop(command.term, command)
      default: return model.throttle(command.term, command, command.share ?? 1)
    }
  }

  const server = http.createServer((request, response) => {
    let text = ''
    request.setEncoding('utf8')
    request.on('data', (chunk: string) => { text += chunk })
    request.once('end', () => {
      if (isSilent) return
      const outcome = handle(request.url ?? '', JSON.parse(text))
      if (outcome.ok) response.writeHead(200, { 'content-type': 'application/json' }).end(outcome.val === undefined ? '' : JSON.stringify(outcome.val))
      else response.writeHead(409).end(outcome.val.message)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return {
    address: { host: '127.0.0.1', port },
    model,
    setSilent: silent => { isSilent = silent },
    close: async () => await new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
