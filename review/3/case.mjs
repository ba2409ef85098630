import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep } from '../lib/deployment.mjs'

const deadlyId = '00000000000000f1'
const task = `${deadlyId}.0.0.0`
const sides = 11
/** The task crashes its minion this long after its start, at a moment that differs from start to start, in milliseconds. */
const shortestMs = 200
const longestMs = 2300
/** "The minion is back after some seconds." */
const downMs = 3000
const watchMs = 60_000
/** A start beyond the third after three minions have crashed under the task breaks the rule. */
const crashes = 3
const furtherStarts = 3

const record = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')
const short = { count: 6, cpu: 960, memMb: 1900, estimateMs: 914 }

await runCase(record, { sides, workOf: name => ({ ms: name === task ? 2400 : 914, lasts: false }) }, async (deployment, hasTrouble) => {
  // Usual traffic beside it, one submission a second.
  let number = 0
  const traffic = setInterval(() => { deployment.submit((++number).toString(16).padStart(16, '0'), { spec: 'slot check', phases: [short] }, number % 3) }, 1000)
  if (hasTrouble) for (const minion of deployment.minions) minion.onStart = name => { if (name === task) crashLater(minion) }
  if (!await deployment.submit(deadlyId, { spec: 'menu', phases: [{ count: 1, cpu: 7000, memMb: 13_000, estimateMs: 2400 }] })) throw new Error('the submission was not accepted')
  await sleep(watchMs)
  clearInterval(traffic)
  const ends = deployment.events.filter(({ event, how, task: name }) => event === 'end' && how === 'lost' && name === task)
  const starts = deployment.events.filter(({ event, task: name }) => event === 'start' && name === task)
  const after = ends.length < crashes ? [] : starts.filter(({ at }) => at > ends[crashes - 1].at)
  deployment.record({ event: 'deadly task', starts: starts.length, crashes: ends.length, startsAfterThreeCrashes: after.length, state: await deployment.stateOf(deadlyId) })
  return after.length < furtherStarts ? undefined : `the task was started ${after.length} times more after three minions had crashed under it; ${ends.length} minions crashed in ${watchMs} ms`
})

function crashLater (minion) {
  const { boot } = minion
  setTimeout(async () => {
    if (minion.boot !== boot) return
    minion.crash()
    await sleep(downMs)
    await minion.start(`${minion.id.replace(/-\d+$/, '')}-${minion.boot + 1}`)
  }, shortestMs + Math.random() * (longestMs - shortestMs))
}
