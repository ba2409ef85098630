import { build } from 'esbuild'
import { chmodSync } from 'node:fs'
import { join } from 'node:path'

/** Where the bundles go. */
const folder = process.argv[2] ?? 'dist'

/** Parts of hot-shots which are only needed for Unix sockets. */
const unused = ['unix-dgram']

const alias = {
  /** The CommonJS build of ts-results hides its own imports from a bundler. */
  'ts-results': './node_modules/ts-results/esm/index.js',
  /** The build for Node.js looks for an optional canvas with a top-level await, which a CommonJS bundle can't hold. */
  'vega-canvas': './node_modules/vega-canvas/build/vega-canvas.browser.js'
}

const bundles = [
  { source: 'src/cli/main.ts', name: 'heatherdrum.cjs', isProgram: true },
  { source: 'src/cli/nodeMain.ts', name: 'heatherdrumNode.cjs', isProgram: true },
  { source: 'src/index.ts', name: 'index.cjs', isProgram: false }
] as const

for (const { source, name, isProgram } of bundles) {
  await build({
    entryPoints: [source],
    outfile: join(folder, name),
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    external: unused,
    alias,
    ...(isProgram ? { banner: { js: '#!/usr/bin/env node' } } : {}),
    logLevel: 'warning'
  })
  if (isProgram) chmodSync(join(folder, name), 0o755)
}
