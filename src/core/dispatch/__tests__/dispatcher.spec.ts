import { expect } from 'chai'
import { Dispatcher, type DispatchRequest } from '..'
import { ExpectedDelayRouting } from '../../routing'

const request: DispatchRequest = { id: 'r', entry: 'e', organisation: 't', priority: 'latency', deadlineAt: 1000, queueLimit: 10, excluded: [] }

function createDispatcher (): Dispatcher {
  const dispatcher = new Dispatcher({
    table: { deadAfterMs: 2000, oneWayDelayMs: () => 1, ejectAfterFailures: 5, ejectMs: 1000, maximumEjectMs: 1000 },
    routing: new ExpectedDelayRouting(),
    queueCapacity: 10,
    retries: { ratio: 0, burst: 0 },
    weightOf: () => 1,
    random: () => 0.5
  })
  dispatcher.announce({ agent: 'a', incarnation: 'i', address: 'x', zone: 'z', entries: ['e'], slots: 1, queue: 0, isDraining: false, load: { busy: 0, yours: 0 }, revision: 1 }, 0)
  return dispatcher
}

describe('a dispatcher with an exhausted retry budget', () => {
  it('queues a request that was refused only for lack of a slot, and sends it when a slot may be free', () => {
    const dispatcher = createDispatcher()
    expect(dispatcher.retry(request, true, 0)).to.deep.equal([])
    expect(dispatcher.tick(50).map(dispatch => dispatch.type)).to.deep.equal(['send'])
  })

  it('rejects a request that failed at an endpoint', () => {
    expect(createDispatcher().retry(request, false, 0)[0]).to.have.nested.property('failure.code', 'request/retry-budget')
  })
})

describe('a dispatcher whose process was paused', () => {
  it('does not consider its agents dead', () => {
    const dispatcher = createDispatcher()
    dispatcher.discountPause(5000)
    expect(dispatcher.submit({ ...request, deadlineAt: 9000 }, 5100)[0]?.type).to.equal('send')
  })

  it('considers an agent dead that was silent while the process ran', () => {
    expect(createDispatcher().submit({ ...request, deadlineAt: 9000 }, 5100)[0]).to.have.nested.property('failure.code', 'request/no-endpoint')
  })
})
