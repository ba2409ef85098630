import type { NodeReport } from './controlRouter'

interface HeardReport extends NodeReport {
  readonly heardAt: number
}

/** Tracks which node enforces which catalogue revision. Volatile: nodes report again to a new leader. */
export class Enforcement {
  private readonly reports = new Map<string, HeardReport>()
  private readonly inForce = new Map<number, number>()
  private oldestPending = 1

  /** A node which did not report for this long has lost its catalogue lease and serves nothing. */
  constructor (private readonly forgetMs: number) {}

  /** Takes reports of nodes. */
  report (reports: readonly NodeReport[], now: number): void {
    for (const report of reports) {
      const known = this.reports.get(report.node)
      if (known !== undefined && known.revision > report.revision) continue
      this.reports.set(report.node, { ...report, heardAt: now })
    }
  }

  /** Notes which revisions all live nodes enforce by now. */
  settle (newestRevision: number, now: number): void {
    for (const [node, report] of this.reports) {
      if (now - report.heardAt > this.forgetMs) this.reports.delete(node)
    }
    if (this.reports.size === 0) return
    const enforced = Math.min(newestRevision, ...[...this.reports.values()].map(report => report.revision))
    for (let revision = this.oldestPending; revision <= enforced; revision += 1) this.inForce.set(revision, now)
    this.oldestPending = Math.max(this.oldestPending, enforced + 1)
  }

  /** When a revision came into force everywhere; undefined if it has not, or before this leader's time. */
  inForceSince (revision: number): number | undefined {
    return this.inForce.get(revision)
  }

  /** Live nodes which do not enforce a revision yet. */
  lagging (revision: number): readonly string[] {
    return [...this.reports.values()].filter(report => report.revision < revision).map(report => report.node)
  }

  /** The newest report of each live node. */
  nodes (): readonly NodeReport[] {
    return [...this.reports.values()].map(({ node, role, revision }) => ({ node, role, revision }))
  }
}
