import { initTRPC } from '@trpc/server'
import { number, object, string } from 'valibot'
import type { RequestStatus } from '../../core/endpointGate'
import type { Mailbox } from '../mailbox'
import type { AgentMessage } from './agentMessage'

const trpc = initTRPC.create()

const requestReferenceSchema = object({ requestId: string(), incarnation: string() })
const abandonSchema = object({ ...requestReferenceSchema.entries, sentMsAgo: number() })

/** Creates the tRPC router of the calls that entry processes make to an agent. */
export function createAgentRouter (mailbox: Mailbox<AgentMessage>) {
  return trpc.router({
    /** Prevents a request that has not started from running, and returns its status. */
    abandon: trpc.procedure.input(abandonSchema).mutation(async ({ input }) =>
      await new Promise<RequestStatus>(resolve => mailbox.post({ type: 'abandon', ...input, reply: resolve }))),
    /** Returns the status of a request. */
    status: trpc.procedure.input(requestReferenceSchema).query(async ({ input }) =>
      await new Promise<RequestStatus>(resolve => mailbox.post({ type: 'status', ...input, reply: resolve })))
  })
}

/** The router type from which tRPC clients derive their calls. */
export type AgentRouter = ReturnType<typeof createAgentRouter>
