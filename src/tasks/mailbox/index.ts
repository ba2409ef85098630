/** Typed mailboxes and tasks on js-csp. */
export { Mailbox, settled, startTask, type TaskBody, type TaskStep } from './mailbox'
export { delay, startTicker, type Timer } from './timer'
