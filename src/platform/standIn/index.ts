/** Stand-ins of the users' platform for the dev command and for tests. */
export { createDevManifest, createJobDevSite, devQueue, type JobDevSite, type JobDevSiteOptions, type SiteAnswer } from './jobDevSite'
export { StandInWorker, type StandInWorkerOptions } from './standInWorker'
