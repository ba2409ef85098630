import { expect } from 'chai'
import { createLogger } from '../../../observability'
import { findFreePorts } from '../../../fakes'
import { createStreamHandler, defaultStreamBounds, openListener, peerListenerBounds, type Listener, type MessageStream } from '../../../transport'
import { waitFor } from '../../../wiring/__tests__/siteFixture'
import { createTcpProxy, type Direction, type TcpProxy } from '../../../wiring/__tests__/tcpProxy'
import { decodeClientMessage } from '../controlCodec'
import { ControlLink } from '../controlLink'
import type { ClientMessage, ControlReply } from '../controlProtocol'

describe('the link to the leader', () => {
  const listeners: Listener[] = []
  const streams: Array<MessageStream<ClientMessage, ControlReply>> = []
  const proxies: TcpProxy[] = []
  let link: ControlLink | undefined

  afterEach(() => {
    link?.stop()
    for (const stream of streams.splice(0)) stream.close()
    for (const proxy of proxies.splice(0)) proxy.close()
    for (const listener of listeners.splice(0)) listener.destroy()
  })

  /** A replica that considers itself the leader of a term; `greeted` counts the messages that it received. */
  async function startLeader (port: number, term: number, members: readonly string[], answer: (stream: MessageStream<ClientMessage, unknown>, greeted: number) => void = () => {}): Promise<{ greeted: number, close: () => void }> {
    const replica = { greeted: 0, close: () => { for (const stream of own.splice(0)) stream.close() } }
    const own: Array<MessageStream<ClientMessage, ControlReply>> = []
    listeners.push(await openListener({
      address: { host: '127.0.0.1', port },
      handle: createStreamHandler<ClientMessage, ControlReply>(defaultStreamBounds, decodeClientMessage, stream => {
        streams.push(stream)
        own.push(stream)
        stream.listen({
          onMessage: () => {
            replica.greeted += 1
            answer(stream, replica.greeted)
            stream.send({ type: 'directory', isLeading: true, term, leader: `127.0.0.1:${port}`, members, keepsLog: true })
          },
          onEnd: () => {}
        })
      }),
      ...peerListenerBounds
    }))
    return replica
  }

  it('finds the leader again after malformed answers, received before it knew the leader and afterwards', async () => {
    const [port] = await findFreePorts(1) as [number]
    const malformedReplies: readonly unknown[] = [null, 7, { type: 'directory' }, { type: 'directory', isLeading: true, term: 1, members: 7, keepsLog: true }, { type: 'answer', id: 1 }, { type: 'lease', worker: 'w', leaseEndMs: null }]
    const receivedTypes: string[] = []
    await startLeader(port, 1, [], (stream, greeted) => {
      const malformedReply = malformedReplies[Math.floor((greeted - 1) / 2)]
      if (greeted > 2 * malformedReplies.length) stream.send({ type: 'released', worker: 'w', task: 't', run: 1 })
      else if (greeted % 2 === 1) stream.send(malformedReply)
      else setTimeout(() => stream.send(malformedReply), 10)
    })
    link = new ControlLink({
      role: 'entry',
      name: 'entry',
      seeds: [`127.0.0.1:${port}`],
      bounds: defaultStreamBounds,
      logger: createLogger({ level: 'error', write: () => {} }),
      onOpen: () => setTimeout(() => link?.send({ type: 'hello', role: 'entry', name: 'entry' }), 50),
      onMessage: ({ type }) => receivedTypes.push(type),
      onLost: () => {}
    })
    link.start()
    await waitFor(() => receivedTypes.length > 0)
    expect(receivedTypes[0]).to.equal('released')
  })

  for (const silent of [['there', 'back'], ['there'], ['back']] as const satisfies ReadonlyArray<readonly Direction[]>) {
    it(`finds the leader again when its open stream goes silent without a reset, ${silent.join(' and ')}`, async () => {
      const [port] = await findFreePorts(1) as [number]
      await startLeader(port, 1, [])
      const proxy = await createTcpProxy({ host: '127.0.0.1', port })
      proxies.push(proxy)
      let opened = 0
      let lost = 0
      link = new ControlLink({
        role: 'agent',
        name: 'agent',
        seeds: [`127.0.0.1:${proxy.address.port}`],
        bounds: defaultStreamBounds,
        logger: createLogger({ level: 'error', write: () => {} }),
        onOpen: () => { opened += 1 },
        onMessage: () => {},
        onLost: () => { lost += 1 }
      })
      link.start()
      await waitFor(() => opened === 1)
      proxy.dropData(silent)
      await waitFor(() => opened === 2)
      expect(lost).to.equal(1)
    })
  }

  it('never follows a leader whose term is lower than that of a leader it followed', async () => {
    const [deposedPort, port] = await findFreePorts(2) as [number, number]
    const deposedName = `127.0.0.1:${deposedPort}`
    const name = `127.0.0.1:${port}`
    const leader = await startLeader(port, 3, [deposedName, name])
    const terms: number[] = []
    link = new ControlLink({
      role: 'agent',
      name: 'agent',
      seeds: [name],
      bounds: defaultStreamBounds,
      logger: createLogger({ level: 'error', write: () => {} }),
      onOpen: term => terms.push(term),
      onMessage: () => {},
      onLost: () => {}
    })
    link.start()
    await waitFor(() => terms.length === 1)
    const deposed = await startLeader(deposedPort, 1, [deposedName, name])
    leader.close()
    await waitFor(() => deposed.greeted > 0 && terms.length === 2)
    expect(terms).to.deep.equal([3, 3])
  })

  it('follows the leader again after another process has claimed a term that no leader reaches', async () => {
    const [port] = await findFreePorts(1) as [number]
    const name = `127.0.0.1:${port}`
    const stranger = await startLeader(port, 2 ** 52, [name])
    const terms: number[] = []
    link = new ControlLink({
      role: 'agent',
      name: 'agent',
      seeds: [name],
      bounds: defaultStreamBounds,
      logger: createLogger({ level: 'error', write: () => {} }),
      onOpen: term => terms.push(term),
      onMessage: () => {},
      onLost: () => {}
    })
    link.start()
    await waitFor(() => terms.length === 1)
    stranger.close()
    listeners.pop()?.destroy()
    await startLeader(port, 4, [name])
    await waitFor(() => terms.length === 2)
    expect(terms).to.deep.equal([2 ** 52, 4])
  })
})
