import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { startSite } from '../../wiring/__tests__/siteFixture'
import { exitCodes, runCli } from '..'

interface Run {
  readonly code: number
  readonly out: readonly string[]
  readonly errors: readonly string[]
}

async function run (...args: readonly string[]): Promise<Run> {
  const out: string[] = []
  const errors: string[] = []
  const code = await runCli(['node', 'heatherdrum', ...args], line => out.push(line), line => errors.push(line))
  return { code, out, errors }
}

describe('the command line', () => {
  let folder: string

  beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'cli-')) })
  afterEach(() => rmSync(folder, { recursive: true, force: true }))

  it('refuses unknown commands and flags with the exit code for usage', async () => {
    expect((await run('bogus')).code).to.equal(exitCodes.usage)
    expect((await run('entry', '--bogus')).code).to.equal(exitCodes.usage)
    expect((await run('catalogue', 'put', 'tastings')).errors).to.deep.equal(['heatherdrum: catalogue put: expected --file'])
  })

  it('starts nothing with wrong settings, and names the key', async () => {
    const file = join(folder, 'bad.toml')
    writeFileSync(file, 'name = "Bad Name"\nzone = "a"\npeer_key_file = "k"\ncontrol_members = {}\n')
    const result = await run('control', '--settings', file)
    expect(result.code).to.equal(exitCodes.settings)
    expect(result.errors[0]).to.include('name: expected lower-case letters, digits and hyphens: got "Bad Name"')
    expect((await run('settings', 'check', file)).code).to.equal(exitCodes.settings)
  })

  it('puts, shows and removes catalogue entries through an entry process', async () => {
    const site = await startSite({})
    const token = join(folder, 'token')
    const entry = join(folder, 'entry.toml')
    writeFileSync(token, site.secrets.operatorToken)
    writeFileSync(entry, 'organisation = "tonos"\nworkClass = "service"\n[limits]\nprocessors = 1\nmemoryMb = 100\n')
    const { host, port } = site.entries[0]?.operators ?? { host: '', port: 0 }
    const flags = ['--address', `${host}:${port}`, '--token-file', token]
    expect((await run('catalogue', 'put', 'shades', '--file', entry, ...flags)).code).to.equal(exitCodes.ok)
    const conflict = await run('catalogue', 'put', 'shades', '--file', entry, ...flags)
    expect(conflict.code).to.equal(exitCodes.failed)
    expect(conflict.errors[0]).to.include('expected version 1: got version 0; it is now')
    const shown = await run('catalogue', 'get', 'shades', '--json', ...flags)
    expect(JSON.parse(shown.out[0] ?? '')).to.include({ name: 'shades', version: 1 })
    expect((await run('catalogue', 'remove', 'shades', '--expected-version', '1', ...flags)).code).to.equal(exitCodes.ok)
    expect((await run('status', ...flags)).out.join('\n')).to.include('leader="control-1"')
    writeFileSync(token, 'a wrong token of some length')
    expect((await run('status', ...flags)).errors[0]).to.include('the credentials are missing or wrong')
    await site.close()
  })
})
