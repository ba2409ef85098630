import type { Resources } from '../../core/catalogue'
import type { ListedClock } from './agentBoot'
import type { Registration } from './workerAgentMessage'

/** Largest difference between the rates of the worker's clock and the clock of this process, as a share; the platform's bound. */
export const maximumDrift = 0.02
/** Allowance for the rounding of clocks, in milliseconds. */
const clockMarginMs = 100

/** Whether the worker's clock can have reached the time that a heartbeat names. One that is ahead comes from another sender, and would make later heartbeats of the worker look old. */
export function isPlausible ({ clockMs }: Registration, listed: ListedClock, now: number): boolean {
  return clockMs <= listed.clockMs + (now - listed.askedAt) * (1 + maximumDrift) + clockMarginMs
}

/** Whether a heartbeat of a boot was sent after another one of it. The worker's clock decides, since it goes on by itself; a sequence number near the limit would never be exceeded. */
export function isLater (heartbeat: Registration, other: Registration): boolean {
  return heartbeat.clockMs > other.clockMs || (heartbeat.clockMs === other.clockMs && heartbeat.sequence > other.sequence)
}

/**
 * What holds of a boot after its next heartbeat. What narrows its use takes effect at once; what widens it, more capacity, another pool or place,
 * the end of draining, takes effect when the following heartbeat repeats it, so that one heartbeat of another sender never does.
 */
export function mergeHeartbeat (current: Registration, previous: Registration, next: Registration): Registration {
  const { pool, zone, rack, labels } = isSamePlace(previous, next) ? next : current
  const isDraining = next.isDraining || (current.isDraining && previous.isDraining)
  const { remainingMs } = next.isDraining ? next : current
  return { ...next, pool, zone, rack, labels, capacity: mergeCapacity(current.capacity, previous.capacity, next.capacity), isDraining, remainingMs: isDraining ? remainingMs : undefined }
}

/** Whether the leader must be told of a change of a boot at once. */
export function isChanged (known: Registration, next: Registration): boolean {
  const expectedColdMs = Math.max(0, known.clockMs + (known.coldMs ?? 0) - next.clockMs)
  return !isSamePlace(known, next) || !isSameCapacity(known.capacity, next.capacity) || known.isDraining !== next.isDraining ||
    (next.remainingMs ?? 0) > (known.remainingMs ?? 0) || Math.abs((next.coldMs ?? 0) - expectedColdMs) > coldToleranceMs
}

/** Whether two capacities are equal. */
export function isSameCapacity (one: Resources, other: Resources): boolean {
  return one.processors === other.processors && one.memoryMb === other.memoryMb && one.accelerators === other.accelerators
}

/** How far the end of a worker's slow start may shift before the leader is told, in milliseconds; about a heartbeat. */
const coldToleranceMs = 1000

function isSamePlace (one: Registration, other: Registration): boolean {
  return one.pool === other.pool && one.zone === other.zone && one.rack === other.rack && one.labels.length === other.labels.length && one.labels.every((label, index) => label === other.labels[index])
}

function mergeCapacity (current: Resources, previous: Resources, next: Resources): Resources {
  const merge = (key: keyof Resources): number => Math.min(next[key], Math.max(current[key], previous[key]))
  return { processors: merge('processors'), memoryMb: merge('memoryMb'), accelerators: merge('accelerators') }
}
