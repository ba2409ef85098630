import type { RunFinding } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'

/** Logs and counts what the leader concluded about a run. */
export function logFinding (finding: RunFinding, { logger, counters }: { readonly logger: Logger, readonly counters: Counters }): void {
  const { task, run, worker } = finding
  switch (finding.type) {
    case 'released':
      counters.add('runs_released_total', { cause: finding.cause })
      logger.info('run_released', { task, run, worker, cause: finding.cause, report_age_ms: finding.reportAgeMs === undefined ? undefined : Math.round(finding.reportAgeMs) })
      return
    case 'endIgnored':
      counters.add('run_ends_ignored_total', { end: finding.end })
      logger.warn('run_end_ignored', { task, run, worker, end: finding.end, current_run: finding.currentRun, current_worker: finding.currentWorker })
      return
    case 'strayListed':
      counters.add('stray_runs_listed_total')
      logger.warn('stray_run_listed', { task, run, worker, current_run: finding.currentRun, current_worker: finding.currentWorker })
  }
}
