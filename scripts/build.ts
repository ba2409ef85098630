import { build } from 'esbuild'
import { chmodSync } from 'node:fs'

/** Parts of hot-shots which are only needed for Unix sockets. */
const unused = ['unix-dgram']

/** The CommonJS build of ts-results hides its own imports from a bundler. */
const alias = { 'ts-results': './node_modules/ts-results/esm/index.js' }

await build({
  entryPoints: ['src/cli/main.ts'],
  outfile: 'dist/heatherdrum.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: unused,
  alias,
  banner: { js: '#!/usr/bin/env node' },
  logLevel: 'warning'
})
await build({
  entryPoints: ['src/index.ts'],
  outfile: 'dist/index.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: unused,
  alias,
  logLevel: 'warning'
})
chmodSync('dist/heatherdrum.cjs', 0o755)
