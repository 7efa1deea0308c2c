/** Property test of the records about jobs: with any sequence of proposals, no job exceeds its allowed runs and no accepted job disappears. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {applyRecord, type RecordOutcome} from '../fleet/apply-record.js';
import {createFleetState, type FleetState} from '../fleet/state.js';
import type {JobId} from '../types/ids.js';
import {logRecordSchema} from '../types/records.js';
import type {Instant} from '../types/time.js';
import {attemptEnds, type AttemptEnd} from './bodies.js';
import {clockMarginMs} from './validation.js';
import {isEnded, type Job} from './state.js';

const jobIds = ['replan', 'roster', 'overlay'];
const workers = ['worker-1', 'worker-2'];
const allowedRuns = 2;

/** A log with a clock of its own, whose records are applied as they are appended. */
class TestLog {
	static create(): TestLog {
		const log = new TestLog();
		log.append('pool', {pool: 'trucks', minimumHealthyHosts: 0});
		for (const hostId of workers) {
			log.append('host', {
				hostId, pool: 'trucks', availabilityZone: 'a', rack: 'rack-1',
			});
		}

		return log;
	}

	readonly fleet: FleetState = createFleetState();
	now = 1000;
	private count = 0;

	private constructor() {}

	append(schema: string, body: unknown): RecordOutcome {
		this.count += 1;
		const record = logRecordSchema.parse({
			recordId: `r${this.count}`, schema, version: 1, body,
		});
		return applyRecord(this.fleet, {offset: this.fleet.nextOffset, at: this.now as Instant, record});
	}

	findJob(jobId: string): Job | undefined {
		return this.fleet.jobs.jobs.get(jobId as JobId);
	}
}

type Proposal
	= | {readonly kind: 'accept' | 'cancel'; readonly job: string}
		| {readonly kind: 'attempt'; readonly job: string; readonly attempt: number; readonly worker: string; readonly leaseMs: number; readonly term: number}
		| {readonly kind: 'end'; readonly job: string; readonly attempt: number; readonly end: AttemptEnd; readonly term: number}
		| {readonly kind: 'wait'; readonly forMs: number}
		| {readonly kind: 'lease'; readonly term: number; readonly holder: string};

const attemptNumber = fc.integer({min: 1, max: 5});
const term = fc.integer({min: 1, max: 3});
const proposals: fc.Arbitrary<Proposal> = fc.oneof(
	fc.record({kind: fc.constantFrom('accept' as const, 'cancel' as const), job: fc.constantFrom(...jobIds)}),
	fc.record({
		kind: fc.constant('attempt' as const), job: fc.constantFrom(...jobIds), attempt: attemptNumber, worker: fc.constantFrom(...workers), leaseMs: fc.integer({min: -100, max: 5000}), term,
	}),
	fc.record({
		kind: fc.constant('end' as const), job: fc.constantFrom(...jobIds), attempt: attemptNumber, end: fc.constantFrom(...attemptEnds), term,
	}),
	fc.record({kind: fc.constant('wait' as const), forMs: fc.integer({min: 1, max: 9000})}),
	fc.record({kind: fc.constant('lease' as const), term, holder: fc.constantFrom('entry-1', 'entry-2')}),
);

const proposers: {readonly [Kind in Proposal['kind']]: (log: TestLog, proposal: Extract<Proposal, {kind: Kind}>) => RecordOutcome | undefined} = {
	accept: (log, {job}) => log.append('job', createJobBody(job)),
	cancel: (log, {job}) => log.append('job-cancel', {jobId: job}),
	attempt: (log, proposal) => log.append('job-attempt', {
		jobId: proposal.job, attempt: proposal.attempt, worker: proposal.worker, leaseUntil: Math.max(0, log.now + proposal.leaseMs), term: proposal.term,
	}),
	end: (log, proposal) => log.append('job-attempt-end', {
		jobId: proposal.job, attempt: proposal.attempt, end: proposal.end, term: proposal.term,
	}),
	wait(log, {forMs}) {
		log.now += forMs;
		return undefined;
	},
	lease: (log, proposal) => log.append('planner-lease', {
		holder: proposal.holder, incarnation: `${proposal.holder}-1`, term: proposal.term, deadline: log.now + 3000,
	}),
};

