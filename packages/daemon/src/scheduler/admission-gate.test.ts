/** A refusal is true: the job was not stored, and no append of it is under way at this host. */
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Instant, JobId} from '@rhubarblever/core';
import {
	createSchedulerState, reduceScheduler, type JobDefinition, type SchedulerEvent, type SchedulerState,
} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {AdmissionGate} from './admission-gate.js';
import {BoundedOutput} from './bounded-output.js';
import {readSteadyClock} from './clocks.js';
import {DecisionLog} from './decision-log.js';
import {IntakeCheck} from './intake-check.js';
import {createMetrics} from './metrics.js';
import {config, settings} from './testing/scripted-store.js';
import type {UntimedEvent} from './effect-runner.js';

const jobId = '0123456789abcdef' as JobId;
const job: JobDefinition = {
	jobId, queue: 'replans', pool: 'trucks', spec: '', runCount: 0, firstRunAt: 0 as Instant, intervalMs: 0, steps: [{
		count: 1, need: {cpu: 1, memoryMb: 1, gpu: 0}, estimateMs: 100, dependsOn: [], isCheckpointing: false, isGang: false, isSameRack: false, requiredLabel: '', dataRack: '', maxPerWorker: 0, isSpeculative: false, isLongRunning: false, latencyTargetMs: 0, isFiller: false, maxUnavailable: 0,
	}],
};

type Fixture = {
	readonly state: SchedulerState; readonly gate: AdmissionGate; readonly push: (event: UntimedEvent) => void;
	/** Reads of the intake that the gate has asked for. */
	reads: number; readIntake: () => Promise<void>;
	readonly submit: (changes?: Partial<JobDefinition>) => Promise<number | undefined>;
};

/** A host that has just read of a wait of a minute. */
function createHost(): Fixture {
	const state = createSchedulerState({...settings, isAdmissionEnabled: true});
	const push = (event: UntimedEvent) => {
		const now = readSteadyClock();
		const timed = {...event, at: now, wallAt: Date.now()};
		reduceScheduler(state, timed as SchedulerEvent);
	};

	push({type: 'config/read', config: {...config, accounts: []}});
	push({type: 'ledger/loaded', entries: [], nextOffset: 0});
	push({
		type: 'ledger/read', nextOffset: 1, entries: [{
			offset: 0, record: {
				type: 'load', load: {
					token: 1, computedAt: Date.now() as Instant, shares: [], waits: [{
						pool: 'trucks', priority: 0, startMs: 60_000, backlogMs: 60_000, delayMs: 60_000, excessMs: 60_000,
					}],
				},
			},
		}],
	});
	const output = BoundedOutput.create((_chunk, done) => {
		done();
	});
	const gate = AdmissionGate.create({
		state, log: DecisionLog.create({host: 'h', output}), metrics: createMetrics(), getLedgerAgeMs: () => 100, draw: () => 0.5,
		intakeCheck: IntakeCheck.create({
			async refresh() {
				fixture.reads++;
				await fixture.readIntake();
			},
			getCompleteAt: () => state.intakeCompleteAt,
		}),
	});
	const fixture: Fixture = {
		state,
		gate,
		push,
		reads: 0,
		async readIntake() {
			const completeAt = readSteadyClock();
			await sleep(5);
			push({type: 'intake/read', records: [], completeAt});
		},
		submit: async changes => gate.findRefusal({
			job: {...job, ...changes}, firstSentAt: undefined, arrivedAt: readSteadyClock(), waitMs: 3000,
		}),
	};
	return fixture;
}

describe('a refusal by admission', () => {
	/** Guards against: each refused caller costs the store a read. */
	it('tells when to return, and many at the same time share few reads of the intake', async () => {
		const host = createHost();
		const answers = await Promise.all(Array.from({length: 200}, async (_, number) => host.submit({jobId: `${number}` as JobId})));
		expect(answers.every(retryAfterS => retryAfterS !== undefined && retryAfterS >= 1 && retryAfterS <= 8)).toEqual(true);
		expect(host.reads <= 2).toEqual(true);
	});

	/** Guards against: the repeat of a job that another host accepted a moment ago is refused, and its caller gives it up. */
	it('is not given to the repeat of a job that another host has accepted', async () => {
		const host = createHost();
		host.readIntake = async () => {
			host.push({type: 'intake/read', records: [{type: 'job', job}], completeAt: readSteadyClock()});
		};

		expect(await host.submit()).toEqual(undefined);
	});

	/** Guards against: a job is refused while its append by this host is under way or has an unknown outcome, and runs all the same. */
	it('is not given to a job that this host may have stored', async () => {
		const host = createHost();
		host.gate.noteAppend(jobId);
		host.gate.noteAppend(jobId);
		expect(await host.submit()).toEqual(undefined);
		host.gate.noteOutcome(jobId, 'refused');
		expect(await host.submit()).toEqual(undefined);
		host.gate.noteOutcome(jobId, 'unknown');
		expect(await host.submit()).toEqual(undefined);
		host.gate.noteAppend('b' as JobId);
		host.gate.noteOutcome('b' as JobId, 'refused');
		expect(await host.submit({jobId: 'b' as JobId}) !== undefined).toEqual(true);
	});

	/** Guards against: the store does not answer, so that nobody knows whether another host has accepted the job. */
	it('is not given while the intake cannot be read, and is again once it can', async () => {
		const host = createHost();
		const {readIntake} = host;
		host.readIntake = async () => undefined;
		expect(await host.submit()).toEqual(undefined);
		host.readIntake = readIntake;
		expect(await host.submit() !== undefined).toEqual(true);
	});
});
