/** How effects are carried out: the token in each outcome event, and commits that are larger than one append. */
import {describe, it} from 'node:test';
import type {LedgerRecord, SchedulerEffect} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {measureRecord} from './append-batches.js';
import {DecisionLog} from './decision-log.js';
import {EffectRunner, type UntimedEvent} from './effect-runner.js';
import {createMetrics} from './metrics.js';
import type {AppendOutcome, KeyedStore, SchedulerPorts} from './ports.js';
import {storeLimits} from './testing/scripted-store.js';

const worker = {
	id: 'w', bornAt: 1, address: '10.0.0.1:80', restarts: 0,
};
const token = 7;

function createPorts(): SchedulerPorts {
	const ports: Partial<SchedulerPorts> = {
		store: {
			limits: storeLimits,
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
		type: 'worker/poll', worker, token, acknowledgedEnd: 0, untilMs: undefined, waitMs: 0, slackMs: 500, isExtra: false,
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

function createRunner(ports: SchedulerPorts, pushed: UntimedEvent[]): EffectRunner {
	return EffectRunner.create({
		ports,
		log: DecisionLog.create({host: 'h'}),
		metrics: createMetrics(),
		pushEvent(event) {
			pushed.push(event);
		},
		reloadLedger() {
			// These tests have no ledger reader.
		},
		expireViews() {
			// These tests have no views.
		},
	});
}

async function waitForEvents(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('the outcome events of a leader\'s effects', () => {
	for (const effect of effects) {
		it(`${effect.type}: carries the fencing token of its effect`, async () => {
			const pushed: UntimedEvent[] = [];
			const runner = createRunner(createPorts(), pushed);
			runner.run(effect);
			await waitForEvents();
			expect(pushed.map(event => 'token' in event ? event.token : undefined)).toEqual([token]);
		});
	}
});

describe('a commit that is larger than the store takes', () => {
	const limits = {maxRecordBytes: 400, maxAppendBytes: 700};
	const createWaves = (wave: number, bytes: number): LedgerRecord => ({type: 'waves', waves: [{wave, doneMachines: ['m'.repeat(bytes)], isCompleted: false}]});
	const commit: SchedulerEffect = {
		type: 'ledger/commit', token, sequence: 5, records: [createWaves(1, 250), createWaves(2, 250), createWaves(3, 250)],
	};

	/** A store that takes no more than its limits, and answers each append in turn as `answers` say. */
	function createStore(answers: AppendOutcome[] = []) {
		const appends: Array<{readonly keys: number; readonly sequence: number | undefined}> = [];
		const store: KeyedStore = {
			limits,
			async append(_stream, records, conditions) {
				const bytes = records.reduce((sum, record) => sum + measureRecord(record), 0);
				if (bytes > limits.maxAppendBytes || records.some(record => measureRecord(record) > limits.maxRecordBytes)) {
					return {type: 'refused'};
				}

				appends.push({keys: records.length, sequence: conditions?.writer?.sequence});
				return answers.shift() ?? {type: 'appended', offset: 0};
			},
			read: async () => ({type: 'unavailable'}),
			listNewest: async () => ({type: 'unavailable'}),
		};
		return {appends, ports: {...createPorts(), store}};
	}

	async function run(ports: SchedulerPorts, effect = commit): Promise<UntimedEvent[]> {
		const pushed: UntimedEvent[] = [];
		createRunner(ports, pushed).run(effect);
		await waitForEvents();
		return pushed;
	}

	/** Guards against an append that the store refuses for its size whenever it is sent. */
	it('is stored in several appends with successive sequence numbers', async () => {
		const {appends, ports} = createStore();
		expect(await run(ports)).toEqual([{
			type: 'commit/ended', outcome: 'stored', sequence: 5, token, appends: 2,
		}]);
		expect(appends).toEqual([{keys: 2, sequence: 5}, {keys: 1, sequence: 6}]);
	});

	it('ends with the first append that is not stored', async () => {
		const {appends, ports} = createStore([{type: 'unknown'}]);
		expect(await run(ports)).toEqual([expect.subset({outcome: 'unknown', sequence: 5})]);
		expect(appends.length).toEqual(1);
	});

	it('passes over the appends that an earlier attempt has stored', async () => {
		const {ports} = createStore([{type: 'out-of-sequence', expected: 6}]);
		expect(await run(ports)).toEqual([expect.subset({outcome: 'stored', appends: 2})]);
	});

	/** Guards against one record that keeps all others from being stored for as long as a host leads. */
	it('is stored without a record that is larger than the store takes', async () => {
		const {appends, ports} = createStore();
		const events = await run(ports, {...commit, records: [createWaves(1, 500), createWaves(2, 10)]});
		expect(events).toEqual([expect.subset({outcome: 'stored'})]);
		expect(appends).toEqual([{keys: 1, sequence: 5}]);
	});
});
