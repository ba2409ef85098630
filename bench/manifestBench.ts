import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { callHttp } from '../src/cli/httpCall'
import { findFreePorts } from '../src/fakes'
import { maximumManifestBytes } from '../src/platform'
import { createDevManifest } from '../src/platform/standIn'
import { readFolder } from '../src/storage'
import { sleep, waitFor } from './processSite'

/** Changes of a large manifest in a group without other work. */
export interface ManifestFigures {
  readonly kind: ManifestKind
  readonly replicas: number
  readonly changes: number
  readonly manifestKb: number
  readonly changesPerSecond: number
  /** The largest resident memory of a control process after 50 changes and after all of them, and the ratio of the two for the process where it is highest. */
  readonly rssAfter50Mb: number
  readonly rssAtEndMb: number
  readonly growth: number
  /** The largest data folder at the end. */
  readonly folderMb: number
  /** Control processes that ended by themselves. */
  readonly ended: number
  /** From the start of a replica with an empty disk until it holds what the group held then, while changes go on. */
  readonly catchUpMs: number
  /** What it read to catch up: the snapshot and log in the folder of the leader at its start. */
  readonly catchUpMb: number
}

/**
 * Manifests that are changed: with many routes, with as many as an operator may send, as large in characters that take two bytes each in memory, or
 * full of characters that JSON escapes each time that it is nested.
 */
export type ManifestKind = 'manyRoutes' | 'largest' | 'wide' | 'escaped'

/** Number of changes by kind; a replica loses its disk after half of them. */
const changesOf: Readonly<Record<ManifestKind, number>> = { manyRoutes: 1000, largest: 60, wide: 60, escaped: 60 }
const firstSample = 50
const manyRoutes = 1400
/** Their manifest has almost the maximum size. */
const largestRoutes = 15_000
const bytesPerMb = 1024 * 1024
/** The flags of the control role in the deploy file. */
const flags = ['--max-old-space-size=192', '--max-semi-space-size=4']

/** Control processes of a job deployment at loopback addresses of their own. */
class ControlProcesses {
  readonly folder = mkdtempSync(join(tmpdir(), 'manifests-'))
  ended = 0
  private readonly children = new Map<number, ChildProcess>()

  private constructor (readonly count: number, private readonly ports: { readonly control: number, readonly peer: number }) {}

  static async start (count: number): Promise<ControlProcesses> {
    const [control = 0, peer = 0] = await findFreePorts(2)
    const group = new ControlProcesses(count, { control, peer })
    for (let number = 1; number <= count; number += 1) group.launch(number, true)
    return group
  }

  launch (number: number, isFirstStart: boolean): void {
    const { control, peer } = this.ports
    const seeds = Array.from({ length: Math.min(3, this.count) }, (_, index) => `127.0.0.${index + 1}:${control}`)
    const file = join(this.folder, `${number}.toml`)
    writeFileSync(file, [
      `name = "control-${number}"`, 'zone = "a"', `ip = "127.0.0.${number}"`, `first_peer_port = ${peer}`, `seeds = ${JSON.stringify(seeds)}`, `first_start = ${isFirstStart}`,
      `data_folder = "${this.dataOf(number)}"`, '[listen]', `control = "127.0.0.${number}:${control}"`, '[worker]',
      '[bounds]', 'longest_lease_ms = 10000', 'grace_s = 3', `tolerated_losses = ${(this.count - 1) / 2}`
    ].join('\n'))
    const child = spawn(process.execPath, [...flags, 'dist/heatherdrumNode.cjs', 'control', file], { stdio: ['ignore', 'ignore', 'inherit'] })
    this.children.set(number, child)
    child.once('exit', () => { if (this.children.get(number) === child) this.ended += 1 })
  }

  /** Ends a process and removes its folder. */
  async wipe (number: number): Promise<void> {
    await this.kill(number)
    rmSync(this.dataOf(number), { recursive: true })
  }

  /** Sends a change until it is acknowledged. */
  async put (manifest: object): Promise<void> {
    const body = JSON.stringify(manifest)
    await waitFor(async () => {
      for (let number = 1; number <= this.count; number += 1) {
        const answer = await callHttp({ address: { host: `127.0.0.${number}`, port: this.ports.control }, method: 'PUT', path: '/-/config', headers: { 'content-type': 'application/json' }, body }).catch(() => undefined)
        if (answer?.status === 200) return true
      }
      return false
    })
  }

  rssMb (): readonly number[] {
    return [...this.children.values()].map(({ pid }) => Number(/VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024)
  }

  folderMb (number: number): number {
    const folder = this.dataOf(number)
    return readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0) / bytesPerMb
  }

