import { initTRPC } from '@trpc/server'
import { array, boolean, number, object, string } from 'valibot'
import type { CatalogueUpdate } from '../../core/catalogue'
import type { Announcement } from '../../core/routing'

const trpc = initTRPC.create()

const announcementShape = object({
  agent: string(),
  incarnation: string(),
  address: string(),
  zone: string(),
  entries: array(string()),
  slots: number(),
  queue: number(),
  isDraining: boolean(),
  load: object({ busy: number(), yours: number() }),
  revision: number()
})

/** What an entry process answers to an announcement. */
export interface AnnouncementReply {
  /** The entry process's catalogue revision. */
  readonly revision: number
  /** How long ago it was known to be the newest, in milliseconds. */
  readonly ageMs: number
}

/** What the calls of agents need from an entry process. */
export interface EntryPeer {
  announce (announcement: Announcement): AnnouncementReply
  catalogueSince (revision: number): CatalogueUpdate
}

/** Makes the calls which an entry process answers to agents. */
export function createEntryRouter (peer: EntryPeer) {
  return trpc.router({
    /** Takes an agent's announcement and vouches for the catalogue revision. */
    announce: trpc.procedure.input(announcementShape).mutation(({ input }) => peer.announce(input)),
    /** The versions which an agent does not have yet. */
    catalogueSince: trpc.procedure.input(object({ revision: number() })).query(({ input }) => peer.catalogueSince(input.revision))
  })
}

/** The type of an entry process's calls, for clients. */
export type EntryRouter = ReturnType<typeof createEntryRouter>
