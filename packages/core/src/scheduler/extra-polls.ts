/** Polls beside the regular ones. */
import {addEffect} from './logging.js';
import {getTarget} from './tasks.js';
import {pollSlackMs} from './timing.js';
import type {SchedulerState, Worker} from './state.js';

/** Polls immediately, even while another poll waits for a run to end. */
export function sendExtraPoll(state: SchedulerState, worker: Worker): void {
	addEffect(state, {
		type: 'worker/poll', worker: getTarget(worker), token: state.leadership.token, acknowledgedEnd: 0, untilMs: undefined, waitMs: 0, slackMs: pollSlackMs, isExtra: true,
	});
}
