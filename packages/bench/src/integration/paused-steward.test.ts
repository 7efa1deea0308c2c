/** A steward process is frozen and resumed under load; checked by the answers that callers get and by the targets' ledgers. */
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import {
	callService, countStarts, createServiceRecord, listLoads, LocalFleet, sleep, waitUntil, type LocalEntryHost, type ObservedAnswer,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {listUnexpectedExits} from './worker-fleet.js';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const slotsPerRunner = 8;
const waitLimitMs = 20_000;
const deadlineMs = 5000;
/** Allows for the transmission of an answer that is sent at the deadline. */
const answerMarginMs = 1000;
const pauseMs = 2500;
/** A lease of 1.5 s plus the next report: after this time targets must be within their slots again. */
const overfillBoundMs = 2000;
const callerCount = 36;
const runMs = 200;

async function call({address}: LocalEntryHost, requestId: string): Promise<ObservedAnswer> {
	return callService({
		address, service: 'routes', requestId, work: {runMs}, deadlineMs, workClass: 'quick',
	});
}

describe('a steward that is frozen and resumed', () => {
	let fleet: LocalFleet;
	const seen: ObservedAnswer[] = [];
	/** Answers to calls to the frozen host and to repeats with the same ids at other hosts. */
	const duplicates: ObservedAnswer[] = [];
	/** Times of each freeze and resume; slots may be overfilled for a short time after each. */
	const pauseChanges: number[] = [];

	async function callRepeatedly(hosts: readonly LocalEntryHost[], index: number, until: number): Promise<void> {
		for (let round = index; Date.now() < until; round++) {
			// eslint-disable-next-line no-await-in-loop
			seen.push(await call(hosts[round % hosts.length]!, randomUUID()));
		}
	}

	/** Freezes a host for a while. Callers use the other hosts meanwhile, and some ids are sent to both the frozen host and another one. */
	async function freezeUnderLoad(index: number): Promise<void> {
		const frozen = fleet.entryHosts[index]!;
		const others = fleet.entryHosts.filter(host => host !== frozen);
		const until = Date.now() + 500 + pauseMs + overfillBoundMs + 1000;
		const load = Array.from({length: callerCount}, async (_, caller) => callRepeatedly(others, caller, until));
		await sleep(500);
		frozen.running.sendSignal('SIGSTOP');
		pauseChanges.push(Date.now());
		const ids = Array.from({length: 6}, () => randomUUID());
		const toFrozen = ids.map(async requestId => call(frozen, requestId));
		const toOthers = ids.map(async (requestId, position) => call(others[position % others.length]!, requestId));
		await sleep(pauseMs);
		frozen.running.sendSignal('SIGCONT');
		pauseChanges.push(Date.now());
		duplicates.push(...await Promise.all([...toFrozen, ...toOthers]));
		await Promise.all(load);
	}

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: zones, entryHostsPerZone: 2, targetsPerZone: 1, services: ['routes'], targetsPerProcess: 3, targetFlags: ['--slots', '64'],
		});
		await fleet.publish([createServiceRecord('routes', {slotsPerRunner})]);
		await Promise.all(fleet.entryHosts.map(async host => waitUntil('a request is answered', async () => {
			const answer = await call(host, randomUUID());
			return answer.isOwn;
		}, waitLimitMs)));
	});

	after(async () => {
		await fleet.stop();
	});

	it('while either of a zone\'s two hosts is frozen, one of them its steward, the others answer or safely refuse within the deadline', async () => {
		await freezeUnderLoad(0);
		await freezeUnderLoad(1);
		expect(seen.length).toBeGreaterThan(200);
		expect(seen.filter(({isOwn, isNotRun}) => !isOwn && !isNotRun)).toEqual([]);
		expect(seen.filter(({tookMs}) => tookMs > deadlineMs + answerMarginMs)).toEqual([]);
		expect(listUnexpectedExits(fleet.entryHosts)).toEqual([]);
	});

	it('no refused request ran and none ran twice, even if sent to both the frozen host and another one', async () => {
		const runs = countStarts(await fleet.readLedgers());
		expect([...runs].filter(([, count]) => count > 1)).toEqual([]);
		expect(seen.filter(({isNotRun, requestId}) => isNotRun && runs.has(requestId))).toEqual([]);
		expect(duplicates.filter(({isOwn, requestId}) => isOwn && !runs.has(requestId))).toEqual([]);
		const answeredIds = duplicates.filter(({isOwn}) => isOwn).map(({requestId}) => requestId);
		expect(new Set(answeredIds).size).toEqual(answeredIds.length);
	});

	it('slots are overfilled only for a short time after a freeze or a resume', async () => {
		const ledgers = await fleet.readLedgers();
		for (const {entries} of ledgers) {
			const overfills = listLoads(entries).filter(({running}) => running > slotsPerRunner);
			const lateOverfills = overfills.filter(({at}) => !pauseChanges.some(changedAt => at >= changedAt && at <= changedAt + overfillBoundMs));
			expect(lateOverfills).toEqual([]);
		}
	});
});
