/** Control replicas: service, router and client. */
export { createControl, type Control, type ControlOptions } from './controlService'
export type { CatalogueWatch, ChangeProgress, ControlQuery, ControlRouter, ControlStatus, ControlView, NodeReport, WorkerStatus } from './controlRouter'
export { createControlClient, type ControlClient, type ControlClientOptions } from './controlClient'
