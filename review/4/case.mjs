import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../lib/deployment.mjs'

const jobId = '00000000000000c1'
const sides = 11
const maxUnavailable = 1
/** `contactMs`: a disruption is near for this long. */
const contactMs = 3000

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
  const lapsed = deployment.events.filter(({ event, how, at, task }) => event === 'end' && how === 'lapsed' && task.startsWith(jobId) && at > silentAt + contactMs)
  const stopped = deployment.events.filter(({ event, how, task }) => event === 'end' && how === 'stopped' && task.startsWith(jobId))
  return lapsed.length + stopped.length <= maxUnavailable ? undefined : `${lapsed.length} tasks at work on sound minions ended as their leases lapsed, ${lapsed[0].at - silentAt} ms after the channels had gone silent, where ${maxUnavailable} may be away`
})
