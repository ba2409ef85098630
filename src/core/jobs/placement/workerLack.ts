import { hasRoomFor } from '../../ledger/resources'
import { reservationOf, type StepTasks, type WorkerLack } from '../book'
import { hasLabel, type Candidate } from './candidate'
import { tasksLeftBelowMaximum } from './runPlacement'

/** What a usable worker lacks for one more task of a step, given the live tasks of the step on it; `none` if it could take one. */
export function lackOf (candidate: Candidate, { step }: StepTasks, liveOfStep: number): WorkerLack {
  if (!hasLabel(candidate.known, step)) return 'label'
  if (tasksLeftBelowMaximum(step, liveOfStep) <= 0) return 'stepLimit'
  if (!hasRoomFor(candidate.freeResources, reservationOf(step))) return 'room'
  if (candidate.isHeld) return 'hold'
  return candidate.assignedRuns >= candidate.mayTake ? 'proof' : 'none'
}
