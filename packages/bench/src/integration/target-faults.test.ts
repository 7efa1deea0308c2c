/** Targets that crash, or that swap, truncate, repeat or never send their answers, behind real entry hosts; checked by the callers' answers and the targets' ledgers. */
import {
	after, before, describe, it,
} from 'node:test';
import {
	callService, countStarts, createServiceRecord, LocalFleet, waitUntil, type AnswerFault, type ObservedAnswer,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const timeoutMs = 20_000;
const deadlineMs = 3000;
const requestsOfEach = 8;

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

describe('faults of targets', () => {
	let fleet: LocalFleet;
	const allSeen: ObservedAnswer[] = [];

	async function callAll(isIdempotent: boolean, fault?: AnswerFault): Promise<ObservedAnswer[]> {
		const seen = await Promise.all(Array.from({length: requestsOfEach}, async (_, index) =>
			callService({
				address: fleet.entryHosts[index % fleet.entryHosts.length]!.address, service: 'routes', work: {runMs: 20, fault}, isIdempotent, deadlineMs,
			})));
		allSeen.push(...seen);
		return seen;
	}

	/** Refills the retry budget that earlier faults have spent: each ordinary request adds a tenth of a retry. */
	async function refillRetryBudget(): Promise<void> {
		for (let round = 0; round < 12; round++) {
			// eslint-disable-next-line no-await-in-loop
			await callAll(false);
		}
	}

	async function waitUntilHealthy(): Promise<void> {
		await waitUntil('requests without faults are answered', async () => {
			const seen = await callAll(false);
			return seen.every(({isOwn}) => isOwn);
		}, timeoutMs);
	}

	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: ['a', 'b'], entryHostsPerZone: 1, targetsPerZone: 2, services: ['routes'], targetsPerProcess: 4,
		});
		await fleet.publish([createServiceRecord('routes')]);
		await waitUntilHealthy();
	});

	after(async () => {
		await fleet.stop();
	});

	async function checkNonIdempotent(fault: AnswerFault): Promise<void> {
		const seen = await callAll(false, fault);
		expect(seen.filter(one => one.status === 200 && !one.isOwn)).toEqual([]);
		expect(seen.filter(one => one.status === 0)).toEqual([]);
		expect(Math.max(...seen.map(one => one.tookMs))).toBeLessThan(deadlineMs + 1000);
		await waitUntilHealthy();
	}

	async function checkIdempotent(fault: AnswerFault): Promise<void> {
		await refillRetryBudget();
		const [faultyTarget] = fleet.targets;
		await fleet.setTarget(faultyTarget!.host.hostId, {
			fault: {
				fault, probability: 1, seed: 4, maxCount: 2,
			},
		});
		const seen = await callAll(true);
		expect(seen.filter(one => !one.isOwn)).toEqual([]);
		await fleet.setTarget(faultyTarget!.host.hostId, {});
		await waitUntilHealthy();
	}

	for (const fault of faults) {
		it(`${fault.kind}: a non-idempotent request gets its own answer, a refusal without a run or an unknown outcome, by its deadline`, async () => checkNonIdempotent(fault));
		it(`${fault.kind} on one of the targets: idempotent requests are all answered by a retry`, async () => checkIdempotent(fault));
	}

	it('no refused request ran, and no non-idempotent one was started twice', async () => {
		const starts = countStarts(await fleet.readLedgers());
		const countRuns = ({requestId}: ObservedAnswer) => starts.get(requestId) ?? 0;
		expect(allSeen.filter(seen => seen.isNotRun && countRuns(seen) > 0)).toEqual([]);
		expect(allSeen.filter(seen => !seen.isIdempotent && countRuns(seen) > 1)).toEqual([]);
	});
});
