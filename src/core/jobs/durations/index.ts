/** How long tasks are expected to take. */
export { declaredDurations, DeclaredDurations, TaskDurations } from './taskDurations'
export { LearnedDurations } from './learnedDurations'
