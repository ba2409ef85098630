import { expect } from 'chai'
import { BoundedMap } from '../boundedMap'

describe('a bounded map', () => {
  it('evicts the least recently set entry, and renews an entry whose key is set again', () => {
    const map = new BoundedMap<string, number>(2)
    map.set('a', 1)
    map.set('b', 2)
    map.set('a', 3)
    map.set('c', 4)
    expect([map.size, map.get('a'), map.get('b'), [...map.values()]]).to.deep.equal([2, 3, undefined, [3, 4]])
  })
})
