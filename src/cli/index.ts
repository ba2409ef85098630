/** The command line. */
export { runCli } from './cli'
export { exitCodes } from './exitCodes'
