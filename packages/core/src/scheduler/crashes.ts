/** Tells which runs were on a worker when its incarnation was lost. */
import {noteDecision} from './logging.js';
import {trialMs} from './timing.js';
import type {SteadyMs} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

/** Records the loss of a worker's incarnation. Call it before its tasks are returned. `isConfirmed`: it has ended; otherwise it has been silent until its lease expired. */
export function noteWorkerLost(state: SchedulerState, worker: Worker, isConfirmed: boolean): void {
	const lost = [...worker.tasks.values()].filter(task => task.isSent);
	if (lost.length === 0) {
		return;
	}

	const recent = lost.filter(task => hasBegunLately(task, worker.lastAnswerAt));
	noteDecision(state, 'worker-lost', {
		workerId: worker.id, bornAt: worker.bornAt, isConfirmed, silentMs: Math.round(state.now - worker.lastAnswerAt), tasks: formatNames(lost), recent: formatNames(recent),
	});
}

/** True if a run had begun less than `trialMs` before an instant, or is about to. */
function hasBegunLately(task: Task, at: SteadyMs): boolean {
	return task.status === 'placed' || at - task.startedAt < trialMs;
}

function formatNames(tasks: readonly Task[]): string {
	return tasks.map(({name, run}) => `${name}#${run}`).join(' ');
}
