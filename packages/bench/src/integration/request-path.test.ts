/** The request path with real processes and network faults between them, checked by the answers that callers get and by the targets' ledgers. */
import {
	after, before, describe, it,
} from 'node:test';
import {
	Balancer, CallerThread, countStarts, createServiceRecord, listLoads, LocalFleet, sleep, waitUntil, type LocalEntryHost, type ObservedAnswer,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const slotsPerRunner = 8;
const settleMs = 20_000;
const leavingNoticeMs = 5000;

type CallOptions = {readonly runMs?: number; readonly isIdempotent?: boolean; readonly deadlineMs?: number; readonly workClass?: string};

/** Makes all calls: the links between the hosts run through proxies in this thread, which a burst would stall. */
let callerThread: CallerThread;
/** All answers that callers got, for the checks in the last test. */
const allSeen: ObservedAnswer[] = [];

async function callRoutes({address}: LocalEntryHost, {runMs = 5, isIdempotent = false, deadlineMs = 10_000, workClass = 'quick'}: CallOptions = {}): Promise<ObservedAnswer> {
	const seen = await callerThread.call({
		address, service: 'routes', work: {runMs}, isIdempotent, deadlineMs, workClass,
	});
	allSeen.push(seen);
	return seen;
}

/** Calls ready hosts in turn, as the balancer does, until stopped. */
class Callers {
	static create(fleet: LocalFleet, count: number, options: CallOptions): Callers {
		return new Callers(fleet, count, options);
	}

	readonly seen: ObservedAnswer[] = [];
	private readonly balancer: Balancer;
	private isStopping = false;
	private next = 0;
	private readonly running: Array<Promise<void>>;

	private constructor(fleet: LocalFleet, count: number, private readonly options: CallOptions) {
		this.balancer = Balancer.create(fleet);
		this.running = Array.from({length: count}, async () => this.callRepeatedly());
	}

	async stop(): Promise<void> {
		this.isStopping = true;
		await Promise.all(this.running);
		await this.balancer.stop();
	}

	private async callRepeatedly(): Promise<void> {
		while (!this.isStopping) {
			this.next += 1;
			const hosts = this.balancer.list();
			// eslint-disable-next-line no-await-in-loop
			this.seen.push(await callRoutes(hosts[this.next % hosts.length]!, this.options));
		}
	}
}

/** For each target, the most requests that it ran at once. */
async function measureOverlaps(fleet: LocalFleet): Promise<number[]> {
	const ledgers = await fleet.readLedgers();
	return ledgers.map(({entries}) => Math.max(0, ...listLoads(entries).map(({running}) => running)));
}

async function callInTurn(hosts: readonly LocalEntryHost[], count: number, options: CallOptions): Promise<ObservedAnswer[]> {
	return Promise.all(Array.from({length: count}, async (_, index) => callRoutes(hosts[index % hosts.length]!, options)));
}

async function isServing(host: LocalEntryHost, isIdempotent: boolean): Promise<boolean> {
	const seen = await callInTurn([host], 4, {runMs: 20, deadlineMs: 1000, isIdempotent});
	return seen.every(({isOwn}) => isOwn);
}

async function countStartsByZone(fleet: LocalFleet, from: number): Promise<number[]> {
	return Promise.all(zones.map(async zone =>
		countStartsOf(fleet, ({hostId, startedAt}) => hostId.includes(zone) && startedAt >= from)));
}

async function countStartsOf(fleet: LocalFleet, isCounted: (start: {hostId: string; startedAt: number}) => boolean): Promise<number> {
	const ledgers = await fleet.readLedgers();
	return ledgers.flatMap(({hostId, entries}) => entries.map(entry => ({hostId, startedAt: entry.startedAt}))).filter(start => isCounted(start)).length;
}

describe('the request path', () => {
	let fleet: LocalFleet;

	before(async () => {
		callerThread = CallerThread.create();
		fleet = await LocalFleet.create({
			availabilityZones: zones, entryHostsPerZone: 2, targetsPerZone: 1, services: ['routes'], isProxied: true, targetsPerProcess: 3,
		});
		await fleet.publish([createServiceRecord('routes', {slotsPerRunner})]);
		await Promise.all(fleet.entryHosts.map(async host => waitUntil('a request is answered', async () => {
			const seen = await callRoutes(host);
			return seen.isOwn;
		}, settleMs)));
	});

	after(async () => {
		await callerThread.stop();
		await fleet.stop();
	});

	it('all entry hosts together stay within the slots of the targets in a burst, and answer every request', async () => {
		const seen = await callInTurn(fleet.entryHosts, 300, {runMs: 200});
		expect(seen.filter(({isOwn}) => !isOwn)).toEqual([]);
		const overlaps = await measureOverlaps(fleet);
		expect(Math.max(...overlaps)).toBeLessThanOrEqual(slotsPerRunner);
		expect(Math.min(...overlaps)).toBeGreaterThanOrEqual(slotsPerRunner - 1);
	});

	it('a burst of long requests leaves slots for quick ones', async () => {
		const long = callInTurn(fleet.entryHosts, 40, {runMs: 400, workClass: 'long', deadlineMs: 20_000});
		await sleep(100);
		const startedAt = Date.now();
		const quick = await Promise.all(fleet.entryHosts.map(async host => callRoutes(host, {runMs: 5})));
		const quickMs = Date.now() - startedAt;
		const all = await long;
		expect([...quick, ...all].filter(({isOwn}) => !isOwn)).toEqual([]);
		expect(quickMs).toBeLessThan(400);
	});

	it('silent connections: idempotent requests are answered within the deadline', async () => {
		await Promise.all(fleet.entryHosts.flatMap(host => Array.from({length: 6}, async () => callRoutes(host, {runMs: 50}))));
		for (const link of fleet.links.list(({to}) => to.startsWith('runner-'))) {
			link.proxy.freeze({scope: 'open'});
		}

		const idempotent = await Promise.all(fleet.entryHosts.flatMap(host =>
			Array.from({length: 4}, async () => callRoutes(host, {isIdempotent: true, deadlineMs: 4000}))));
		expect(idempotent.filter(({isOwn}) => !isOwn)).toEqual([]);
		await fleet.healAll();
	});

	it('silent connections: non-idempotent requests fail at most once per connection, with an unknown outcome', async () => {
		const callAll = async () => Promise.all(fleet.entryHosts.flatMap(host =>
			Array.from({length: 3}, async () => callRoutes(host, {runMs: 50, deadlineMs: 1500}))));
		await callAll();
		const links = fleet.links.list(({to}) => to.startsWith('runner-'));
		let openConnections = 0;
		for (const {proxy} of links) {
			openConnections += proxy.openConnections;
			proxy.freeze({scope: 'open'});
		}

		const first = await callAll();
		const failed = first.filter(({isOwn}) => !isOwn);
		expect(failed.filter(({isNotRun, status}) => !isNotRun && status !== 504)).toEqual([]);
		expect(failed.length).toBeLessThanOrEqual(openConnections);
		await waitUntil('requests on new connections are answered', async () => {
			const later = await callAll();
			return later.every(({isOwn}) => isOwn);
		}, settleMs);
		await fleet.healAll();
	});

	it('a partitioned zone keeps serving with its own targets, and after healing all slots are shared again', async () => {
		await fleet.cutZones('ee-south-a', 'ee-south-b');
		await fleet.cutZones('ee-south-a', 'ee-south-c');
		const [minority, majority] = [true, false].map(isMinority => fleet.entryHosts.filter(host => (host.availabilityZone === 'ee-south-a') === isMinority));
		await Promise.all(fleet.entryHosts.map(async host => waitUntil('idempotent requests are answered on each side of the partition', async () => isServing(host, true), settleMs)));
		await Promise.all((majority ?? []).map(async host => waitUntil('the majority side answers all requests', async () => isServing(host, false), settleMs)));
		const refused = await Promise.all((minority ?? []).map(async host => callRoutes(host)));
		expect(refused.filter(({isNotRun}) => !isNotRun)).toEqual([]);
		await fleet.healAll();
		await waitUntil('the slots of all zones are used again', async () => {
			const from = Date.now();
			const seen = await callInTurn(fleet.entryHosts, 120, {runMs: 20});
			const zoneStarts = await countStartsByZone(fleet, from);
			return seen.every(({isOwn}) => isOwn) && Math.min(...zoneStarts) >= 20;
		}, settleMs);
	});

	it('a leaving target gets no new requests, not even from a host that is cut from the platform', async () => {
		const leaving = 'runner-routes-ee-south-c-1';
		const callers = Callers.create(fleet, 6, {runMs: 10});
		await fleet.cutZoneFromPlatform('ee-south-c');
		await fleet.updateListedHost(leaving, {state: 'leaving'});
		const markedAt = Date.now();
		await sleep(leavingNoticeMs + 2000);
		await callers.stop();
		expect(await countStartsOf(fleet, ({hostId, startedAt}) => hostId === leaving && startedAt > markedAt + leavingNoticeMs)).toEqual(0);
		expect(callers.seen.filter(({isOwn, isNotRun}) => !isOwn && !isNotRun)).toEqual([]);
		await fleet.healAll();
		await fleet.updateListedHost(leaving, {state: 'live'});
	});

	it('a rolling restart of every entry host under load interrupts no request', async () => {
		const callers = Callers.create(fleet, 12, {runMs: 30});
		await sleep(500);
		for (let index = 0; index < fleet.entryHosts.length; index++) {
			// eslint-disable-next-line no-await-in-loop
			expect(await fleet.stopEntryHost(index)).toEqual(0);
			// eslint-disable-next-line no-await-in-loop
			await fleet.waitForReady(await fleet.restartEntryHost(index));
		}

		await callers.stop();
		expect(callers.seen.length).toBeGreaterThan(500);
		expect(callers.seen.filter(({isOwn, isNotRun}) => !isOwn && !isNotRun)).toEqual([]);
	});

	it('after an entry host is killed the others still serve a burst', async () => {
		await fleet.killEntryHost(0);
		const others = fleet.entryHosts.slice(1);
		await waitUntil('the others serve a burst', async () => {
			const seen = await callInTurn(others, 100, {runMs: 20});
			return seen.every(({isOwn}) => isOwn);
		}, settleMs);
	});

	it('no refused request ran, and no non-idempotent one ran twice', async () => {
		const starts = countStarts(await fleet.readLedgers());
		const countRuns = ({requestId}: ObservedAnswer) => starts.get(requestId) ?? 0;
		expect(allSeen.length).toBeGreaterThan(1000);
		expect(allSeen.filter(seen => seen.isNotRun && countRuns(seen) > 0)).toEqual([]);
		expect(allSeen.filter(seen => !seen.isIdempotent && countRuns(seen) > 1)).toEqual([]);
		expect(allSeen.filter(seen => seen.isOwn && countRuns(seen) === 0)).toEqual([]);
	});
});
