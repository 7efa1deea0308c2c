/** A job is refused only if, by recent figures of a known leader, it would end too late to be of use. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {judgeAdmission, type AdmissionInput, type AdmissionVerdict} from './admission.js';
import {createConfig, HandDrivenHost} from './testing/hand-driven.js';
import {
	createJob, createStep, poolName, queueName,
} from './testing/model-fleet.js';
import type {
	AccountName, ClientAccount, FleetConfig, JobDefinition, PoolWait,
} from './types.js';

const account = 'a' as AccountName;
const clientAccount: ClientAccount = {
	name: account, weight: 1, quota: {cpu: 0, memoryMb: 0, gpu: 0}, keyDigests: [],
};
const config: FleetConfig = {...createConfig(), accounts: [clientAccount]};
/** One second of work: its objective is 2.6 s, and up to 7.8 s it is of some use. */
const job = createJob(1, [createStep({count: 1, estimateMs: 1000})]);
const ofAccount: JobDefinition = {...job, account};
const fresh: Partial<AdmissionInput> = {ledgerAgeMs: 500};
const longWait = {
	startMs: 6000, backlogMs: 8000, delayMs: 8000, excessMs: 9000,
};

type Told = {readonly wait?: Partial<PoolWait>; readonly within?: number; readonly token?: number};

class Host {
	static create(): Host {
		return new Host();
	}

	readonly host = HandDrivenHost.create({isAdmissionEnabled: true});
	private offset = 0;

	private constructor() {
		this.host.dispatch({type: 'config/read', config});
		this.host.dispatch({type: 'ledger/loaded', entries: [], nextOffset: 0});
		this.host.now = 100_000;
		this.readLease(1);
	}

	readLease(token: number, isReleased = false): void {
		this.host.dispatch({type: 'ledger/read', entries: [{offset: this.offset++, record: {type: 'lease', lease: {holder: 'l', token, isReleased}}}], nextOffset: this.offset});
	}

	readLoad({wait = longWait, within, token = 1}: Told = {}): void {
		const waits = [{
			pool: poolName, priority: 0, startMs: 0, backlogMs: 0, delayMs: 0, excessMs: 0, ...wait,
		}];
		const shares = within === undefined ? [] : [{account, within}];
		const computedAt = this.host.state.wallNow === 0 ? 0 as Instant : (1_800_000_000_000 + this.host.now) as Instant;
		this.host.dispatch({
			type: 'ledger/read', entries: [{
				offset: this.offset++, record: {
					type: 'load', load: {
						token, computedAt, waits, shares,
					},
				},
			}], nextOffset: this.offset,
		});
	}

	judge(definition = job, changes: Partial<AdmissionInput> = {}): AdmissionVerdict {
		return judgeAdmission(this.host.state, definition, {
			now: this.host.now, firstSentAt: undefined, ledgerAgeMs: fresh.ledgerAgeMs, draw: () => 0.5, ...changes,
		});
	}
}

