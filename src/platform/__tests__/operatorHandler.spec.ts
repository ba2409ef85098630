import { expect } from 'chai'
import { createLogger } from '../../observability'
import type { EvacuationOutcome } from '../../tasks/jobs'
import { openListener, peerListenerBounds } from '../../transport'
import { callsForEvacuations, createOperatorHandler } from '..'

interface Played {
  readonly outcome: EvacuationOutcome
  readonly leader?: string
  readonly zones?: readonly string[] | undefined
}

/** Sends a request to a handler whose replica a spec plays: the status, where it points, and what was ordered. */
async function send (method: string, path: string, { outcome, leader, ...played }: Played): Promise<readonly unknown[]> {
  const ordered: string[] = []
  const listener = await openListener({
    address: { host: '127.0.0.1', port: 0 },
    handle: createOperatorHandler({
      putManifest: async () => 'unknown',
      readManifest: async () => ({ type: 'unconfirmed' }),
      changeEvacuation: async (zone, change) => {
        ordered.push(`${change} ${zone}`)
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
    return [response.status, response.headers.get('location'), ...ordered]
  } finally {
    listener.destroy()
  }
}

describe('the handler of operators\' requests', () => {
  const committed = { outcome: 'committed' } as const
  const leader = '127.0.0.9:7'
  const cases: ReadonlyArray<readonly [string, string, string, Played, readonly unknown[]]> = [
    ['acknowledges an order to evacuate a zone', 'POST', '/-/evacuate/a', committed, [200, null, 'start a']],
    ['acknowledges its withdrawal', 'DELETE', '/-/evacuate/b%20c', committed, [200, null, 'end b c']],
    ['points at the leader with the path as it came', 'POST', '/-/evacuate/b%20c', { outcome: 'notLeading', leader }, [307, `http://${leader}/-/evacuate/b%20c`, 'start b c']],
    ['says that it knows no leader', 'POST', '/-/evacuate/a', { outcome: 'notLeading' }, [503, null, 'start a']],
    ['acknowledges no order whose commit is not known', 'POST', '/-/evacuate/a', { outcome: 'unknown', leader }, [503, null, 'start a']],
    ['refuses a zone that can not be percent-decoded, without an error', 'POST', '/-/evacuate/%ff', committed, [400, null]],
    ['knows no zone that the settings do not name, also if it is called like a property of every object', 'POST', '/-/evacuate/constructor', committed, [404, null]],
    ['knows no evacuations where the contracts do not call for them', 'POST', '/-/evacuate/a', { ...committed, zones: undefined }, [404, null]],
    ['takes no other method', 'PUT', '/-/evacuate/a', committed, [405, null]]
  ]
  for (const [what, method, path, played, answer] of cases) {
    it(what, async () => { expect(await send(method, path, played)).to.deep.equal(answer) })
  }

  it('takes orders to evacuate zones under the contract that calls for them', () => {
    expect([['places'], ['other', 'places'], ['other'], []].map(callsForEvacuations)).to.deep.equal([true, true, false, false])
  })
})
