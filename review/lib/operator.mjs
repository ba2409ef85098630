import { call, route, sleep } from './deployment.mjs'

/** `config_storm` of the site files: a change each `stormGapMs` for `stormMs`. */
export const stormGapMs = 176
export const stormMs = 4430
/** Orders that an operator may have in progress at once. */
const ordersInProgress = 8

/** An operator who changes the time-out of a route again and again, beside a number of routes that stay as they are. */
export class Operator {
  version = 1
  acknowledged = 1

  constructor (deployment, routes) {
    this.deployment = deployment
    this.others = Array.from({ length: routes }, (_, number) => ({ ...route, name: `r-${(number + 1000).toString(36)}idle`, host: `idle${number}.example`, pathPrefix: `/pufi${number}/` }))
  }

  /** Sends changes in quick succession and waits until all have ended. */
  async storm () {
    const inProgress = new Set()
    const endAt = performance.now() + stormMs
    while (performance.now() < endAt) {
      if (inProgress.size < ordersInProgress) {
        this.version += 1
        const order = this.put(this.version).finally(() => inProgress.delete(order))
        inProgress.add(order)
      }
      await sleep(stormGapMs)
    }
    await Promise.all(inProgress)
  }

  async put (version) {
    const isAcknowledged = await this.deployment.tryManifest(version, [{ ...route, timeoutMs: 3000 + version }, ...this.others])
    if (isAcknowledged) this.acknowledged = Math.max(this.acknowledged, version)
  }

  /** Reads the manifest at one node, following redirections twice. Resolves to its version, or to the status without one. */
  async read (edge) {
    let address = { host: this.deployment.edges[edge].ip, port: this.deployment.ports.control }
    let answer
    for (let hop = 0; hop < 3; hop += 1) {
      answer = await call(address, 'GET', '/-/config', { timeoutMs: 2000 })
      if (answer.status !== 307) break
      const { hostname, port } = new URL(answer.headers.location)
      address = { host: hostname, port: Number(port) }
    }
    return answer.status === 200 ? { version: JSON.parse(answer.text).version } : { status: answer.status }
  }

  /**
   * Reads the manifest and the state of a submission repeatedly, at all nodes. Resolves to undefined once the newest acknowledged
   * manifest and the state were read, and else to what was answered last.
   */
  async readBack (jobId, forMs) {
    let last = ''
    const endAt = performance.now() + forMs
    for (let attempt = 0; performance.now() < endAt; attempt += 1) {
      const edge = attempt % this.deployment.edges.length
      const { version, status } = await this.read(edge)
      const state = await this.deployment.stateOf(jobId, edge)
      this.deployment.record({ event: 'read back', edge, version, status, state })
      if (version >= this.acknowledged && state === 'active') return undefined
      last = `the manifest is answered with ${version === undefined ? status : `version ${version}`}, the submission with ${state}`
      await sleep(250)
    }
    return last
  }
}
