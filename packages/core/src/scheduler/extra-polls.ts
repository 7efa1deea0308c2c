/** Polls beside the regular ones. */
import {addEffect} from './logging.js';
import {getTarget} from './tasks.js';
import {pollSlackMs} from './timing.js';
import type {SchedulerState, Worker} from './state.js';

/** Polls immediately, even while another poll waits for a run to end; without `address` where the worker is known to be. */
export function sendExtraPoll(state: SchedulerState, worker: Worker, address: string = worker.address): void {
	addEffect(state, {
		type: 'worker/poll', worker: {...getTarget(worker), address}, token: state.leadership.token, acknowledgedEnd: 0, untilMs: undefined, waitMs: 0, slackMs: pollSlackMs, isExtra: true,
	});
}
