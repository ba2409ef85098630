import { validateEntry, type CatalogueEntry, type EntryVersion } from '../catalogue'
import { Failure } from '../failures'
import { Err, Ok, type Result } from '../results'
import type { ChangeEntry } from './ledgerCommand'
import type { AcceptedChange, ChangeAnswer } from './ledgerRecords'

/** The catalogue's part of a snapshot. */
export interface CatalogueSnapshot {
  readonly revision: number
  readonly versions: readonly EntryVersion[]
  readonly answers: readonly ChangeAnswer[]
}

/** The versions of all catalogue entries, and the answers to the newest changes. */
export class CatalogueBook {
  private revision = 0
  private readonly versions = new Map<string, EntryVersion>()
  private readonly answers = new Map<string, ChangeAnswer>()

  constructor (private readonly rememberedAnswers: number) {}

  /** The revision of the newest accepted change. */
  get currentRevision (): number {
    return this.revision
  }

  /** Accepts a change, or refuses it with the current version; a resent change gets its first answer. */
  change (command: ChangeEntry): Result<AcceptedChange, Failure> {
    const earlier = this.answers.get(command.changeId)
    if (earlier !== undefined) return repeatAnswer(earlier)
    const outcome = this.decide(command)
    const answer: ChangeAnswer = outcome.ok
      ? { changeId: command.changeId, accepted: outcome.val }
      : { changeId: command.changeId, failure: outcome.val.record }
    this.remember(answer)
    return outcome
  }

  /** The current entry of a name; undefined if it was removed. */
  find (name: string): CatalogueEntry | undefined {
    return this.versions.get(name)?.entry
  }

  /** The newest version of a name, removed ones included. */
  versionOf (name: string): EntryVersion | undefined {
    return this.versions.get(name)
  }

  /** Every version newer than a revision, oldest first. */
  since (revision: number): readonly EntryVersion[] {
    return [...this.versions.values()]
      .filter(version => version.revision > revision)
      .sort((a, b) => a.revision - b.revision)
  }

  /** The newest remembered changes, oldest first. */
  changes (): readonly AcceptedChange[] {
    return [...this.answers.values()].flatMap(answer => answer.accepted === undefined ? [] : [answer.accepted])
  }

  /** This part of the ledger as plain data. */
  save (): CatalogueSnapshot {
    return { revision: this.revision, versions: [...this.versions.values()], answers: [...this.answers.values()] }
  }

  /** Replaces this part of the ledger by a snapshot. */
  load (snapshot: CatalogueSnapshot): void {
    this.revision = snapshot.revision
    this.versions.clear()
    this.answers.clear()
    for (const version of snapshot.versions) this.versions.set(version.name, version)
    for (const answer of snapshot.answers) this.answers.set(answer.changeId, answer)
  }

  private decide (command: ChangeEntry): Result<AcceptedChange, Failure> {
    const current = this.versions.get(command.name)
    const currentVersion = current?.version ?? 0
    if (command.expectedVersion !== currentVersion) {
      return Err(new Failure('catalogue/conflict', {
        subject: command.name,
        expected: `version ${currentVersion}`,
        got: `version ${command.expectedVersion}`
      }))
    }
    const invalid = checkChange(command, current)
    if (invalid !== undefined) return Err(invalid)
    return Ok(this.accept(command, currentVersion + 1))
  }

  private accept (command: ChangeEntry, version: number): AcceptedChange {
    this.revision += 1
    const accepted: EntryVersion = {
      name: command.name,
      version,
      revision: this.revision,
      ...(command.entry === undefined ? {} : { entry: command.entry })
    }
    this.versions.set(command.name, accepted)
    return { changeId: command.changeId, by: command.by, at: command.at, version: accepted }
  }

  private remember (answer: ChangeAnswer): void {
    this.answers.set(answer.changeId, answer)
    if (this.answers.size <= this.rememberedAnswers) return
    const oldest = this.answers.keys().next().value
    if (oldest !== undefined) this.answers.delete(oldest)
  }
}

function repeatAnswer (answer: ChangeAnswer): Result<AcceptedChange, Failure> {
  if (answer.accepted !== undefined) return Ok(answer.accepted)
  const record = answer.failure
  return Err(record === undefined ? new Failure('catalogue/change-forgotten') : new Failure(record.code, record.detail))
}

function checkChange (command: ChangeEntry, current: EntryVersion | undefined): Failure | undefined {
  if (command.entry === undefined) {
    if (current?.entry === undefined) return new Failure('request/unknown-entry', { subject: command.name })
    return undefined
  }
  if (command.entry.name !== command.name) {
    return new Failure('catalogue/invalid', { subject: 'name', expected: command.name, got: command.entry.name })
  }
  const checked = validateEntry(command.entry)
  return checked.ok ? undefined : checked.val
}
