import net, { type AddressInfo, type Socket } from 'node:net'
import type { Address } from '../../transport'

/** The direction of data on a connection: `there` is from the client, which opened it, to the target. */
export type Direction = 'there' | 'back'

/** A TCP proxy that can drop the data of open connections without closing them, as a middlebox does that has lost their state. */
export interface Relay {
  readonly address: Address
  /** Drops data in these directions on the connections that are open now; later connections are forwarded. */
  forget (directions: readonly Direction[]): void
  readonly opened: () => number
  close (): void
}

/** Starts a proxy in front of a target. */
export async function createRelay (target: Address): Promise<Relay> {
  const sockets = new Set<Socket>()
  const open = new Set<{ there: boolean, back: boolean }>()
  let opened = 0
  const server = net.createServer(inner => {
    opened += 1
    const forwards = { there: true, back: true }
    const outer = net.connect(target.port, target.host)
    open.add(forwards)
    for (const socket of [inner, outer]) {
      sockets.add(socket)
      socket.on('error', () => {})
    }
    inner.on('data', chunk => { if (forwards.there) outer.write(chunk) })
    outer.on('data', chunk => { if (forwards.back) inner.write(chunk) })
    inner.on('close', () => { if (forwards.there) outer.destroy() })
    outer.on('close', () => { if (forwards.back) inner.destroy() })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return {
    address: { host: '127.0.0.1', port },
    forget: directions => {
      for (const forwards of open) for (const direction of directions) forwards[direction] = false
      open.clear()
    },
    opened: () => opened,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
