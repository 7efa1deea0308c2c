/** Each answer that is told to the scheduler names the lead whose question it answers. */
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
			start: async () => ({outcome: 'started', clockMs: 1}),
			stop: async () => 'stopped',
			hold: async () => ({
				outcome: 'held', clockMs: 1, bornAt: 1, running: [], ended: [],
			}),
			setPace: async () => true,
		},
		machines: {
			list: async () => ({type: 'listed', machines: [], pages: 1}),
			move: async () => 'done',
			startUpkeep: async () => 'done',
		},
		advisor: {ask: async () => undefined},
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
		type: 'worker/poll', worker, token, lastAckedEnd: 0, untilMs: undefined, waitMs: 0, isExtra: false,
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

describe('the answers to a leader\'s questions', () => {
	for (const effect of effects) {
		it(`${effect.type}: brings the token of its question`, async () => {
			const told: UntimedEvent[] = [];
			const runner = EffectRunner.create({
				ports: createPorts(),
				log: DecisionLog.create({host: 'h'}),
				metrics: createMetrics(),
				pushEvent(event) {
					told.push(event);
				},
				reloadLedger() {
					// Nothing follows the ledger here.
				},
			});
			runner.run(effect);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			expect(told.map(event => 'token' in event ? event.token : undefined)).toEqual([token]);
		});
	}
});
