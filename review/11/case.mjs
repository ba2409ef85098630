// A consumer leaves a machine that stands still, and cancels at another one. Its submission must not start long after the cancel was acknowledged.
import { fileURLToPath } from 'node:url'
import { Deployment, manifest, Record, send, sleep, until } from '../lib-2/deployment.mjs'
import { Minion } from '../lib-2/minion.mjs'

const folder = fileURLToPath(new URL('.', import.meta.url))
const isTroubled = process.env.TROUBLE !== '0'
const freezeMs = 7000
const cancelMs = 3000
const host = 'nony24.example'
const prefix = '/lohu930/'
const jobId = [...Array(16)].map(() => '0123456789abcdef'[Math.floor(Math.random() * 16)]).join('')

const record = new Record(folder)
const deployment = new Deployment(record)

/** Restarts the control process that leads, unless it is the first one of the list, where processes that look for the leader ask first. */
async function makeFirstLead () {
  const position = await deployment.leader()
  if (position === undefined || position === 0) return position === 0
  await deployment.restart(`edge-${deployment.zones[position]}-1-control`)
  return false
}

async function play () {
  const minions = Array.from({ length: 11 }, (_each, position) => new Minion({ name: `minion-${position + 1}`, record }))
  await deployment.begin(minions)
  // A fourth machine for consumers, which has no disk: it doesn't belong to the core.
  const ip = deployment.ip(20)
  deployment.start('entry', 'edge-paraiso-2', ip, 'paraiso')
  deployment.start('relay', 'edge-paraiso-2', ip, 'paraiso')
  const frozen = `${ip}:${deployment.base}`
  const put = await deployment.operate('PUT', '/-/config', manifest(7, [{ name: 'r-1', host, prefix }]))
  record.note(`manifest answered ${put.status}`)
  if (put.status !== 200) return 2
  if (!await until(async () => (await send({ address: frozen, method: 'GET', path: prefix, host })).status === 200, 10000)) return 2
  if (!await until(async () => await makeFirstLead(), 30000, 1000)) return 2
  // Planned work long before the case ends in time.
  await sleep(8000)
  if (isTroubled) for (const role of ['entry', 'relay']) deployment.signal(`edge-paraiso-2-${role}`, 'SIGSTOP')
  const frozenAt = performance.now()
  const body = { spec: '{"ms":1000}', phases: [{ count: 3, cpu: 500, memMb: 256, estimateMs: 1000 }] }
  record.note(`POST ${jobId} to edge-paraiso-2`)
  const posted = await send({ address: frozen, method: 'POST', path: prefix + jobId, host, body, headers: { 'deadline-ms': '3000' }, timeoutMs: 3000 })
  record.note(`POST answered ${posted.status === 0 ? 'nothing; the consumer leaves' : posted.status}`)
  const cancelled = await send({ address: deployment.entries[1], method: 'DELETE', path: prefix + jobId, host })
  const cancelledAt = performance.now()
  record.note(`DELETE ${jobId} at edge-oreamuno-1 answered ${cancelled.status}`)
  if (cancelled.status !== 410 && cancelled.status !== 200) return 2
  await sleep(frozenAt + freezeMs - performance.now())
  if (isTroubled) for (const role of ['entry', 'relay']) deployment.signal(`edge-paraiso-2-${role}`, 'SIGCONT')
  await sleep(4000)
  const state = await send({ address: deployment.entries[1], method: 'GET', path: prefix + jobId, host })
  record.note(`GET ${jobId} at edge-oreamuno-1 answered ${state.status} ${state.text}`)
  const late = minions.flatMap(({ history }) => history).filter(({ at }) => at > cancelledAt + cancelMs)
  record.note(`${late.length} starts later than ${cancelMs} ms after the cancel was acknowledged`)
  return late.length > 0 ? 1 : 0
}

let code = 2
try {
  code = await play()
} catch (error) {
  record.note(String(error.stack ?? error))
} finally {
  await deployment.end()
}
record.note(['held', 'broken', 'could not run'][code])
console.log(['held', 'broken', 'could not run'][code])
process.exit(code)
