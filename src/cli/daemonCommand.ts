import { Failure, isFailure } from '../core/failures'
import { readSecrets, readSettings, type Secrets, type Settings } from '../settings'
import { createEnvironment, startAgent, startControl, startEntry, type Environment } from '../wiring'
import { exitCodes } from './exitCodes'

/** The roles which run as daemons. */
export type Role = 'entry' | 'agent' | 'control'

/** A started daemon. */
interface Daemon {
  drain (): Promise<void>
}

/** Runs a daemon until a signal ends it. Returns the exit code. */
export async function runDaemon (role: Role, path: string, write: (line: string) => void, writeError: (line: string) => void): Promise<number> {
  const settings = readSettings(path)
  if (!settings.ok) return reportSettings(settings.val, writeError)
  const secrets = readSecrets(settings.val, path)
  if (!secrets.ok) return reportSettings(secrets.val, writeError)
  const around = createEnvironment(settings.val, role, write)
  const daemon = await start(role, settings.val, secrets.val, around)
  if (isFailure(daemon)) {
    writeError(`heatherdrum: ${daemon.message}`)
    return daemon.code === 'settings/invalid' ? exitCodes.settings : exitCodes.failed
  }
  return await drainOnSignal(daemon, around)
}

async function start (role: Role, settings: Settings, secrets: Secrets, around: Environment): Promise<Daemon | Failure> {
  try {
    switch (role) {
      case 'entry': return await startEntry(settings, section(settings.entry, role), secrets, around)
      case 'agent': return await startAgent(settings, section(settings.agent, role), secrets, around)
      case 'control': return await startControl(settings, section(settings.control, role), secrets, around)
    }
  } catch (error) {
    return isFailure(error) ? error : new Failure('transport/broken', { got: error instanceof Error ? error.message : String(error) })
  }
}

function section<Section> (found: Section | undefined, role: Role): Section {
  if (found === undefined) throw new Failure('settings/invalid', { subject: role, expected: `a section [${role}]`, got: 'nothing' })
  return found
}

/** The first signal drains; a second one exits at once. */
async function drainOnSignal (daemon: Daemon, { logger, metrics }: Environment): Promise<number> {
  const signal = await nextSignal()
  logger.info('signal', { signal })
  const second = nextSignal().then(() => exitCodes.failed)
  const drained = daemon.drain().then(async () => await metrics.close()).then(() => exitCodes.ok)
  return await Promise.race([drained, second])
}

async function nextSignal (): Promise<string> {
  return await new Promise(resolve => {
    const take = (signal: string): void => {
      process.off('SIGINT', take).off('SIGTERM', take)
      resolve(signal)
    }
    process.on('SIGINT', take).on('SIGTERM', take)
  })
}

function reportSettings (failure: Failure, writeError: (line: string) => void): number {
  writeError(`heatherdrum: ${failure.message}`)
  return exitCodes.settings
}
