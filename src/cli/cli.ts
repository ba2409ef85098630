import { readFileSync } from 'node:fs'
import { cac, type CAC } from 'cac'
import { parse } from 'smol-toml'
import { readSettings } from '../settings'
import { version } from '../version'
import { runDaemon, type Role } from './daemonCommand'
import { runDev } from './devCommand'
import { runJobsDev } from './jobsDevCommand'
import { exitCodes } from './exitCodes'
import { runOperatorCommand, withChangeId, type OperatorFlags, type OperatorRequest } from './operatorCommand'
import { runReport } from './reportCommand'
import { inspectStorage } from './storageCommand'

type Write = (line: string) => void
type Flags = Readonly<Record<string, unknown>>

const defaultOperators = '127.0.0.1:7001'

/** Runs one command. Returns the exit code, which `exitCodes` explains. */
export async function runCli (argv: readonly string[], write: Write, writeError: Write): Promise<number> {
  const cli = cac('heatherdrum')
  addDaemons(cli, write, writeError)
  addOperatorCommands(cli, write, writeError)
  addReport(cli, write, writeError)
  cli.help()
  cli.version(version)
  try {
    cli.parse([...argv], { run: false })
    if (cli.options['help'] === true || cli.options['version'] === true) return exitCodes.ok
    if (cli.matchedCommand === undefined) return refuse(argv[2], writeError)
    return await cli.runMatchedCommand() as number
  } catch (error) {
    if (!(error instanceof Error) || error.name !== 'CACError') throw error
    writeError(`heatherdrum: ${error.message}`)
    return exitCodes.usage
  }
}

function refuse (command: string | undefined, writeError: Write): number {
  writeError(command === undefined ? 'heatherdrum: expected a command; see --help' : `heatherdrum: expected a command, got ${command}; see --help`)
  return exitCodes.usage
}

function addDaemons (cli: CAC, write: Write, writeError: Write): void {
  const roles: ReadonlyArray<readonly [role: Role, summary: string]> = [
    ['entry', 'Run an entry process: callers, operators and routing'],
    ['agent', 'Run the agent beside an endpoint'],
    ['control', 'Run a control replica']
  ]
  for (const [role, summary] of roles) {
    cli.command(role, summary)
      .option('--settings <file>', 'Settings file', { default: 'heatherdrum.toml' })
      .action(async (flags: Flags) => await runDaemon(role, String(flags['settings']), write, writeError))
  }
  cli.command('dev', 'Run every role in one process on loopback, with fake endpoints and workers')
    .option('--once', 'Send a few requests and tasks, print a summary and exit')
    .option('--controls <count>', 'Control replicas', { default: 1 })
    .option('--jobs', 'Run a deployment for jobs of queues instead, with stand-ins for the workers')
    .action(async (flags: Flags) => flags['jobs'] === true ? await runJobsDev({ once: flags['once'] === true }, write) : await runDev({ once: flags['once'] === true, controls: Number(flags['controls']) }, write))
  cli.command('settings <action> <file>', 'Check a settings file: settings check FILE')
    .action((action: string, file: string) => action === 'check' ? checkSettings(file, write, writeError) : refuse(`settings ${action}`, writeError))
  cli.command('storage <action> <folder>', 'Show what a data folder holds: storage inspect DIR')
    .option('--json', 'Print JSON')
    .action((action: string, folder: string, flags: Flags) => action === 'inspect' ? inspectStorage(folder, flags['json'] === true, write, writeError) : refuse(`storage ${action}`, writeError))
}

function addReport (cli: CAC, write: Write, writeError: Write): void {
  cli.command('report [...logs]', 'Show where the worth of jobs was lost: report LOG... of all processes, files or folders')
    .option('--format <format>', 'text or json', { default: 'text' })
    .option('--job <id>', 'Show one job')
    .option('--out <file>', 'Write an HTML page with charts, too')
    .action(async (logs: readonly string[], flags: Flags) => await runReport(logs, { format: String(flags['format']), job: flags['job'] === undefined ? undefined : textOf('job', cli.rawArgs), out: flags['out'] === undefined ? undefined : textOf('out', cli.rawArgs) }, write, writeError))
}