describe('admission at a host', () => {
	it('refuses a job that would end later than three times its objective, and admits one that is in time or of some use', () => {
		const host = Host.create();
		host.readLoad();
		expect(host.judge().outcome).toEqual('refused');
		host.readLoad({wait: {startMs: 6000, delayMs: 6500}});
		expect(host.judge().outcome).toEqual('late');
		host.readLoad({wait: {startMs: 900, delayMs: 9000}});
		expect(host.judge().outcome).toEqual('timely');
	});

	/** Guards against: refusals by figures that were true some seconds ago. */
	it('refuses nothing when its view is older than 3 s, or unknown, and takes waits to become shorter as time passes', () => {
		const host = Host.create();
		host.readLoad();
		expect(host.judge(job, {ledgerAgeMs: 3000}).outcome).toEqual('stale');
		expect(host.judge(job, {ledgerAgeMs: undefined}).outcome).toEqual('stale');
		host.host.now += 1500;
		expect(host.judge().outcome).toEqual('late');
	});

	/** Guards against: the leader is lost in a burst, and hosts go on refusing by its last figures. */
	it('refuses nothing after the leader is lost, has released its lease, or another has claimed leadership', () => {
		const silent = Host.create();
		silent.readLoad({wait: {startMs: 60_000, delayMs: 60_000}});
		silent.host.now += 3000;
		expect(silent.judge().outcome).toEqual('stale');
		const released = Host.create();
		released.readLoad();
		released.readLease(1, true);
		expect(released.judge().outcome).toEqual('stale');
		const replaced = Host.create();
		replaced.readLoad();
		replaced.readLease(7);
		expect(replaced.judge().outcome).toEqual('stale');
		replaced.readLoad({token: 1});
		expect(replaced.judge().outcome).toEqual('stale');
		replaced.readLoad({token: 7});
		expect(replaced.judge().outcome).toEqual('refused');
	});

	/** Guards against: a host that has just started refuses by figures in the ledger that may be of any age. */
	it('refuses nothing before it has read figures since it loaded the ledger', () => {
		const host = Host.create();
		host.readLoad();
		const load = host.host.state.load.view!.figures;
		host.host.dispatch({type: 'ledger/loaded', entries: [{offset: 0, record: {type: 'load', load}}], nextOffset: 1});
		expect(host.judge().outcome).toEqual('stale');
	});

	/** Guards against: a job within the share of an account that is under its rate is refused because of excess work. */
	it('judges jobs beyond the share of their account by the wait behind all other work, the others not', () => {
		const host = Host.create();
		const onlyExcess = {excessMs: 20_000};
		host.readLoad({wait: onlyExcess});
		expect(host.judge(ofAccount).outcome).toEqual('timely');
		host.readLoad({wait: onlyExcess, within: 0.4});
		expect(host.judge(ofAccount, {draw: () => 0.3}).outcome).toEqual('timely');
		expect(host.judge(ofAccount, {draw: () => 0.6}).outcome).toEqual('refused');
		expect(host.judge(job, {draw: () => 0.6}).outcome).toEqual('timely');
	});

	it('always admits long-running and scheduled jobs, jobs of queues without a wait, and jobs whose tasks fit where others do not', () => {
		const host = Host.create();
		host.readLoad();
		expect(host.judge(createJob(2, [createStep({isLongRunning: true}), createStep()])).outcome).toEqual('unjudged');
		expect(host.judge({...job, runCount: 3}).outcome).toEqual('unjudged');
		expect(host.judge({...job, queue: 'other'}).outcome).toEqual('unjudged');
		host.readLoad({wait: {...longWait, room: {cpu: 2000, memoryMb: 1000, gpu: 0}}});
		expect(host.judge().outcome).toEqual('idle');
		host.readLoad({wait: {...longWait, room: {cpu: 1999, memoryMb: 1000, gpu: 0}}});
		expect(host.judge().outcome).toEqual('refused');
		Object.assign(host.host.state.settings, {isAdmissionEnabled: false});
		expect(host.judge().outcome).toEqual('unjudged');
		expect(queueName).toEqual(job.queue);
	});

	/** Guards against: all refused callers return in the same second, or long after there is capacity again. */
	it('spreads returning callers over some seconds from the time at which there is capacity again, 8 s at most', () => {
		const host = Host.create();
		const draw = (jitter: number) => {
			const verdict = host.judge(job, {draw: () => jitter});
			return verdict.outcome === 'refused' ? verdict.retryAfterS : undefined;
		};

		const jitters = [0, 0.3, 0.6, 0.999];
		host.readLoad({wait: {...longWait, backlogMs: 3500}});
		expect(jitters.map(jitter => draw(jitter))).toEqual([2, 3, 4, 5]);
		host.readLoad({wait: {...longWait, backlogMs: 60_000}});
		expect(jitters.map(jitter => draw(jitter))).toEqual([5, 6, 7, 8]);
	});
});
