// Two machines of the core lose their disks, and long after they have caught up a third one does. What was acknowledged must still be there.
import { fileURLToPath } from 'node:url'
import { Deployment, manifest, Record, send, sleep, until } from '../lib-2/deployment.mjs'
import { Minion } from '../lib-2/minion.mjs'

const folder = fileURLToPath(new URL('.', import.meta.url))
const isTroubled = process.env.TROUBLE !== '0'
const skipsFirst = process.env.ONLY_SECOND === '1'
/** A machine that is back counts as lost for `catchUpS` longer, which is 6 s. */
const pauseMs = 20000
const downMs = 1000
const readMs = 25000
const host = 'nony24.example'
const prefix = '/lohu930/'
const jobId = [...Array(16)].map(() => '0123456789abcdef'[Math.floor(Math.random() * 16)]).join('')

const record = new Record(folder)
// Five machines with a disk in five zones, and the loss of two of them to be borne, as in the site.
const deployment = new Deployment(record, { zones: ['paraiso', 'oreamuno', 'el-guarco', 'turrialba', 'la-union'], toleratedLosses: 2 })
const nameOf = position => `edge-${deployment.zones[position]}-1-control`

async function followers () {
  const leader = await deployment.leader()
  record.note(`the leader is ${leader === undefined ? 'not known' : nameOf(leader)}`)
  return deployment.zones.map((_zone, position) => position).filter(position => position !== leader)
}

async function readJob () {
  const answer = await send({ address: deployment.entries[0], method: 'GET', path: prefix + jobId, host })
  return answer.status === 200 ? JSON.parse(answer.text).state : String(answer.status)
}

async function play () {
  const minions = Array.from({ length: 3 }, (_each, position) => new Minion({ name: `minion-${position + 1}`, record }))
  await deployment.begin(minions)
  const put = await deployment.operate('PUT', '/-/config', manifest(7, [{ name: 'r-1', host, prefix }]))
  record.note(`PUT of manifest 7 answered ${put.status}`)
  if (put.status !== 200) return 2
  if (!await until(async () => (await send({ address: deployment.entries[0], method: 'GET', path: prefix, host })).status === 200, 10000)) return 2
  const body = { spec: '{"ms":1000}', phases: [{ count: 3, cpu: 500, memMb: 256, estimateMs: 1000 }] }
  const posted = await send({ address: deployment.entries[0], method: 'POST', path: prefix + jobId, host, body })
  record.note(`POST ${jobId} answered ${posted.status}`)
  if (posted.status !== 200) return 2
  await sleep(10000)
  const [a, b, c] = await followers()
  if (isTroubled && !skipsFirst) await deployment.wipe([nameOf(a), nameOf(b)], downMs)
  await sleep(pauseMs)
  const between = await deployment.operate('GET', '/-/config')
  record.note(`GET of the manifest answered ${between.status}, version ${between.status === 200 ? JSON.parse(between.text).version : '-'}`)
  if (between.status !== 200) return 2
  if (isTroubled) await deployment.wipe([nameOf(c)], downMs)
  await sleep(6000)
  const last = await deployment.operate('GET', '/-/config', undefined, readMs)
  const statuses = await Promise.all(deployment.controls.map(async address => (await send({ address, method: 'GET', path: '/-/config', timeoutMs: 1000 })).status))
  record.note(`GET of the manifest, sent to all five for up to ${readMs} ms, answered ${last.status === 200 ? 200 : 'by none with 200'}; at the end ${statuses.join(', ')}`)
  const state = await readJob()
  record.note(`GET ${jobId} answered ${state}`)
  if (last.status === 200 && JSON.parse(last.text).version === 7 && state === 'complete') return 0
  return 1
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