function addOperatorCommands (cli: CAC, write: Write, writeError: Write): void {
  const withFlags = (command: ReturnType<CAC['command']>): ReturnType<CAC['command']> => command
    .option('--address <addresses>', 'Operators\' addresses of entry processes, separated by commas', { default: defaultOperators })
    .option('--token-file <file>', 'File with the operators\' token', { default: 'operator.token' })
    .option('--json', 'Print JSON')
  const run = async (request: OperatorRequest, flags: Flags): Promise<number> => await runOperatorCommand(request, toOperatorFlags(flags), write, writeError)

  withFlags(cli.command('catalogue <action> [name]', 'list, get NAME, put NAME or remove NAME; changes shows what was accepted'))
    .option('--file <file>', 'TOML file with the entry, for put')
    .option('--expected-version <version>', 'The version which you have seen; 0 for a new name', { default: 0 })
    .option('--change-id <id>', 'Names the change, so that a resend gets the first answer')
    .option('--by <who>', 'Who makes the change', { default: 'operator' })
    .action(async (action: string, name: string | undefined, flags: Flags) => {
      const request = toCatalogueRequest(action, name, flags)
      return typeof request === 'string' ? refuseUsage(request, writeError) : await run(request, flags)
    })
  withFlags(cli.command('task <action> [id]', 'list, get ID or cancel ID'))
    .action(async (action: string, id: string | undefined, flags: Flags) => {
      const request = toTaskRequest(action, id)
      return typeof request === 'string' ? refuseUsage(request, writeError) : await run(request, flags)
    })
  withFlags(cli.command('quota <organisation>', 'Set what an organisation may reserve at once'))
    .option('--processors <cores>', 'Processor cores')
    .option('--memory-mb <amount>', 'Memory in MiB')
    .option('--accelerators <count>', 'Accelerators', { default: 0 })
    .action(async (organisation: string, flags: Flags) => await run({
      method: 'PUT',
      path: `/quotas/${encodeURIComponent(organisation)}`,
      body: { processors: flags['processors'], memoryMb: flags['memoryMb'], accelerators: flags['accelerators'] }
    }, flags))
  withFlags(cli.command('status', 'Show the control group, its workers and what is in force'))
    .action(async (flags: Flags) => await run({ method: 'GET', path: '/status' }, flags))
}

/** The value of an option as it was written; cac converts values that look like numbers, such as ids of digits. */
function textOf (option: string, rawArgs: readonly string[]): string {
  const position = rawArgs.findIndex(argument => argument === `--${option}` || argument.startsWith(`--${option}=`))
  const argument = rawArgs[position] ?? ''
  return argument.includes('=') ? argument.slice(argument.indexOf('=') + 1) : rawArgs[position + 1] ?? ''
}

function toCatalogueRequest (action: string, name: string | undefined, flags: Flags): OperatorRequest | string {
  if (action === 'list') return { method: 'GET', path: '/catalogue' }
  if (action === 'changes') return { method: 'GET', path: '/changes' }
  if (name === undefined) return `catalogue ${action}: expected a name`
  const path = `/catalogue/${encodeURIComponent(name)}`
  if (action === 'get') return { method: 'GET', path }
  const changeId = flags['changeId'] === undefined ? undefined : String(flags['changeId'])
  const change = { expectedVersion: flags['expectedVersion'], by: String(flags['by']) }
  if (action === 'remove') return { method: 'DELETE', path, body: withChangeId(change, changeId) }
  if (action !== 'put') return `catalogue: expected list, get, put, remove or changes, got ${action}`
  if (typeof flags['file'] !== 'string') return 'catalogue put: expected --file'
  const entry = readEntry(flags['file'])
  return typeof entry === 'string' ? entry : { method: 'PUT', path, body: withChangeId({ ...change, entry }, changeId) }
}

function toTaskRequest (action: string, id: string | undefined): OperatorRequest | string {
  if (action === 'list') return { method: 'GET', path: '/tasks' }
  if (id === undefined) return `task ${action}: expected an id`
  const path = `/tasks/${encodeURIComponent(id)}`
  if (action === 'get') return { method: 'GET', path }
  if (action === 'cancel') return { method: 'DELETE', path }
  return `task: expected list, get or cancel, got ${action}`
}

function readEntry (file: string): object | string {
  try {
    return parse(readFileSync(file, 'utf8'))
  } catch (error) {
    return `${file}: expected a TOML file: ${String(error instanceof Error ? error.message : error).split('\n')[0] ?? ''}`
  }
}

function refuseUsage (message: string, writeError: Write): number {
  writeError(`heatherdrum: ${message}`)
  return exitCodes.usage
}

function toOperatorFlags (flags: Flags): OperatorFlags {
  return { address: String(flags['address']), tokenFile: String(flags['tokenFile']), json: flags['json'] === true }
}

function checkSettings (file: string, write: Write, writeError: Write): number {
  const settings = readSettings(file)
  if (!settings.ok) {
    writeError(`heatherdrum: ${settings.val.message}`)
    return exitCodes.settings
  }
  const roles = (['entry', 'agent', 'control'] as const).filter(role => settings.val[role] !== undefined)
  write(`settings=ok name=${settings.val.name} zone=${settings.val.zone} roles=${roles.join(',')}`)
  return exitCodes.ok
}
