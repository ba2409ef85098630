import { expect } from 'chai'
import { createLogger, Histograms } from '..'

describe('a logger', () => {
  it('writes one line of key=value pairs for an event and quotes values, so that none can inject a pair or a line', () => {
    const lines: string[] = []
    const logger = createLogger({ level: 'info', write: line => lines.push(line), now: () => 0 }).with({ role: 'entry' })
    logger.info('refused', { path: '/x"\nlevel=error event=forged \u2028', status: 404 })
    logger.debug('hidden')
    expect(lines).to.deep.equal(['time=1970-01-01T00:00:00.000Z level=info event=refused role=entry path="/x\\"\\nlevel=error event=forged \\u2028" status=404'])
  })
})

describe('histograms', () => {
  it('are kept for each organisation and class, up to a maximum number', async () => {
    const histograms = await Histograms.create(2)
    for (let ms = 1; ms <= 100; ms += 1) histograms.record('cartago', 'latency', ms)
    for (const organisation of ['tonos', 'a', 'b']) histograms.record(organisation, 'batch', 5)
    const [first] = histograms.summarize()
    expect(first).to.include({ organisation: 'cartago', workClass: 'latency', count: 100 })
    expect(first?.p99Ms).to.be.within(98, 100)
    expect(histograms.summarize().map(summary => summary.organisation)).to.deep.equal(['cartago', 'tonos', 'other'])
  })
})
