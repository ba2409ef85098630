import http from 'node:http'
import type { Address } from '../src/transport'

/** What a load run saw. */
export interface LoadResult {
  readonly latenciesMs: readonly number[]
  readonly failed: number
  readonly perSecond: number
}

/** Sends requests in a closed loop over a number of connections for a time. */
export async function runClosedLoop (address: Address, path: string, connections: number, durationMs: number): Promise<LoadResult> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: connections })
  const latenciesMs: number[] = []
  let failed = 0
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: connections }, async () => {
    while (performance.now() - startedAt < durationMs) {
      const sentAt = performance.now()
      if (await send(agent, address, path)) latenciesMs.push(performance.now() - sentAt)
      else failed += 1
    }
  }))
  agent.destroy()
  return { latenciesMs, failed, perSecond: latenciesMs.length * 1000 / (performance.now() - startedAt) }
}

/** Sends requests at a fixed rate for a time. */
export async function runPaced (address: Address, path: string, perSecond: number, durationMs: number): Promise<LoadResult> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 200 })
  const latenciesMs: number[] = []
  const pending: Array<Promise<void>> = []
  let failed = 0
  const startedAt = performance.now()
  for (let index = 0; index < perSecond * durationMs / 1000; index += 1) {
    const dueAt = startedAt + index * 1000 / perSecond
    while (performance.now() < dueAt) await new Promise(resolve => setTimeout(resolve, 1))
    const sentAt = performance.now()
    pending.push(send(agent, address, path).then(isAnswered => {
      if (isAnswered) latenciesMs.push(performance.now() - sentAt)
      else failed += 1
    }))
  }
  await Promise.all(pending)
  agent.destroy()
  return { latenciesMs, failed, perSecond: latenciesMs.length * 1000 / (performance.now() - startedAt) }
}

async function send (agent: http.Agent, address: Address, path: string): Promise<boolean> {
  return await new Promise(resolve => {
    const request = http.get({ ...address, path, agent }, response => {
      response.resume()
      response.once('end', () => resolve(response.statusCode === 200))
      response.once('error', () => resolve(false))
    })
    request.once('error', () => resolve(false))
  })
}
