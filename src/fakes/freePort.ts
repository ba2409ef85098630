import net, { type AddressInfo } from 'node:net'

/** Finds ports on loopback which are free now; all are held until the last one is found. */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => await listen()))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async server => await new Promise(resolve => server.close(resolve))))
  return ports
}

async function listen (): Promise<net.Server> {
  return await new Promise(resolve => {
    const server = net.createServer()
    server.listen(0, '127.0.0.1', () => resolve(server))
  })
}
