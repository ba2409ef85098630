import { cac } from 'cac'
import { exitCodes } from './exitCodes'
import { checkNode, isNodeRole, runNode } from './nodeCommand'

/** Runs one process of a job deployment: `ROLE SETTINGS`; or checks its settings: `ROLE SETTINGS --check`. */
const cli = cac('heatherdrum-node')
cli.command('<role> <settings>', 'Run the entry, agent or control process that a settings file describes')
  .option('--metrics <port>', 'Port on which counters and histograms are read as text')
  .option('--check', 'Check the settings and end')
  .action((role: string, settings: string, flags: { readonly metrics?: number, readonly check?: boolean }) => {
    if (!isNodeRole(role)) {
      process.stderr.write(`heatherdrum: expected the role entry, agent or control, got ${role}\n`)
      process.exitCode = exitCodes.usage
      return
    }
    if (flags.check === true) {
      process.exitCode = checkNode(role, settings, line => process.stdout.write(`${line}\n`), line => process.stderr.write(`${line}\n`))
      return
    }
    runNode(role, settings, flags.metrics).then(code => process.exit(code))
  })
cli.parse()
