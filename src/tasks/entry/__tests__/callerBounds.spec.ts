import net from 'node:net'
import { expect } from 'chai'
import type { DevSite } from '../../../wiring'
import { request, startSite, waitFor } from '../../../wiring/__tests__/siteFixture'

describe('the callers\' listener', () => {
  let site: DevSite
  let seen: Record<string, unknown> = {}

  before(async () => {
    site = await startSite({
      serviceMs: 0,
      entrySettings: 'header_bytes = 2000\nheaders_timeout_ms = 300\nbody_idle_ms = 200\nmaximum_body_bytes = 200000\ncaller_connections = 6',
      answer: (incoming, response) => {
        seen = incoming.headers
        response.writeHead(200, { connection: 'x-private', 'x-private': 'hop', 'heatherdrum-load': '9,9', 'x-kept': 'yes' })
        response.end('ok')
      }
    })
  })
  after(async () => await site.close())

  /** Sends raw bytes and returns everything received until the connection closes. */
  async function exchange (...parts: readonly string[]): Promise<string> {
    const { host, port } = site.entries[0]?.callers ?? { host: '', port: 0 }
    return await new Promise(resolve => {
      let text = ''
      const socket = net.connect(port, host, () => parts.forEach(part => socket.write(part)))
      socket.on('data', chunk => { text += chunk.toString() })
      socket.on('error', () => {})
      socket.on('close', () => resolve(text))
    })
  }

  const statusOf = (text: string): string => text.split(' ')[1] ?? 'closed'
  const head = 'POST /services/tastings/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'

  it('strips internal and hop-by-hop headers in both directions', async () => {
    const answer = await request(site, { headers: { 'heatherdrum-request-id': 'forged', 'heatherdrum-incarnation': 'forged', te: 'trailers', connection: 'x-secret', 'x-secret': 's', 'x-mine': 'm' } })
    expect(seen).to.include({ 'x-mine': 'm' })
    expect(seen).not.to.have.any.keys('heatherdrum-request-id', 'heatherdrum-incarnation', 'heatherdrum-peer-key', 'te', 'x-secret')
    expect(answer.headers).to.include({ 'x-kept': 'yes', 'heatherdrum-outcome': 'answered' })
    expect(answer.headers).not.to.have.any.keys('x-private', 'heatherdrum-load')
  })

  it('refuses conflicting content lengths with 400 and headers over the limit with 431', async () => {
    expect(statusOf(await exchange(head, 'content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'))).to.equal('400')
    expect(statusOf(await exchange(head, 'content-length: 2\r\ncontent-length: 3\r\n\r\nabc'))).to.equal('400')
    expect(statusOf(await exchange(head, `x-long: ${'x'.repeat(5000)}\r\n\r\n`))).to.equal('431')
  })

  it('refuses a body over the limit with 413, and does not answer 200 to a chunked body over the limit', async () => {
    expect(statusOf(await exchange(head, 'content-length: 300000\r\n\r\n', 'x'.repeat(100_000)))).to.equal('413')
    const chunk = `186a0\r\n${'x'.repeat(100_000)}\r\n`
    expect(statusOf(await exchange(head, 'transfer-encoding: chunked\r\n\r\n', chunk, chunk, chunk))).not.to.equal('200')
  })

  it('refuses slow headers and slow bodies with 408', async () => {
    expect(statusOf(await exchange('POST /services/tastings/x HTTP/1.1\r\nhost'))).to.equal('408')
    expect(statusOf(await exchange(head, 'content-length: 10\r\n\r\nhalf'))).to.equal('408')
  })

  it('closes connections over the limit', async () => {
    const { host, port } = site.entries[0]?.callers ?? { host: '', port: 0 }
    const sockets = Array.from({ length: 12 }, () => net.connect(port, host).on('error', () => {}))
    await waitFor(() => sockets.filter(socket => socket.destroyed).length >= 6)
    sockets.forEach(socket => socket.destroy())
    await waitFor(async () => (await request(site).catch(() => undefined))?.status === 200)
  })

  it('answers malformed headers, unknown entries and unknown paths with a 4xx status, and names the expected value of a header', async () => {
    const { host, port } = site.entries[0]?.callers ?? { host: '', port: 0 }
    expect(`${host}:${port}`).not.to.equal(':0')
    expect((await request(site, { headers: { 'heatherdrum-timeout-ms': 'soon' } })).status).to.equal(400)
    expect((await request(site, { headers: { 'heatherdrum-idempotent': 'maybe' } })).body).to.include('expected true or false: got maybe')
    expect(statusOf(await exchange('GET /services/unknown/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'))).to.equal('404')
    expect(statusOf(await exchange('GET /elsewhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'))).to.equal('404')
  })
})
