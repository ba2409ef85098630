import net, { type AddressInfo, type Socket } from 'node:net'
import type { Address } from '../../transport'

/** The direction of data on a connection: `there` is from the client, which opened it, to the target. */
export type Direction = 'there' | 'back'

/** A TCP proxy that can drop the data of open connections without closing them, as a middlebox does that has lost their state. */
export interface TcpProxy {
  readonly address: Address
  /** Drops data in these directions on the connections that are open now; later connections are forwarded. */
  dropData (directions: readonly Direction[]): void
  readonly connectionCount: () => number
  close (): void
}

/** Starts a proxy in front of a target. */
export async function createTcpProxy (target: Address): Promise<TcpProxy> {
  const sockets = new Set<Socket>()
  const open = new Set<{ there: boolean, back: boolean }>()
  let connectionCount = 0
  const server = net.createServer(client => {
    connectionCount += 1
    const forwards = { there: true, back: true }
    const upstream = net.connect(target.port, target.host)
    open.add(forwards)
    for (const socket of [client, upstream]) {
      sockets.add(socket)
      socket.on('error', () => {})
    }
    client.on('data', chunk => { if (forwards.there) upstream.write(chunk) })
    upstream.on('data', chunk => { if (forwards.back) client.write(chunk) })
    client.on('close', () => { if (forwards.there) upstream.destroy() })
    upstream.on('close', () => { if (forwards.back) client.destroy() })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return {
    address: { host: '127.0.0.1', port },
    dropData: directions => {
      for (const forwards of open) for (const direction of directions) forwards[direction] = false
      open.clear()
    },
    connectionCount: () => connectionCount,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
