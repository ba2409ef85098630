import { expect } from 'chai'
import { Counters, renderMetrics } from '..'

describe('the metrics text', () => {
  it('has one line for each counter and for each quantile by organisation and class', () => {
    const counters = new Counters()
    counters.add('calls_total', { call: 'submit', status: '200' })
    counters.add('calls_total', { call: 'submit', status: '200' }, 2)
    const summary = { organisation: 'a.example', workClass: 'submit', count: 3, p50Ms: 1, p90Ms: 2, p99Ms: 3, p999Ms: 4, maxMs: 5 }
    expect(renderMetrics(counters, [summary]).split('\n')).to.include.members([
      'heatherdrum_calls_total{call="submit",status="200"} 3',
      'heatherdrum_latency_ms{organisation="a.example",class="submit",quantile="0.99"} 3',
      'heatherdrum_latency_ms_count{organisation="a.example",class="submit"} 3'
    ])
  })

  it('shows the last value of a gauge, and no series of a gauge that was removed', () => {
    const counters = new Counters()
    for (const value of [5, 3]) counters.set('backlog', { pool: 'a' }, value)
    counters.add('backlog_total')
    expect(counters.render()).to.include('heatherdrum_backlog{pool="a"} 3\n')
    counters.removeGauge('backlog')
    expect(counters.render()).to.equal('heatherdrum_backlog_total 1\n')
  })

  it('limits the number of series and counts what it dropped', () => {
    const counters = new Counters()
    for (let number = 0; number < 3000; number += 1) counters.add('x_total', { number: String(number) })
    const lines = counters.render().trim().split('\n')
    expect(lines).to.have.length(2001)
    expect(lines).to.include('heatherdrum_counters_dropped_total 1000')
  })
})
