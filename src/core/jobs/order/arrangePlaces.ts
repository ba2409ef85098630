/**
 * Reorders the items that share a key among the positions which they hold in the list; items without a key keep their
 * positions.
 */
export function arrangePlaces<Item> (items: readonly Item[], keyOf: (item: Item) => string | undefined, arrange: (items: readonly Item[]) => readonly Item[]): readonly Item[] {
  const places = new Map<string, number[]>()
  items.forEach((item, place) => {
    const key = keyOf(item)
    if (key !== undefined) places.get(key)?.push(place) ?? places.set(key, [place])
  })
  const arranged = [...items]
  for (const found of places.values()) {
    const competing = found.flatMap(place => items.slice(place, place + 1))
    arrange(competing).forEach((item, position) => { arranged[found[position] ?? 0] = item })
  }
  return arranged
}
