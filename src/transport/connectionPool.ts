import http from 'node:http'
import type { Socket } from 'node:net'

/** The address and port on which a process listens. */
export interface Address {
  /** An IP address. */
  readonly host: string
  readonly port: number
}

/** Options of a connection pool. */
export interface ConnectionPoolOptions {
  /** Idle connections are closed after this time, in milliseconds, before a device on the path drops their state. */
  readonly idleMs: number
  /** The largest number of connections to one address, idle ones included. */
  readonly maximumPerAddress: number
}

/** Parses "host:port". The text is not validated. */
export function parseAddress (text: string): Address {
  const separator = text.lastIndexOf(':')
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) }
}

/** Formats an address as "host:port". */
export function formatAddress (address: Address): string {
  return `${address.host}:${address.port}`
}

/** Keeps connections to peers open for reuse and closes those whose path may have failed silently. */
export class ConnectionPool {
  /** The agent to pass to Node's HTTP client. */
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

  /** Closes the idle connections to one address. Called after a failed request, as the other connections to that address have probably failed too. */
  closeIdle (address: Address): void {
    const key = this.agent.getName({ host: address.host, port: address.port })
    for (const socket of this.findIdleSockets(key)) socket.destroy()
  }

  /** Closes all connections, including those in use. */
  close (): void {
    this.agent.destroy()
  }

  private findIdleSockets (key: string): readonly Socket[] {
    return [...this.agent.freeSockets[key] ?? []]
  }
}
