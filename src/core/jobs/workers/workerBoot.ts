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

/** Parses the name that `nameBoot` gives to a boot. */
export function parseBoot (name: string): WorkerBoot {
  const slash = name.indexOf('/')
  const at = name.lastIndexOf('@')
  return { agent: name.slice(0, slash), workerId: name.slice(slash + 1, at), bornMs: Number(name.slice(at + 1)) }
}

/** Whether a boot has certainly ended because a later one runs on its VM, which runs only one worker at a time. */
export function isSuperseded (boot: WorkerBoot, later: WorkerBoot): boolean {
  return boot.agent === later.agent && boot.bornMs < later.bornMs
}
