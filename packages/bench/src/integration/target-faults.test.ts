/** Targets that crash, cross, cut, repeat or never give their answers, under real entry hosts; judged by callers and ledgers. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	after, before, describe, it,
} from 'node:test';
import {
	isOwnAnswer, LocalFleet, waitUntil, type AnswerFault,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const timeoutMs = 20_000;
const deadlineMs = 3000;
const requestsOfEach = 8;

type Seen = {
	readonly requestId: string;
	readonly isIdempotent: boolean;
	readonly status: number;
	readonly isOwn: boolean;
	readonly isRefusedTruly: boolean;
	readonly kind: string;
	readonly elapsedMs: number;
};

const faults: readonly AnswerFault[] = [
	{kind: 'late', lateMs: 500},
	{kind: 'crossed'},
	{kind: 'twice'},
	{kind: 'cut'},
	{kind: 'wrong-length'},
	{kind: 'silent'},
	{kind: 'crash-before', downMs: 200},
	{kind: 'crash-during', downMs: 200},
	{kind: 'crash-after', downMs: 200},
];

async function callService(address: string, isIdempotent: boolean, work: {readonly runMs: number; readonly fault?: AnswerFault}): Promise<Seen> {
	const requestId = randomUUID();
	const body = Buffer.from(JSON.stringify(work));
	const startedAt = Date.now();
	const describeEnd = (end: Pick<Seen, 'status' | 'isOwn' | 'isRefusedTruly' | 'kind'>): Seen => ({
		requestId, isIdempotent, elapsedMs: Date.now() - startedAt, ...end,
	});
	try {
		const response = await fetch(`http://${address}/v1/services/routes`, {
			method: 'POST',
			body,
			headers: {
				'idempotency-key': requestId,
				'rhubarblever-idempotent': String(isIdempotent),
				'rhubarblever-deadline': new Date(startedAt + deadlineMs).toISOString(),
			},
		});
		const bytes = new Uint8Array(await response.arrayBuffer());
		return describeEnd({
			status: response.status,
			isOwn: response.ok && isOwnAnswer(bytes, requestId, body),
			isRefusedTruly: response.headers.get('rhubarblever-not-run') === 'true',
			kind: response.ok ? 'ok' : Buffer.from(bytes).toString('utf8'),
		});
	} catch (error) {
		return describeEnd({
			status: 0, isOwn: false, isRefusedTruly: false, kind: String(error),
		});
	}
}

describe('faults of targets', () => {
	let fleet: LocalFleet;
	const allSeen: Seen[] = [];

	async function callAll(isIdempotent: boolean, fault?: AnswerFault): Promise<Seen[]> {
		const seen = await Promise.all(Array.from({length: requestsOfEach}, async (_, index) =>
			callService(fleet.entryHosts[index % fleet.entryHosts.length]!.address, isIdempotent, {runMs: 20, ...(fault ? {fault} : {})})));
		allSeen.push(...seen);
		return seen;
	}

	/** Earlier faults spend the retry budget, which ordinary requests earn back at a tenth of a retry each. */
	async function earnRetries(): Promise<void> {
		for (let round = 0; round < 12; round++) {
			// eslint-disable-next-line no-await-in-loop
			await callAll(false);
		}
	}

	async function waitUntilWhole(): Promise<void> {
		await waitUntil('requests without faults are answered', async () => {
			const seen = await callAll(false);
			return seen.every(({isOwn}) => isOwn);
		}, timeoutMs);
	}

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: ['a', 'b'], entryHostsPerZone: 1, targetsPerZone: 2, services: ['routes'], targetsPerProcess: 4,
		});
		await fleet.publish([{
			recordId: 'service-1',
			schema: 'service',
			version: 1,
			body: {
				service: 'routes', pool: 'trucks', slotsPerRunner: 8, connectionsPerRunner: 64,
			},
		}]);
		await waitUntilWhole();
	});

	after(async () => {
		await fleet.stop();
	});

	async function checkNonIdempotent(fault: AnswerFault): Promise<void> {
		const seen = await callAll(false, fault);
		expect(seen.filter(one => one.status === 200 && !one.isOwn)).toEqual([]);
		expect(seen.filter(one => one.status === 0)).toEqual([]);
		expect(Math.max(...seen.map(one => one.elapsedMs))).toBeLessThan(deadlineMs + 1000);
		await waitUntilWhole();
	}

	async function checkIdempotent(fault: AnswerFault): Promise<void> {
		await earnRetries();
		const [struck] = fleet.targets;
		await fleet.setTarget(struck!.host.hostId, {
			fault: {
				fault, probability: 1, seed: 4, maxCount: 2,
			},
		});
		const seen = await callAll(true);
		expect(seen.filter(one => !one.isOwn)).toEqual([]);
		await fleet.setTarget(struck!.host.hostId, {});
		await waitUntilWhole();
	}

	for (const fault of faults) {
		it(`${fault.kind}: a non-idempotent request gets its own answer, a true refusal or an unknown outcome, by its deadline`, async () => checkNonIdempotent(fault));
		it(`${fault.kind} on one of the targets: idempotent requests are all answered by a retry`, async () => checkIdempotent(fault));
	}

	it('no refused request ran, and no non-idempotent one was started twice', async () => {
		const starts = new Map<string, number>();
		for (const {entries} of await fleet.readLedgers()) {
			for (const {requestId} of entries) {
				starts.set(requestId, (starts.get(requestId) ?? 0) + 1);
			}
		}

		const countRuns = ({requestId}: Seen) => starts.get(requestId) ?? 0;
		expect(allSeen.filter(seen => seen.isRefusedTruly && countRuns(seen) > 0)).toEqual([]);
		expect(allSeen.filter(seen => !seen.isIdempotent && countRuns(seen) > 1)).toEqual([]);
	});
});
