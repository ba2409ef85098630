/** Fake endpoints and workers for development and tests. */
export { createFakeEndpoint, type FakeEndpoint, type FakeEndpointOptions } from './fakeEndpoint'
export { createFakeWorker, type FakeWorker } from './fakeWorker'
export { FakeWorkerModel, type FakeRun, type FakeWorkerOptions } from './fakeWorkerModel'
export { findFreePorts } from './freePort'
