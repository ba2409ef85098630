import fc from 'fast-check'

function nestedList (levels: number): unknown {
  let value: unknown = []
  for (let level = 1; level < levels; level += 1) value = [value]
  return value
}

/** A change of one field of a document, at any depth, to a value of another type, out of range, or nested deeply; undefined leaves the field out. */
export const oddChange = fc.record({
  pick: fc.nat(),
  put: fc.oneof(
    fc.constantFrom<unknown>(undefined, null, true, '', 'x', -1, 0.5, 99_999, 2 ** 52, 2 ** 53, 1e308, -1e308, [], {}, nestedList(100), '127.0.0.1:99999', 'a:NaN', '__proto__'),
    fc.jsonValue({ maxDepth: 2 })
  )
})

/** The fields and elements within a value, at any depth. */
function fieldsWithin (value: unknown): ReadonlyArray<readonly [holder: Record<string, unknown>, key: string]> {
  if (typeof value !== 'object' || value === null) return []
  const holder = value as Record<string, unknown>
  return Object.keys(holder).flatMap(key => [[holder, key] as const, ...fieldsWithin(holder[key])])
}

/** Copies a value and replaces one field, at any depth; `undefined` leaves it out of the JSON. */
export function changeOneField (value: object, { pick, put }: { readonly pick: number, readonly put: unknown }): unknown {
  const copy = structuredClone(value)
  const places = fieldsWithin(copy)
  const [holder, key] = places[pick % places.length] ?? [{}, '']
  holder[key] = put
  return copy
}

/** The numbers in the fields of a value that have one of the names, at any depth. */
export function numbersNamed (value: unknown, names: ReadonlySet<string>): readonly number[] {
  return fieldsWithin(value).flatMap(([holder, key]) => names.has(key) && typeof holder[key] === 'number' ? [holder[key]] : [])
}
