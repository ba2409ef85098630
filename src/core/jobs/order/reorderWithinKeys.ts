/**
 * Reorders the items that share a key among the positions which they hold in the list; items without a key keep their
 * positions.
 */
export function reorderWithinKeys<Item> (items: readonly Item[], keyOf: (item: Item) => string | undefined, reorder: (items: readonly Item[]) => readonly Item[]): readonly Item[] {
  const places = new Map<string, number[]>()
  items.forEach((item, place) => {
    const key = keyOf(item)
    if (key !== undefined) places.get(key)?.push(place) ?? places.set(key, [place])
  })
  const reordered = [...items]
  for (const found of places.values()) {
    const sameKey = found.flatMap(place => items.slice(place, place + 1))
    reorder(sameKey).forEach((item, position) => { reordered[found[position] ?? 0] = item })
  }
  return reordered
}
