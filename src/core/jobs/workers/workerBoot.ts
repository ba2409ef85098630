/** One process lifetime of the worker beside an agent. */
export interface WorkerBoot {
  /** The agent; it identifies the VM. */
  readonly agent: string
  /** The id under which the worker registers; it may stay the same across a restart. */
  readonly workerId: string
  /** Start time of the boot, in milliseconds since 1970. */
  readonly bornMs: number
}

/** The name of a boot in the ledger, in orders and in logs. */
export function nameBoot ({ agent, workerId, bornMs }: WorkerBoot): string {
  return `${agent}/${workerId}@${bornMs}`
}

/** Parses the name that `nameBoot` gives to a boot. A name in another form counts as that of an agent. */
export function parseBoot (name: string): WorkerBoot {
  const slash = name.indexOf('/')
  const at = name.lastIndexOf('@')
  return { agent: slash < 0 ? name : name.slice(0, slash), workerId: name.slice(slash + 1, at), bornMs: Number(name.slice(at + 1)) }
}

/**
 * Whether a boot has certainly ended because another one runs on its VM, which runs only one worker at a time. Births don't tell which
 * one is the later: they come from a wall clock, which may be set back.
 */
export function isSuperseded (worker: string, current: string): boolean {
  return worker !== current && parseBoot(worker).agent === parseBoot(current).agent
}
