import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { version } from '../version'

describe('the version', () => {
  it('is the one in package.json', () => {
    const { version: packaged } = JSON.parse(readFileSync('package.json', 'utf8')) as { readonly version: string }
    expect(version).to.equal(packaged)
  })
})
