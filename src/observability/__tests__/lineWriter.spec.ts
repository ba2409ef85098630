import { expect } from 'chai'
import { LineWriter, type DescriptorWrite } from '../lineWriter'

/** Longer than two flush intervals. */
const twoFlushesMs = 150

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

describe('a line writer', () => {
  it('counts each line of a failed write as dropped', async () => {
    const written: string[] = []
    let fails = true
    let settled = (): void => {}
    const reported = new Promise<void>(resolve => { settled = resolve })
    const write: DescriptorWrite = (_descriptor, bytes, done) => {
      if (fails) {
        fails = false
        done(new Error('EPIPE'), 0)
        return
      }
      written.push(bytes.toString())
      done(null, bytes.length)
      settled()
    }
    const writer = new LineWriter(1, write)
    for (let index = 0; index < 7; index += 1) writer.write(`event=line index=${index}`)
    const keepAlive = setInterval(() => {}, twoFlushesMs)
    await reported
    clearInterval(keepAlive)
    expect(written.join('')).to.include('event=log_dropped lines=7')
  })

  it('writes the remaining bytes after a partial write', async () => {
    let written = ''
    const write: DescriptorWrite = (_descriptor, bytes, done) => {
      const taken = bytes.subarray(0, 10)
      written += taken.toString()
      setImmediate(() => done(null, taken.length))
    }
    const writer = new LineWriter(1, write)
    const lines = ['event=first value=äöü', 'event=second', 'event=third']
    for (const line of lines) writer.write(line)
    while (!written.endsWith('third\n')) await pause(10)
    expect(written).to.equal(lines.join('\n') + '\n')
  })
})
