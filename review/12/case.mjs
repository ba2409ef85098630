// The machine of a minion is suspended for some seconds. Its runs go on afterwards, and must not run elsewhere at the same time.
import { fileURLToPath } from 'node:url'
import { Deployment, manifest, Record, send, sleep, until } from '../lib-2/deployment.mjs'
import { Minion } from '../lib-2/minion.mjs'

const folder = fileURLToPath(new URL('.', import.meta.url))
const isTroubled = process.env.TROUBLE !== '0'
const suspensionMs = Number(process.env.SUSPENSION_MS ?? 7000)
/** `maxHoldMs`, `stopTimeoutMs` and `thawMs` of the site. A stop takes a little less than it may. */
const longestLeaseMs = 6000
const stopMs = 800
const thawMs = 300
const host = 'nony24.example'
const prefix = '/lohu930/'
const jobId = [...Array(16)].map(() => '0123456789abcdef'[Math.floor(Math.random() * 16)]).join('')

const record = new Record(folder)
const deployment = new Deployment(record, { longestLeaseMs })

/** The longest time for which two runs of one task were at work at once. */
function longestOverlapMs (entries) {
  let longest = 0
  for (const one of entries) {
    for (const other of entries) {
      if (one === other || one.task !== other.task || one.at > other.at) continue
      // While its minion is suspended a run is not at work.
      const from = Math.max(other.at, one.resumedAt ?? 0)
      const to = Math.min(one.endedAt ?? performance.now(), other.endedAt ?? performance.now())
      longest = Math.max(longest, to - from)
    }
  }
  return longest
}

async function play () {
  const minions = Array.from({ length: 11 }, (_each, position) => new Minion({ name: `minion-${position + 1}`, record, stopMs, maxHoldMs: longestLeaseMs }))
  await deployment.begin(minions)
  const put = await deployment.operate('PUT', '/-/config', manifest(7, [{ name: 'r-1', host, prefix }]))
  record.note(`manifest answered ${put.status}`)
  if (put.status !== 200) return 2
  if (!await until(async () => (await send({ address: deployment.entries[0], method: 'GET', path: prefix, host })).status === 200, 10000)) return 2
  await sleep(4000)
  const body = { spec: '{"ms":20000}', phases: [{ count: 1, cpu: 500, memMb: 256, estimateMs: 20000 }] }
  const posted = await send({ address: deployment.entries[0], method: 'POST', path: prefix + jobId, host, body })
  record.note(`POST ${jobId} answered ${posted.status}`)
  if (posted.status !== 200) return 2
  await sleep(4000)
  const suspended = minions.find(({ runs }) => runs.size > 0)
  if (suspended === undefined) return 2
  const agent = `side-${minions.indexOf(suspended) + 1}-agent`
  if (isTroubled) {
    deployment.signal(agent, 'SIGSTOP')
    suspended.suspend()
    await sleep(suspensionMs)
    const entry = [...suspended.runs.values()][0]?.entry
    if (entry !== undefined) entry.resumedAt = performance.now()
    suspended.resume()
    deployment.signal(agent, 'SIGCONT')
  }
  let state
  await until(async () => {
    const answer = await send({ address: deployment.entries[1], method: 'GET', path: prefix + jobId, host })
    state = answer.status === 200 ? JSON.parse(answer.text).state : answer.status
    return state === 'complete'
  }, 45000, 500)
  const overlapMs = longestOverlapMs(minions.flatMap(({ history }) => history))
  record.note(`state ${state}; two runs of the task were at work at the same time for ${Math.round(overlapMs)} ms`)
  return overlapMs > thawMs ? 1 : 0
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