  /** The last index on the disk of a replica; 0 if its folder can't be read at the moment. */
  lastIndex (number: number): number {
    try {
      const { snapshot, entries } = readFolder(this.dataOf(number))
      return entries.at(-1)?.index ?? snapshot?.index ?? 0
    } catch {
      return 0
    }
  }

  async close (): Promise<void> {
    for (const number of [...this.children.keys()]) await this.kill(number)
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async kill (number: number): Promise<void> {
    const child = this.children.get(number)
    this.children.delete(number)
    const exited = new Promise(resolve => child?.once('exit', resolve))
    child?.kill('SIGKILL')
    await exited
  }

  private dataOf (number: number): string { return join(this.folder, `data-${number}`) }
}

/** Changes a manifest of 1,400 routes 1,000 times in groups of three and five replicas, one of which loses its disk meanwhile, and the largest manifests 60 times. */
export async function runManifestBench (): Promise<readonly ManifestFigures[]> {
  const figures: ManifestFigures[] = []
  for (const [kind, replicas] of [['manyRoutes', 3], ['manyRoutes', 5], ['largest', 3], ['wide', 3], ['escaped', 3]] as const) {
    if ((process.env['KIND'] ?? kind) === kind) figures.push(await measure(kind, replicas))
  }
  return figures
}

async function measure (kind: ManifestKind, replicas: number): Promise<ManifestFigures> {
  const group = await ControlProcesses.start(replicas)
  const changes = changesOf[kind]
  try {
    const startedAt = performance.now()
    let rssAfter50: readonly number[] = []
    let catchUp: Promise<{ readonly ms: number, readonly mb: number }> | undefined
    for (let version = 1; version <= changes; version += 1) {
      await group.put(createManifest(kind, version))
      if (version === firstSample) rssAfter50 = group.rssMb()
      if (version === changes / 2) catchUp = loseDisk(group, replicas)
    }
    const seconds = (performance.now() - startedAt) / 1000
    const { ms = 0, mb = 0 } = await catchUp ?? {}
    const rssAtEnd = group.rssMb()
    // The process that was started again takes the last place of both samples.
    const growth = Math.max(...rssAtEnd.map((rss, position) => rss / (rssAfter50[position] ?? rss)))
    const folders = Array.from({ length: replicas }, (_, index) => group.folderMb(index + 1))
    return {
      kind,
      replicas,
      changes,
      manifestKb: Math.round(Buffer.byteLength(JSON.stringify(createManifest(kind, 1))) / 1024),
      changesPerSecond: Math.round(changes / seconds),
      rssAfter50Mb: Math.round(Math.max(...rssAfter50)),
      rssAtEndMb: Math.round(Math.max(...rssAtEnd)),
      growth: Number(growth.toFixed(2)),
      folderMb: Number(Math.max(...folders).toFixed(1)),
      ended: group.ended,
      catchUpMs: Math.round(ms),
      catchUpMb: Number(mb.toFixed(1))
    }
  } finally {
    await group.close()
  }
}

/** The last replica loses its disk and starts again; resolves once it holds what the others held then. */
async function loseDisk (group: ControlProcesses, number: number): Promise<{ readonly ms: number, readonly mb: number }> {
  await group.wipe(number)
  const wanted = Math.max(...Array.from({ length: number - 1 }, (_, index) => group.lastIndex(index + 1)))
  const mb = group.folderMb(1)
  group.launch(number, false)
  const startedAt = performance.now()
  while (group.lastIndex(number) < wanted) await sleep(50)
  return { ms: performance.now() - startedAt, mb }
}

/** A manifest of a kind; all but the first are just below the limit for operators. */
function createManifest (kind: ManifestKind, version: number): object {
  const manifest = createManifestWithRoutes(version, manyRoutes)
  if (kind === 'manyRoutes') return manifest
  if (kind === 'largest') return createManifestWithRoutes(version, largestRoutes)
  const padding = { wide: '\u6f22', escaped: '\\' }[kind]
  const bytesLeft = maximumManifestBytes - Buffer.byteLength(JSON.stringify({ ...manifest, limits: { padding: '' } }))
  const bytesEach = Buffer.byteLength(JSON.stringify(padding)) - 2
  return { ...manifest, limits: { padding: padding.repeat(Math.floor(bytesLeft / bytesEach)) } }
}

function createManifestWithRoutes (version: number, routes: number): object {
  const { routes: [route], ...rest } = createDevManifest(version) as { readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>> }
  return { ...rest, routes: [route, ...Array.from({ length: routes - 1 }, (_, index) => ({ ...route, name: `plans-${index}`, host: `dev-${index}.example`, pathPrefix: `/plans-${index}/` }))] }
}
