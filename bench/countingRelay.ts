import net, { type AddressInfo } from 'node:net'
import type { Address } from '../src/transport'

/** A relay which counts the bytes of both directions. */
export async function createCountingRelay (target: Address): Promise<{ readonly address: Address, readonly bytes: () => number }> {
  let bytes = 0
  const server = net.createServer(inner => {
    const outer = net.connect(target.port, target.host)
    const count = (chunk: Buffer): void => { bytes += chunk.length }
    inner.on('data', count).on('error', () => outer.destroy()).pipe(outer)
    outer.on('data', count).on('error', () => inner.destroy()).pipe(inner)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port }, bytes: () => bytes }
}
