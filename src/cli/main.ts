import { runCli } from './cli'

runCli(process.argv, line => process.stdout.write(`${line}\n`), line => process.stderr.write(`${line}\n`)).then(
  code => {
    process.exitCode = code
    // A second signal or a lost disk must end the process although work is left.
    if (code !== 0) setTimeout(() => process.exit(code), 100).unref()
  },
  error => {
    process.stderr.write(`heatherdrum: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  })
