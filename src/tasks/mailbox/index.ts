/** Typed mailboxes, tasks and timers on top of js-csp. */
export { Mailbox, awaitPromise, startTask, type TaskBody, type TaskStep } from './mailbox'
export { delay, startTicker, type Timer } from './timer'
