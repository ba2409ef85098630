import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../lib/deployment.mjs'

const jobId = '00000000000000c1'
const sides = 11
const maxUnavailable = 1
/** `contactMs`: a disruption is near for this long. */
const contactMs = 3000
/** A task is at work this long after its start at the latest. */
const startupMs = 500

const record = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')
const lasting = { count: 2 * sides, cpu: 13_000, memMb: 26_000, longRunning: true, maxPerServer: 2, maxUnavailable, image: 'm-1', targetMs: 150 }
const short = { count: 6, cpu: 960, memMb: 1900, estimateMs: 914 }

await runCase(record, { sides, workOf: task => ({ ms: 914, lasts: task.startsWith(jobId) }) }, async (deployment, hasTrouble) => {
  if (!await deployment.submit(jobId, { spec: 'guest list', phases: [lasting] })) throw new Error('the submission was not accepted')
  await deployment.waitFor('all tasks run', 15_000, () => deployment.minions.every(minion => minion.running.size === 2))
  // Usual traffic for some seconds, in which an agent opens several channels to its minion; then a quiet time.
  for (let number = 1; number <= 40; number += 1) {
    deployment.submit(number.toString(16).padStart(16, '0'), { spec: 'slot check', phases: [short] }, number % 3)
    await sleep(150)
  }
  await sleep(5000)
  const silentAt = deployment.nowMs
  if (hasTrouble) for (const minion of deployment.minions) minion.silenceChannels()
  await sleep(16_000)
  const lapses = findLapses(deployment.events, silentAt + contactMs)
  const [first] = lapses.filter(({ othersAway }) => othersAway >= maxUnavailable)
  return first === undefined ? undefined : `${lapses.length} tasks at work on sound minions ended as their leases lapsed, the first ${lapses[0].at - silentAt} ms after the channels had gone silent; ${lapses.at(-1).othersAway} others were away at the last of them, where ${maxUnavailable} may be`
})

/** The leases of tasks at work that lapsed later than `from`, each with how many other tasks were away because of such a lapse. */
function findLapses (events, from) {
  const away = new Set()
  const startedAt = new Map()
  const lapses = []
  for (const { at, event, task, how } of events) {
    if (task === undefined || !task.startsWith(jobId)) continue
    // A task counts as back as soon as it is started again, which is earlier than it is at work.
    if (event === 'start') {
      startedAt.set(task, at)
      away.delete(task)
    }
    if (event !== 'end' || how !== 'lapsed' || at < from || at - startedAt.get(task) < startupMs) continue
    lapses.push({ at, othersAway: away.size })
    away.add(task)
  }
  return lapses
}
