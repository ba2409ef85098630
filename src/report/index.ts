/** Reports of where the worth of jobs was lost, made from the structured logs of all processes. */
export { readLogs, type LogReading } from './readLogs'
export { createWorthReport, type JobWorth, type WorthReport } from './worthReport'
export { formatJob, formatReport } from './reportText'
export { createReportPage } from './reportPage'
export { delayCauses, type DelayCause, type Delays, type DelaySegment } from './delays'
