import { cac } from 'cac'
import { exitCodes } from './exitCodes'
import { isNodeRole, runNode } from './nodeCommand'

/** Runs one process of a job deployment: `ROLE SETTINGS`. */
const cli = cac('heatherdrum-node')
cli.command('<role> <settings>', 'Run the entry, agent or control process that a settings file describes')
  .option('--metrics <port>', 'Port on which counters and histograms are read as text')
  .action((role: string, settings: string, flags: { readonly metrics?: number }) => {
    if (!isNodeRole(role)) {
      process.stderr.write(`heatherdrum: expected the role entry, agent or control, got ${role}\n`)
      process.exitCode = exitCodes.usage
      return
    }
    runNode(role, settings, flags.metrics).then(code => process.exit(code))
  })
cli.parse()
