import net from 'node:net'

/** The range lies below the ephemeral ports, so that no outgoing connection can take a port before its listener opens. */
const firstPort = 12_000
const portCount = 20_000
const portsPerProcess = 101

let next = (process.pid * portsPerProcess) % portCount

/** Finds loopback ports without a listener; a process does not get the same port twice. */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = firstPort + next
    next = (next + 1) % portCount
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

async function isFree (port: number): Promise<boolean> {
  return await new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
