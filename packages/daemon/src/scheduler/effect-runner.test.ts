/** Each event that reports the outcome of a leader's effect carries the fencing token of that effect. */
import {describe, it} from 'node:test';
import type {SchedulerEffect} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {DecisionLog} from './decision-log.js';
import {EffectRunner, type UntimedEvent} from './effect-runner.js';
import {createMetrics} from './metrics.js';
import type {SchedulerPorts} from './ports.js';

const worker = {id: 'w', bornAt: 1, address: '10.0.0.1:80'};
const token = 7;

function createPorts(): SchedulerPorts {
	const ports: Partial<SchedulerPorts> = {
		store: {
			append: async () => ({type: 'appended', offset: 0}),
			read: async () => ({type: 'unavailable'}),
			listNewest: async () => ({type: 'unavailable'}),
		},
		workers: {
			startRun: async () => ({outcome: 'started', clockMs: 1}),
			stopRun: async () => 'stopped',
			poll: async () => ({
				outcome: 'held', clockMs: 1, bornAt: 1, running: [], ended: [],
			}),
			setPace: async () => true,
		},
		machines: {
			list: async () => ({type: 'listed', machines: [], pages: 1}),
			move: async () => 'done',
			startUpkeep: async () => 'done',
		},
		advisor: {requestAdvice: async () => undefined},
	};
	return ports as SchedulerPorts;
}

const effects: SchedulerEffect[] = [
	{
		type: 'ledger/commit', token, sequence: 1, records: [],
	},
	{
		type: 'worker/start', worker, task: 't', run: 1, spec: '', untilMs: 1, token, checkpoint: '', ticket: undefined,
	},
	{
		type: 'worker/stop', worker, task: 't', run: 1, token,
	},
	{
		type: 'worker/poll', worker, token, lastAckedEnd: 0, untilMs: undefined, waitMs: 0, slackMs: 500, isExtra: false,
	},
	{
		type: 'worker/pace', worker, task: 't', run: 1, percent: 1, token,
	},
	{
		type: 'machine/move', order: 1, machineId: 'm', pool: 'p', token,
	},
	{
		type: 'machine/upkeep', order: 1, machineId: 'm', wave: 1, token,
	},
	{
		type: 'advice/request', step: 's', workerIds: [], token,
	},
];

describe('the outcome events of a leader\'s effects', () => {
	for (const effect of effects) {
		it(`${effect.type}: carries the fencing token of its effect`, async () => {
			const pushed: UntimedEvent[] = [];
			const runner = EffectRunner.create({
				ports: createPorts(),
				log: DecisionLog.create({host: 'h'}),
				metrics: createMetrics(),
				pushEvent(event) {
					pushed.push(event);
				},
				reloadLedger() {
					// This test has no ledger reader.
				},
				expireViews() {
					// This test has no views.
				},
			});
			runner.run(effect);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			expect(pushed.map(event => 'token' in event ? event.token : undefined)).toEqual([token]);
		});
	}
});