function createJobBody(jobId: string) {
	return {
		jobId, pool: 'trucks', team: 'dispatch', jobClass: 'normal', cores: 1, memoryBytes: 1, declaredRunMs: 1000, allowedRuns, isResumable: jobId === 'roster',
	};
}

function propose(log: TestLog, proposal: Proposal): RecordOutcome | undefined {
	const run = proposers[proposal.kind] as (log: TestLog, proposal: Proposal) => RecordOutcome | undefined;
	return run(log, proposal);
}

describe('applying records about jobs', () => {
	it('keeps every accepted job within its allowed runs and with one attempt at a time, for any sequence of proposals', () => {
		fc.assert(fc.property(fc.array(proposals, {maxLength: 120}), list => {
			const log = TestLog.create();
			const accepted = new Set<string>();
			const leases = new Map<string, number>();
			for (const proposal of list) {
				const before = proposal.kind === 'attempt' ? log.findJob(proposal.job) : undefined;
				const wasRunning = before?.step === 'running';
				const outcome = propose(log, proposal);
				const isAccepted = outcome?.verdict === 'accepted';
				if (proposal.kind === 'accept' && isAccepted) {
					accepted.add(proposal.job);
				}

				if (proposal.kind === 'attempt' && isAccepted) {
					expect(wasRunning).toEqual(false);
					leases.set(proposal.job, log.now + proposal.leaseMs);
				}

				if (proposal.kind === 'end' && proposal.end === 'lapsed' && isAccepted) {
					expect(log.now > (leases.get(proposal.job) ?? 0) + clockMarginMs).toEqual(true);
				}

				for (const job of accepted) {
					const found = log.findJob(job);
					expect(found === undefined).toEqual(false);
					expect((found?.runs ?? 0) <= allowedRuns).toEqual(true);
				}
			}
		}), {seed: 21, numRuns: 400});
	});

	it('accepts a job once, cancels it idempotently and rejects attempts after the cancel', () => {
		const log = TestLog.create();
		expect(log.append('job', createJobBody('replan')).verdict).toEqual('accepted');
		expect(log.append('job', createJobBody('replan')).verdict).toEqual('void');
		expect(log.append('job-cancel', {jobId: 'replan'}).verdict).toEqual('accepted');
		expect(log.append('job-cancel', {jobId: 'replan'}).verdict).toEqual('accepted');
		propose(log, {kind: 'lease', term: 1, holder: 'entry-1'});
		expect(propose(log, {
			kind: 'attempt', job: 'replan', attempt: 1, worker: 'worker-1', leaseMs: 500, term: 1,
		})?.verdict).toEqual('void');
	});

	it('counts no run for an attempt that its worker refused, nor for resuming from a checkpoint', () => {
		const log = TestLog.create();
		log.append('job', createJobBody('roster'));
		propose(log, {kind: 'lease', term: 1, holder: 'entry-1'});
		for (const [index, end] of (['unstarted', 'checkpointed', 'checkpointed', 'failed', 'succeeded'] as const).entries()) {
			expect(propose(log, {
				kind: 'attempt', job: 'roster', attempt: index + 1, worker: 'worker-1', leaseMs: 500, term: 1,
			})?.verdict).toEqual('accepted');
			propose(log, {
				kind: 'end', job: 'roster', attempt: index + 1, end, term: 1,
			});
		}

		expect(log.findJob('roster')?.runs).toEqual(2);
		expect(log.findJob('roster')?.step).toEqual('succeeded');
	});

	it('never exceeds a team\'s quota', () => {
		const log = TestLog.create();
		log.append('quota', {team: 'dispatch', cores: 1, accelerators: 0});
		log.append('job', createJobBody('replan'));
		log.append('job', createJobBody('roster'));
		propose(log, {kind: 'lease', term: 1, holder: 'entry-1'});
		const start = (job: string) => propose(log, {
			kind: 'attempt', job, attempt: 1, worker: 'worker-1', leaseMs: 500, term: 1,
		});
		expect(start('replan')?.verdict).toEqual('accepted');
		expect(start('roster')?.verdict).toEqual('void');
		propose(log, {
			kind: 'end', job: 'replan', attempt: 1, end: 'succeeded', term: 1,
		});
		expect(start('roster')?.verdict).toEqual('accepted');
		expect([...log.fleet.jobs.jobs.values()].filter(job => isEnded(job)).length).toEqual(1);
	});
});
