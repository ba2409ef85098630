import { initTRPC } from '@trpc/server'
import { array, boolean, number, object, string } from 'valibot'
import type { CatalogueUpdate } from '../../core/catalogue'
import type { Announcement } from '../../core/routing'

const trpc = initTRPC.create()

const announcementSchema = object({
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

/** The reply of an entry process to an announcement, which confirms its catalogue revision. */
export interface AnnouncementReply {
  /** The entry process's catalogue revision. */
  readonly revision: number
  /** Time since this revision was last known to be the newest, in milliseconds. */
  readonly ageMs: number
}

/** The operations of an entry process that agents can call. */
export interface EntryPeer {
  announce (announcement: Announcement): AnnouncementReply
  catalogueSince (revision: number): CatalogueUpdate
}

/** Creates the tRPC router of the calls that agents make to an entry process. */
export function createEntryRouter (peer: EntryPeer) {
  return trpc.router({
    /** Registers an agent's announcement and confirms the catalogue revision. */
    announce: trpc.procedure.input(announcementSchema).mutation(({ input }) => peer.announce(input)),
    /** Returns the catalogue versions that are newer than a revision. */
    catalogueSince: trpc.procedure.input(object({ revision: number() })).query(({ input }) => peer.catalogueSince(input.revision))
  })
}

/** The router type from which tRPC clients derive their calls. */
export type EntryRouter = ReturnType<typeof createEntryRouter>
