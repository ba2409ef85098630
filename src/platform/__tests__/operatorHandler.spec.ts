import { expect } from 'chai'
import { createLogger } from '../../observability'
import type { EvacuationOutcome } from '../../tasks/jobs'
import { openListener, peerListenerBounds } from '../../transport'
import { callsForEvacuations, createOperatorHandler, maximumManifestBytes } from '..'

interface SimulatedReplica {
  readonly outcome: EvacuationOutcome
  readonly leader?: string
  readonly zones?: readonly string[] | undefined
}

/** Sends a request to a handler with a simulated replica; returns the status, the redirect target and the ordered changes. */
async function send (method: string, path: string, { outcome, leader, ...played }: SimulatedReplica): Promise<readonly unknown[]> {
  const orderedChanges: string[] = []
  const listener = await openListener({
    address: { host: '127.0.0.1', port: 0 },
    handle: createOperatorHandler({
      putManifest: async () => 'unknown',
      readManifest: async () => ({ type: 'unconfirmed' }),
      changeEvacuation: async (zone, change) => {
        orderedChanges.push(`${change} ${zone}`)
        return outcome
      },
      evacuableZones: () => 'zones' in played ? played.zones : ['a', 'b c'],
      leader: () => leader,
      logger: createLogger({ level: 'error', write: () => {} })
    }),
    ...peerListenerBounds
  })
  try {
    const { host, port } = listener.address
    const response = await fetch(`http://${host}:${port}${path}`, { method, redirect: 'manual' })
    return [response.status, response.headers.get('location'), ...orderedChanges]
  } finally {
    listener.destroy()
  }
}

describe('createOperatorHandler', () => {
  const committed = { outcome: 'committed' } as const
  const leader = '127.0.0.9:7'
  const cases: ReadonlyArray<readonly [string, string, string, SimulatedReplica, readonly unknown[]]> = [
    ['acknowledges a committed order to evacuate a zone', 'POST', '/-/evacuate/a', committed, [200, null, 'start a']],
    ['acknowledges a committed withdrawal of that order', 'DELETE', '/-/evacuate/b%20c', committed, [200, null, 'end b c']],
    ['redirects to the leader with the path unchanged', 'POST', '/-/evacuate/b%20c', { outcome: 'notLeading', leader }, [307, `http://${leader}/-/evacuate/b%20c`, 'start b c']],
    ['answers 503 when it knows no leader', 'POST', '/-/evacuate/a', { outcome: 'notLeading' }, [503, null, 'start a']],
    ['answers 503 when it is unknown whether the order is committed', 'POST', '/-/evacuate/a', { outcome: 'unknown', leader }, [503, null, 'start a']],
    ['answers 400 to a zone that cannot be percent-decoded', 'POST', '/-/evacuate/%ff', committed, [400, null]],
    ['answers 404 to a zone that the settings do not name, also if its name is a property of every object', 'POST', '/-/evacuate/constructor', committed, [404, null]],
    ['answers 404 to an order where the contracts include no evacuations', 'POST', '/-/evacuate/a', { ...committed, zones: undefined }, [404, null]],
    ['answers 405 to any other method', 'PUT', '/-/evacuate/a', committed, [405, null]]
  ]
  for (const [what, method, path, played, answer] of cases) {
    it(what, async () => { expect(await send(method, path, played)).to.deep.equal(answer) })
  }

  it('answers 413 with the limit to a manifest that exceeds it, and keeps nothing of it', async () => {
    const manifests: number[] = []
    const listener = await openListener({
      address: { host: '127.0.0.1', port: 0 },
      handle: createOperatorHandler({
        putManifest: async ({ version }) => {
          manifests.push(version)
          return 'inForce'
        },
        readManifest: async () => ({ type: 'unconfirmed' }),
        changeEvacuation: async () => 'committed',
        evacuableZones: () => undefined,
        leader: () => undefined,
        logger: createLogger({ level: 'error', write: () => {} })
      }),
      ...peerListenerBounds
    })
    const put = async (version: number, bytes: number): Promise<readonly unknown[]> => {
      const manifest = { version, routes: [], services: [], limits: { padding: '' } }
      const padding = 'a'.repeat(bytes - JSON.stringify(manifest).length)
      const response = await fetch(`http://127.0.0.1:${listener.address.port}/-/config`, { method: 'PUT', body: JSON.stringify({ ...manifest, limits: { padding } }) })
      return [response.status, await response.json()]
    }
    try {
      expect(await put(1, maximumManifestBytes)).to.deep.equal([200, {}])
      expect(await put(2, maximumManifestBytes + 1)).to.deep.equal([413, { error: 'the manifest exceeds 4194304 bytes' }])
      expect(manifests).to.deep.equal([1])
    } finally {
      listener.destroy()
    }
  })

  it('supports evacuations exactly under the contract that calls for them', () => {
    expect([['places'], ['other', 'places'], ['other'], []].map(callsForEvacuations)).to.deep.equal([true, true, false, false])
  })
})
