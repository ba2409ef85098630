import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../lib/deployment.mjs'
import { Operator } from '../lib/operator.mjs'

const sides = 3
const jobId = '00000000000000d1'
/** `big_config` of the site files: the manifest grows by this many routes. Without it, it has eight that stay. */
const manyRoutes = 1400
const fewRoutes = 8
/** `config_storm` comes this often, as a day may hold hundreds of changes. */
const storms = 15
const pauseMs = 500

const record = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')
const lasting = { count: 3, cpu: 13_000, memMb: 26_000, longRunning: true, image: 'm-1', targetMs: 150 }
const short = { count: 2, cpu: 960, memMb: 1900, estimateMs: 914 }

await runCase(record, { sides, workOf: task => ({ ms: 914, lasts: task.startsWith(jobId) }) }, async (deployment, hasTrouble) => {
  if (!await deployment.submit(jobId, { spec: 'guest list', phases: [lasting] })) throw new Error('the submission was not accepted')
  const operator = new Operator(deployment, hasTrouble ? manyRoutes : fewRoutes)
  // A quiet time of the day: one small submission a second.
  let number = 0
  const traffic = setInterval(() => { deployment.submit((++number).toString(16).padStart(16, '0'), { spec: 'slot check', phases: [short] }, number % 3) }, 1000)
  for (let storm = 0; storm < storms; storm += 1) {
    await operator.storm()
    await sleep(pauseMs)
  }
  clearInterval(traffic)
  deployment.record({ event: 'changes', sent: operator.version - 1, newestAcknowledged: operator.acknowledged })
  // Longer than `contactMs` and `configApplyMs` after the last change.
  await sleep(8000)
  const missing = await operator.readBack(jobId, 12_000)
  const ends = deployment.events.filter(({ event, name }) => event === 'process ended' && name.endsWith('/control')).length
  return missing === undefined ? undefined : `version ${operator.acknowledged} and the submission were acknowledged, but ${missing}; control processes ended by themselves ${ends} times`
})
