import http from 'node:http'
import type { Socket } from 'node:net'

/** The address of a process. */
export interface Address {
  /** An IP number. */
  readonly host: string
  readonly port: number
}

/** Options of a connection pool. */
export interface ConnectionPoolOptions {
  /** Idle connections are closed after this time, before something on the way forgets them. */
  readonly idleMs: number
  /** Connections to one address. */
  readonly maximumPerAddress: number
}

/** Reads "host:port". */
export function parseAddress (text: string): Address {
  const separator = text.lastIndexOf(':')
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) }
}

/** Writes an address as "host:port". */
export function formatAddress (address: Address): string {
  return `${address.host}:${address.port}`
}

/** Keeps connections to peers and closes those which may have gone silent. */
export class ConnectionPool {
  /** The agent which Node's HTTP client takes. */
  readonly agent: http.Agent

  constructor (options: ConnectionPoolOptions) {
    this.agent = new http.Agent({
      keepAlive: true,
      timeout: options.idleMs,
      maxSockets: options.maximumPerAddress,
      maxFreeSockets: options.maximumPerAddress,
      scheduling: 'lifo'
    })
  }

  /** Closes the idle connections to one address: a silent one of them suggests that all are. */
  dropIdle (address: Address): void {
    const key = this.agent.getName({ host: address.host, port: address.port })
    for (const socket of this.idleSockets(key)) socket.destroy()
  }

  /** Closes all connections, also those in use. */
  close (): void {
    this.agent.destroy()
  }

  private idleSockets (key: string): readonly Socket[] {
    return [...this.agent.freeSockets[key] ?? []]
  }
}
