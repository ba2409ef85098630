import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect } from 'chai'
import { parseSettings } from '..'

const validLines = [
  'name = "entry-1"',
  'zone = "a"',
  'peer_key_file = "peer.key"',
  'operator_token_file = "operator.token"',
  'control_members = { control-1 = "127.0.0.1:7003" }',
  '[entry]',
  'callers = "127.0.0.1:7000"',
  'operators = "127.0.0.1:7001"',
  'peers = "127.0.0.1:7002"'
]

function failureMessageOf (lines: readonly string[]): string {
  const parsed = parseSettings(lines.join('\n'))
  return parsed.ok ? 'no failure' : parsed.val.message
}

describe('settings', () => {
  it('get default values for absent keys', () => {
    const settings = parseSettings(validLines.join('\n')).unwrap()
    expect(settings.timing.announce_ms).to.equal(1000)
    expect(settings.cell).to.equal('main')
  })

  const invalidSettings: ReadonlyArray<readonly [what: string, lines: readonly string[], message: string]> = [
    ['an unknown key', [...validLines, 'quue_capacity = 5'], 'a setting is invalid: entry.quue_capacity: expected no such key: got "quue_capacity"'],
    ['a value of the wrong type', [...validLines, 'queue_capacity = "many"'], 'a setting is invalid: entry.queue_capacity: expected number: got "many"'],
    ['an invalid address', validLines.map(line => line.replace('127.0.0.1:7002', 'localhost')), 'a setting is invalid: entry.peers: expected an IP number and a port, as in "10.0.0.1:7000": got "localhost"'],
    ['a missing key', validLines.filter(line => !line.startsWith('zone')), 'a setting is invalid: zone: expected "zone": got undefined'],
    ['inconsistent times', [...validLines, '[timing]', 'announce_ms = 5000'], 'a setting is invalid: timing.agent_dead_after_ms: expected more than timing.announce_ms, 5000: got 2000']
  ]
  for (const [what, lines, message] of invalidSettings) {
    it(`are refused for ${what}, with the key, the expected and the found value`, () => {
      expect(failureMessageOf(lines)).to.equal(message)
    })
  }

  it('of the example files are valid', () => {
    const folder = 'examples'
    const files = readdirSync(folder).filter(name => name.endsWith('.toml') && !name.startsWith('entry-of-'))
    expect(files.length).to.be.greaterThan(1)
    for (const file of files) expect(failureMessageOf([readFileSync(join(folder, file), 'utf8')]), file).to.equal('no failure')
  })
})
