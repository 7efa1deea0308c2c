/** Asks a worker for its runs as soon as a trial there may be over, so that the next suspect can start. */
import {sendExtraPoll} from './extra-polls.js';
import {hasBegunLately} from './trials.js';
import type {SchedulerState, Worker} from './state.js';

const trialPollIntervalMs = 250;

/** Sends the extra polls that are due. */
export function tickTrialPolls(state: SchedulerState): void {
	if (state.suspects.size === 0) {
		return;
	}

	const {kept, onTrial, polledAt} = state.trials;
	for (const worker of new Set([...kept.keys(), ...onTrial])) {
		if (isPollUseful(state, worker) && state.now >= (polledAt.get(worker) ?? 0) + trialPollIntervalMs) {
			polledAt.set(worker, state.now);
			sendExtraPoll(state, worker);
		}
	}
}

/** True if a run has lasted long enough by now, but had not when its worker last answered. */
function isPollUseful(state: SchedulerState, worker: Worker): boolean {
	return worker.failedPolls === 0 && worker.address !== ''
		&& [...worker.tasks.values()].some(task => hasBegunLately(task, worker.lastAnswerAt) && !hasBegunLately(task, state.now));
}
