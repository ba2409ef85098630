import { number, object, array, optional, picklist, safeParse, string } from 'valibot'
import { Failure, isFailure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'
import { sendToPeer, type Address, type ConnectionPool } from '../transport'
import { WorkerPlatform, type AttemptId, type LeaseRenewal, type TaskOrder, type WorkerReport } from './workerPlatform'

/** Options of {@link HttpWorkerPlatform}. */
export interface HttpWorkerPlatformOptions {
  /** The address of each worker by its name. */
  readonly workers: ReadonlyMap<string, Address>
  readonly pool: ConnectionPool
  readonly timeoutMs: number
}

const resourcesShape = object({ processors: number(), memoryMb: number(), accelerators: number() })

const reportShape = object({
  clockMs: number(),
  incarnation: string(),
  capacity: resourcesShape,
  rack: string(),
  zone: string(),
  attempts: array(object({
    taskId: string(),
    attempt: number(),
    state: picklist(['running', 'finished', 'failed', 'stopped']),
    result: optional(string()),
    checkpoint: optional(string()),
    usage: optional(resourcesShape),
    sampledAtMs: optional(number()),
    speed: optional(number())
  }))
})

/** Calls workers by HTTP with JSON bodies; an answer other than 200 is the failure `worker/refused`. */
export class HttpWorkerPlatform extends WorkerPlatform {
  constructor (private readonly options: HttpWorkerPlatformOptions) {
    super()
  }

  override async renew (worker: string, renewal: LeaseRenewal): Promise<Result<WorkerReport, Failure>> {
    const answer = await this.post(worker, '/lease', renewal)
    if (!answer.ok) return answer
    const parsed = safeParse(reportShape, answer.val)
    if (!parsed.success) return Err(new Failure('worker/refused', { subject: worker, expected: 'a report', got: parsed.issues[0].message }))
    return Ok(parsed.output as WorkerReport)
  }

  override async start (worker: string, term: number, order: TaskOrder): Promise<Result<void, Failure>> {
    return await this.command(worker, '/start', { term, ...order })
  }

  override async evict (worker: string, term: number, attempt: AttemptId): Promise<Result<void, Failure>> {
    return await this.command(worker, '/evict', { term, ...attempt })
  }

  override async stop (worker: string, term: number, attempt: AttemptId): Promise<Result<void, Failure>> {
    return await this.command(worker, '/stop', { term, ...attempt })
  }

  override async throttle (worker: string, term: number, attempt: AttemptId, share: number): Promise<Result<void, Failure>> {
    return await this.command(worker, '/throttle', { term, ...attempt, share })
  }

  private async command (worker: string, path: string, body: object): Promise<Result<void, Failure>> {
    const answer = await this.post(worker, path, body)
    return answer.ok ? Ok(undefined) : answer
  }

  private async post (worker: string, path: string, body: object): Promise<Result<unknown, Failure>> {
    const address = this.options.workers.get(worker)
    if (address === undefined) return Err(new Failure('worker/unknown', { subject: worker }))
    try {
      const { pool, timeoutMs } = this.options
      const { status, text } = await sendToPeer({ pool, address, path, body, timeoutMs })
      if (status !== 200) return Err(new Failure('worker/refused', { subject: worker, got: `${status} ${text}` }))
      return Ok(text === '' ? undefined : JSON.parse(text))
    } catch (error) {
      return Err(isFailure(error) ? error : new Failure('transport/broken', { subject: worker, got: String(error) }))
    }
  }
}
