import net from 'node:net'
import { expect } from 'chai'
import { formatAddress, openListener, peerListenerBounds, type Listener } from '../../transport'
import { readBody, sendJson } from '../httpBody'

const maximumBytes = 100_000
const timeoutMs = 200

describe('readBody', () => {
  let listener: Listener

  beforeEach(async () => {
    listener = await openListener({
      address: { host: '127.0.0.1', port: 0 },
      handle: (request, response) => {
        readBody(request, maximumBytes, timeoutMs).then(body => sendJson(response, body === undefined ? 413 : 200), () => response.destroy())
      },
      ...peerListenerBounds
    })
  })

  afterEach(() => listener.destroy())

  it('lets the handler answer 413 to a body that is too long; a sender whose connection breaks would retry', async () => {
    const post = async (bytes: number): Promise<number> => (await fetch(`http://${formatAddress(listener.address)}/`, { method: 'POST', body: 'x'.repeat(bytes) })).status
    expect([await post(maximumBytes), await post(100 * maximumBytes)]).to.deep.equal([200, 413])
  })

  it('closes the connection of an incomplete body after the timeout, so that such requests cannot exhaust the connections', async () => {
    const socket = net.connect(listener.address)
    const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
    socket.on('error', () => {})
    socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nx')
    const startedAt = performance.now()
    await closed
    expect(performance.now() - startedAt).to.be.within(timeoutMs / 2, 10 * timeoutMs)
  })
})
