import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../lib/deployment.mjs'
import { Operator } from '../lib/operator.mjs'

const sides = 3
const jobId = '00000000000000e1'
/** `big_config` of the site files; with FEW=1 the same is played with eight routes, as a control. */
const routes = process.env.FEW === '1' ? 8 : 1400
const storms = 2
/** How long a machine that loses its disk is dark, in milliseconds. */
const downMs = 1000
/** From the return of the first machine to the loss of the second: far beyond `catchUpS`, after which the first counts as lost no longer. */
const betweenMs = 20_000
/** `recoverS`. */
const recoverMs = 12_000

const record = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')
const lasting = { count: 3, cpu: 13_000, memMb: 26_000, longRunning: true, image: 'm-1', targetMs: 150 }

await runCase(record, { sides, workOf: () => ({ ms: 0, lasts: true }) }, async (deployment, hasTrouble) => {
  if (!await deployment.submit(jobId, { spec: 'guest list', phases: [lasting] })) throw new Error('the submission was not accepted')
  const operator = new Operator(deployment, routes)
  for (let storm = 0; storm < storms; storm += 1) await operator.storm()
  deployment.record({ event: 'changes', sent: operator.version - 1, newestAcknowledged: operator.acknowledged })
  const followers = deployment.edges.filter(({ name }) => `${name}/control` !== deployment.leader)
  if (hasTrouble) await deployment.wipe(followers[0], downMs)
  await sleep(betweenMs)
  if (hasTrouble) await deployment.wipe(followers[1], downMs)
  await sleep(recoverMs)
  const missing = await operator.readBack(jobId, 10_000)
  return missing === undefined ? undefined : `version ${operator.acknowledged} and the submission were acknowledged, but ${missing}`
})
