import { expect } from 'chai'
import { runDev } from '../../cli/devCommand'

describe('a site in one process', () => {
  it('answers requests and finishes each batch task once with three control replicas', async () => {
    const lines: string[] = []
    const code = await runDev({ once: true, controls: 3 }, line => lines.push(line))
    expect(lines.join('\n')).to.include('answered=50 not_run_once=0 tasks=5 finished_once=5')
    expect(code).to.equal(0)
  })
})
