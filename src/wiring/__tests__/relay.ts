import net, { type AddressInfo, type Socket } from 'node:net'
import type { Address } from '../../transport'

/** The direction of a connection, seen from whoever opened it. */
export type Direction = 'there' | 'back'

/** A TCP relay which can forget its open connections without closing them, as a middlebox does. */
export interface Relay {
  readonly address: Address
  /** Stops forwarding on the connections which are open now; new ones work. */
  forget (directions: readonly Direction[]): void
  readonly opened: () => number
  close (): void
}

/** Starts a relay before a target. */
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
