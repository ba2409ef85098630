import { createFakeEndpoint } from '../src/fakes'

/** A fake endpoint as its own process, on the port of the first argument. */
createFakeEndpoint({ name: 'bench', address: { host: '127.0.0.1', port: Number(process.argv[2]) }, serviceMs: () => 0 }).catch(error => {
  process.stderr.write(`${String(error)}\n`)
  process.exitCode = 1
})
