import { createSocket } from 'node:dgram'
import { expect } from 'chai'
import { StatsdMetrics } from '..'

describe('metrics over UDP', () => {
  it('include the prefix, the value and the tags', async () => {
    const socket = createSocket('udp4')
    await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve))
    const received = new Promise<string>(resolve => socket.once('message', message => resolve(message.toString())))
    const metrics = new StatsdMetrics({ host: '127.0.0.1', port: socket.address().port, tags: { role: 'entry' }, onError: error => { throw error } })
    metrics.count('entry.not_run_retry', 2, { code: 'agent/no-slot' })
    await metrics.close()
    const line = await received
    socket.close()
    expect(line).to.match(/^heatherdrum\.entry\.not_run_retry:2\|c\|#/)
    expect(line).to.include('role:entry')
    expect(line).to.include('code:agent')
  })
})
