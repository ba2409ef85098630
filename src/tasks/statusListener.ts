import type { Address, Listener, RequestHandler } from '../transport'
import { openListener } from '../transport'

const maximumConnections = 16
const maximumHeaderBytes = 8192
const headersTimeoutMs = 5000
const keepAliveMs = 5000

/** Opens the status address of a daemon: `GET /status` answers with its state as JSON, `GET /health` with 200 while the process is alive. */
export async function openStatusListener (address: Address, describe: () => object): Promise<Listener> {
  const handle: RequestHandler = (request, response) => {
    const body = request.method === 'GET' ? bodyOf(request.url ?? '', describe) : undefined
    const text = JSON.stringify(body ?? { expected: 'GET /status or GET /health' }) + '\n'
    response.writeHead(body === undefined ? 404 : 200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
  return await openListener({ address, handle, maximumConnections, maximumHeaderBytes, headersTimeoutMs, keepAliveMs })
}

function bodyOf (url: string, describe: () => object): object | undefined {
  if (url === '/status') return describe()
  return url === '/health' ? { health: 'ok' } : undefined
}
