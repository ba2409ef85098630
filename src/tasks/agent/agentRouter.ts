import { initTRPC } from '@trpc/server'
import { number, object, string } from 'valibot'
import type { RequestStatus } from '../../core/endpointGate'
import type { Mailbox } from '../mailbox'
import type { AgentMessage } from './agentMessage'

const trpc = initTRPC.create()

const requestName = object({ requestId: string(), incarnation: string() })
const abandonedRequest = object({ ...requestName.entries, sentMsAgo: number() })

/** Makes the calls which an agent answers. */
export function createAgentRouter (mailbox: Mailbox<AgentMessage>) {
  return trpc.router({
    /** Makes sure that a request never runs here, or says how far it got. */
    abandon: trpc.procedure.input(abandonedRequest).mutation(async ({ input }) =>
      await new Promise<RequestStatus>(resolve => mailbox.post({ type: 'abandon', ...input, reply: resolve }))),
    /** Says how far a request got. */
    status: trpc.procedure.input(requestName).query(async ({ input }) =>
      await new Promise<RequestStatus>(resolve => mailbox.post({ type: 'status', ...input, reply: resolve })))
  })
}

/** The type of an agent's calls, for clients. */
export type AgentRouter = ReturnType<typeof createAgentRouter>
