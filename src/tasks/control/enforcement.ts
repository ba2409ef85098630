import type { NodeReport } from './controlRouter'

interface ReceivedReport extends NodeReport {
  readonly receivedAt: number
}

/** Tracks which catalogue revision each node enforces. The state is kept in memory only, because nodes report again to a new leader. */
export class Enforcement {
  private readonly reports = new Map<string, ReceivedReport>()
  private readonly inForce = new Map<number, number>()
  private oldestPendingRevision = 1

  /** A node that has not reported for `reportTimeoutMs` has lost its catalogue lease, serves no requests and is no longer counted. */
  constructor (private readonly reportTimeoutMs: number) {}

  /** Records reports of nodes; a report with an older revision than the known one is ignored. */
  report (reports: readonly NodeReport[], now: number): void {
    for (const report of reports) {
      const known = this.reports.get(report.node)
      if (known !== undefined && known.revision > report.revision) continue
      this.reports.set(report.node, { ...report, receivedAt: now })
    }
  }

  /** Drops expired reports and records which revisions all live nodes now enforce. */
  updateInForce (newestRevision: number, now: number): void {
    for (const [node, report] of this.reports) {
      if (now - report.receivedAt > this.reportTimeoutMs) this.reports.delete(node)
    }
    if (this.reports.size === 0) return
    const enforced = Math.min(newestRevision, ...[...this.reports.values()].map(report => report.revision))
    for (let revision = this.oldestPendingRevision; revision <= enforced; revision += 1) this.inForce.set(revision, now)
    this.oldestPendingRevision = Math.max(this.oldestPendingRevision, enforced + 1)
  }

  /** Time at which this leader first found a revision enforced by all live nodes, in milliseconds; undefined if it has not yet. */
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
