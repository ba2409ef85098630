import { readFileSync } from 'node:fs'
import { Counters, createLogger, LineWriter, type Logger } from '../observability'
import { nodeRoles, readNodeSettings, type NodeRole, type NodeSettings } from '../settings/nodeSettings'
import { startAgentNode, startControlNode, startEntryNode, type JobNode, type NodeEnvironment } from '../wiring/nodeWiring'
import { exitCodes } from './exitCodes'

const starters: Readonly<Record<NodeRole, (settings: NodeSettings, around: NodeEnvironment) => Promise<JobNode>>> = {
  entry: startEntryNode,
  agent: startAgentNode,
  control: startControlNode
}

/** How often the settings file is looked at for a change that no signal told of, in milliseconds. */
const settingsPollMs = 1000
/** Part of the time after SIGTERM which is kept for the exit itself, in milliseconds. */
const exitReserveMs = 500

/** Whether a text names a role. */
export function isNodeRole (text: string): text is NodeRole {
  return nodeRoles.some(role => role === text)
}

/** Checks a settings file for a role without starting anything. Returns the exit code. */
export function checkNode (role: NodeRole, path: string, write: (line: string) => void, writeError: (line: string) => void): number {
  const settings = readNodeSettings(path, role)
  if (!settings.ok) {
    writeError(`heatherdrum: ${settings.val.message}`)
    return exitCodes.settings
  }
  const { name, zone, seeds, data_folder: dataFolder } = settings.val
  write(`settings=ok role=${role} name=${name} zone=${zone} seeds=${seeds.length} keeps_ledger=${role === 'control' && dataFolder !== ''}`)
  return exitCodes.ok
}

/** Runs one process of a job deployment until a signal ends it. Returns the exit code. */
export async function runNode (role: NodeRole, path: string, metricsPort?: number): Promise<number> {
  const lines = new LineWriter(1)
  const base = createLogger({ level: 'info', write: line => lines.write(line) })
  process.on('uncaughtException', error => {
    base.error('uncaught', { role, error: error.stack ?? error.message })
    lines.close()
    process.exit(exitCodes.failed)
  })
  try {
    const settings = readNodeSettings(path, role)
    if (!settings.ok) {
      base.error('settings_refused', { path, reason: settings.val.message })
      return exitCodes.settings
    }
    const logger = base.with({ role, node: settings.val.name })
    return await serve(role, path, settings.val, logger, metricsPort)
  } finally {
    lines.close()
  }
}

async function serve (role: NodeRole, path: string, settings: NodeSettings, logger: Logger, metricsPort: number | undefined): Promise<number> {
  logger.info('starting', { zone: settings.zone, first_start: settings.first_start, seeds: settings.seeds.join(',') })
  const node = await starters[role](settings, {
    now: () => performance.now(),
    wallClock: Date.now,
    random: Math.random,
    logger,
    counters: new Counters(),
    metrics: metricsPort === undefined ? undefined : { host: settings.ip, port: metricsPort }
  })
  const watch = watchSettings(role, path, node, logger)
  const signal = await nextStop()
  clearInterval(watch)
  logger.info('stopping', { signal })
  const drainMs = Math.max(0, settings.bounds.grace_s * 1000 - exitReserveMs)
  await Promise.race([node.drain(), new Promise(resolve => setTimeout(resolve, drainMs).unref())])
  logger.info('stopped')
  return exitCodes.ok
}

async function nextStop (): Promise<string> {
  return await new Promise(resolve => {
    process.once('SIGTERM', () => resolve('SIGTERM'))
    process.once('SIGINT', () => resolve('SIGINT'))
  })
}

/** Reloads the settings on SIGHUP, and when the file has changed without one. */
function watchSettings (role: NodeRole, path: string, node: JobNode, logger: Logger): NodeJS.Timeout {
  let known = readText(path)
  const reload = (cause: string): void => {
    const text = readText(path)
    if (text === known) return
    known = text
    const settings = readNodeSettings(path, role)
    if (!settings.ok) {
      logger.error('settings_refused', { path, cause, reason: settings.val.message })
      return
    }
    node.reload(settings.val)
    logger.info('settings_reloaded', { cause, seeds: settings.val.seeds.join(',') })
  }
  process.on('SIGHUP', () => reload('SIGHUP'))
  return setInterval(() => reload('poll'), settingsPollMs)
}

function readText (path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    // The file is being replaced; the next look reads the new one.
    return undefined
  }
}
