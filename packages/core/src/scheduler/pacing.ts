/** Throttling of filler tasks in favour of serving tasks on the same worker: fast decrease, slow increase. */
import {addEffect, noteDecision} from './logging.js';
import {getTarget} from './tasks.js';
import type {SchedulerState, Task, Worker} from './state.js';

/** Load (latency as a share of its target) above which fillers are slowed down, and below which they may speed up. */
const slowDownAbove = 0.85;
const speedUpBelow = 0.6;
const fullPercent = 100;
const speedUpPercent = 10;

/** Sets the pace of a worker's fillers according to the highest load among its serving tasks. */
export function updateFillerPace(state: SchedulerState, worker: Worker): void {
	const tasks = [...worker.tasks.values()].filter(task => task.status === 'running');
	const fillers = tasks.filter(task => task.step.definition.isFiller);
	if (fillers.length === 0) {
		return;
	}

	const serving = tasks.filter(task => task.step.definition.latencyTargetMs > 0);
	const load = Math.max(0, ...serving.map(task => task.reading / task.step.definition.latencyTargetMs));
	for (const filler of fillers) {
		const percent = choosePercent(filler.pacePercent, load);
		if (percent !== filler.pacePercent) {
			sendPace(state, worker, filler, percent, load);
		}
	}
}

/** The next pace of a filler in percent: halved at a high load, zero when a latency target is missed. */
export function choosePercent(current: number, load: number): number {
	if (load > 1) {
		return 0;
	}

	if (load > slowDownAbove) {
		return Math.floor(current / 2);
	}

	return load < speedUpBelow ? Math.min(fullPercent, current + speedUpPercent) : current;
}

function sendPace(state: SchedulerState, worker: Worker, filler: Task, percent: number, load: number): void {
	noteDecision(state, 'filler-paced', {
		task: filler.name, workerId: worker.id, from: filler.pacePercent, to: percent, load: Math.round(load * fullPercent) / fullPercent,
	});
	filler.pacePercent = percent;
	addEffect(state, {
		type: 'worker/pace', worker: getTarget(worker), task: filler.name, run: filler.run, percent, token: state.leadership.token,
	});
}
