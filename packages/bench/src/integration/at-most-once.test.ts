/** Checks in the targets' ledgers that a non-idempotent request runs at most once, despite repeats at all entry hosts, kills, network partitions and an outage of the platform. */
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import {
	callService, createServiceRecord, LocalFleet, waitUntil, type LocalEntryHost,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const timeoutMs = 20_000;
const hourMs = 3_600_000;

const records = [
	createServiceRecord('replans'),
];

/** Response as seen by a caller: the status and the type of the error; status 0 if the connection broke. */
type Answer = {readonly status: number; readonly kind: string};

async function send({address}: LocalEntryHost, requestId: string, runMs = 5): Promise<Answer> {
	const {status, detail} = await callService({
		address, service: 'replans', requestId, work: {runMs}, workClass: 'heavy',
	});
	if (status === 0) {
		return {status, kind: 'broken'};
	}

	return {status, kind: detail === '' ? '' : (JSON.parse(detail) as {type: string}).type};
}

async function fetchStatus(host: LocalEntryHost, requestId: string): Promise<number> {
	const answer = await send(host, requestId);
	return answer.status;
}

async function fetchFaultKind(host: LocalEntryHost, requestId: string): Promise<string> {
	const answer = await send(host, requestId);
	return answer.kind;
}

describe('at most once with real processes', () => {
	let fleet: LocalFleet;
	const sentIds: string[] = [];

	function createId(): string {
		const requestId = randomUUID();
		sentIds.push(requestId);
		return requestId;
	}

	async function countRuns(requestId: string): Promise<number> {
		const ledgers = await fleet.readLedgers();
		return ledgers.flatMap(({entries}) => entries).filter(entry => entry.requestId === requestId).length;
	}

	async function waitForAnswers(hosts: readonly LocalEntryHost[]): Promise<void> {
		await Promise.all(hosts.map(async host => waitUntil(`${host.hostId} answers`, async () => {
			const answer = await send(host, createId());
			return answer.status === 200;
		}, timeoutMs)));
	}

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: zones, entryHostsPerZone: 2, targetsPerZone: 1, services: ['replans'], isProxied: true,
		});
		await fleet.publish(records);
		await waitForAnswers(fleet.entryHosts);
	});

	after(async () => {
		await fleet.stop();
	});

	it('answers and runs exactly one of several repeats sent to all entry hosts at the same time', async () => {
		for (let round = 0; round < 10; round++) {
			const requestId = createId();
			// eslint-disable-next-line no-await-in-loop
			const answers = await Promise.all(fleet.entryHosts.map(async host => send(host, requestId)));
			expect(answers.filter(({status}) => status === 200).length).toEqual(1);
			expect(new Set(answers.map(({kind}) => kind))).toEqual(new Set(['', 'request-in-progress']));
			// eslint-disable-next-line no-await-in-loop
			expect(await countRuns(requestId)).toEqual(1);
		}
	});

	it('answers a later repeat at any entry host with request-in-progress, even after the first host was killed', async () => {
		const [first, ...others] = fleet.entryHosts;
		const requestId = createId();
		expect(await fetchStatus(first!, requestId)).toEqual(200);
		const early = await Promise.all(others.map(async host => send(host, requestId)));
		await fleet.killEntryHost(0);
		const late = await Promise.all(others.map(async host => send(host, requestId)));
		expect([...early, ...late].map(({kind}) => kind)).toEqual(Array.from({length: 10}, () => 'request-in-progress'));
		expect(await countRuns(requestId)).toEqual(1);
		await fleet.waitForReady(await fleet.restartEntryHost(0));
		await waitForAnswers(fleet.entryHosts);
	});

	it('runs no request twice while every entry host in turn is killed and replaced', async () => {
		const early = createId();
		expect(await fetchStatus(fleet.entryHosts[1]!, early)).toEqual(200);
		for (let index = 0; index < fleet.entryHosts.length; index++) {
			const running = createId();
			const calls = fleet.entryHosts.map(async host => send(host, running, 300));
			/* eslint-disable no-await-in-loop */
			await fleet.killEntryHost(index);
			await Promise.all(calls);
			await fleet.waitForReady(await fleet.restartEntryHost(index));
			await waitForAnswers(fleet.entryHosts);
			await Promise.all(fleet.entryHosts.map(async host => send(host, running)));
			expect(await countRuns(running) <= 1).toEqual(true);
			/* eslint-enable no-await-in-loop */
		}

		const repeats = await Promise.all(fleet.entryHosts.map(async host => send(host, early)));
		expect(repeats.map(({kind}) => kind)).toEqual(fleet.entryHosts.map(() => 'request-in-progress'));
		expect(await countRuns(early)).toEqual(1);
	});

	it('answers first attempts during an outage of the platform', async () => {
		await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: Date.now() + hourMs});
		for (let round = 0; round < 20; round++) {
			const requestId = createId();
			// eslint-disable-next-line no-await-in-loop
			expect(await fetchStatus(fleet.entryHosts[round % fleet.entryHosts.length]!, requestId)).toEqual(200);
		}

		await fleet.callPlatform('PUT', '/v1/control/faults', {outageUntil: null});
	});

	it('a partitioned zone refuses requests without running them, the other zones serve, and no repeat across the partition runs twice', async () => {
		const isolated = fleet.entryHosts.filter(host => host.availabilityZone === zones[0]);
		const rest = fleet.entryHosts.find(host => host.availabilityZone !== zones[0]);
		await Promise.all(zones.slice(1).map(async zone => fleet.cutZones(zones[0]!, zone)));
		await waitUntil('the partition is detected', async () => await fetchFaultKind(isolated[0]!, createId()) === 'quorum-unreachable', timeoutMs);
		const requestId = createId();
		expect(await fetchFaultKind(isolated[1]!, requestId)).toEqual('quorum-unreachable');
		expect(await countRuns(requestId)).toEqual(0);
		expect(await fetchStatus(rest!, requestId)).toEqual(200);
		await fleet.healAll();
		await waitForAnswers(fleet.entryHosts);
		expect(await fetchFaultKind(isolated[1]!, requestId)).toEqual('request-in-progress');
		expect(await countRuns(requestId)).toEqual(1);
	});

	it('no request that was sent ran twice', async () => {
		const ledgers = await fleet.readLedgers();
		const ran = ledgers.flatMap(({entries}) => entries.map(({requestId}) => requestId));
		expect(ran.length).toEqual(new Set(ran).size);
		expect(ran.every(requestId => sentIds.includes(requestId))).toEqual(true);
	});
});
