import { expect } from 'chai'
import { createLogger } from '../../observability'
import { formatAddress, openListener, peerListenerBounds, type Listener } from '../../transport'
import { createRegistrationHandler } from '../registrationHandler'

const heartbeat = { service: 's', address: '127.0.0.1:1', zone: 'a', state: 'ready', capacity: { cpu: 16000, memMb: 1, gpu: 0 }, labels: [], clockMs: 5, sequence: 4, born: 17 }

describe('createRegistrationHandler', () => {
  let listener: Listener
  let lines: string[]
  let reportedWorkers: string[]

  beforeEach(async () => {
    lines = []
    reportedWorkers = []
    listener = await openListener({
      address: { host: '127.0.0.1', port: 0 },
      handle: createRegistrationHandler({
        onRegistered: ({ workerId }) => reportedWorkers.push(workerId),
        onLeft: workerId => reportedWorkers.push(workerId),
        logger: createLogger({ level: 'info', write: line => lines.push(line) })
      }),
      ...peerListenerBounds
    })
  })

  afterEach(() => listener.destroy())

  const malformedNames: ReadonlyArray<readonly [string, string, string]> = [
    ['PUT', '%ff', 'that cannot be percent-decoded'],
    ['DELETE', '%ff', 'that cannot be percent-decoded'],
    ['PUT', 'w%0a', 'that cannot be sent in a header']
  ]
  for (const [method, name, flaw] of malformedNames) {
    it(`answers 400 to ${method} of a name ${flaw}, and logs one line without a stack`, async () => {
      const { status } = await fetch(`http://${formatAddress(listener.address)}/-/instances/${name}`, { method, ...(method === 'PUT' ? { body: JSON.stringify(heartbeat) } : {}) })
      expect(status).to.equal(400)
      expect(lines).to.have.length(1)
      expect(lines[0]).to.include('registration_malformed').and.not.include('    at ')
      expect(reportedWorkers).to.deep.equal([])
    })
  }

  it('decodes a percent-encoded worker name', async () => {
    await fetch(`http://${formatAddress(listener.address)}/-/instances/i%2D1`, { method: 'DELETE' })
    expect(reportedWorkers).to.deep.equal(['i-1'])
  })
})
