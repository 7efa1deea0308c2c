/** All entry hosts stand still for longer than their heartbeat timeout, as on a machine that is suspended; checked by the answers that callers get and by the targets' ledgers. */
import {
	after, before, describe, it,
} from 'node:test';
import {
	callService, countStarts, createServiceRecord, LocalFleet, sleep, waitUntil, type LocalEntryHost, type ObservedAnswer,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const waitLimitMs = 20_000;
const pauseMs = 1400;
const rounds = 4;
const callsPerHost = 4;

async function call({address}: LocalEntryHost): Promise<ObservedAnswer> {
	return callService({
		address, service: 'routes', work: {runMs: 5}, deadlineMs: 10_000, workClass: 'quick',
	});
}

describe('entry hosts that all stood still', () => {
	let fleet: LocalFleet;

	async function callAll(): Promise<ObservedAnswer[]> {
		return Promise.all(fleet.entryHosts.flatMap(host => Array.from({length: callsPerHost}, async () => call(host))));
	}

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: zones, entryHostsPerZone: 1, targetsPerZone: 1, services: ['routes'], targetsPerProcess: 3,
		});
		await fleet.publish([createServiceRecord('routes', {slotsPerRunner: 8})]);
		await waitUntil('all hosts answer requests', async () => {
			const seen = await callAll();
			return seen.every(({isOwn}) => isOwn);
		}, waitLimitMs);
	});

	after(async () => {
		await fleet.stop();
	});

	it('answer the requests that were sent meanwhile, without taking each other for dead, and run each once', async () => {
		const seen: ObservedAnswer[] = [];
		for (let round = 0; round < rounds; round++) {
			for (const {running} of fleet.entryHosts) {
				running.sendSignal('SIGSTOP');
			}

			const calls = callAll();
			// eslint-disable-next-line no-await-in-loop
			await sleep(pauseMs);
			for (const {running} of fleet.entryHosts) {
				running.sendSignal('SIGCONT');
			}

			// eslint-disable-next-line no-await-in-loop
			seen.push(...await calls);
			// eslint-disable-next-line no-await-in-loop
			await sleep(pauseMs);
		}

		expect(seen.filter(({isOwn}) => !isOwn)).toEqual([]);
		const starts = countStarts(await fleet.readLedgers());
		expect(seen.filter(({requestId}) => starts.get(requestId) !== 1)).toEqual([]);
	});
});
