/** A call is served only with a key of the configuration in force, and only while the host can know that the key was not removed. */
import {describe, it} from 'node:test';
import {Buffer} from 'node:buffer';
import type {FleetConfig, Queue} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import type {DecisionLog} from './decision-log.js';
import {computeKeyDigest, KeyCheck} from './key-check.js';
import {createMetrics} from './metrics.js';

const revokeMs = 5000;
const maxDenialAgeMs = 2500;
const queue: Queue = {
	name: 'q', host: 'h', pathPrefix: '/q/', pool: 'p', priority: 0, maxAttempts: 3, stretch: 1, latencyTargetMs: 0, timeoutMs: 0, advice: undefined,
};

function createConfig(version: number, keys: readonly string[], changes: Partial<FleetConfig> = {}): FleetConfig {
	const account = {
		name: 'lab', weight: 1, quota: {cpu: 0, memoryMb: 0, gpu: 0}, keyDigests: keys.map(key => computeKeyDigest(Buffer.from(key))),
	};
	return {
		version, queues: [queue], pools: [], accounts: [account], ...changes,
	};
}

/** A check whose view has age `ageMs`; `refresh` plays the store's answer to a refresh. */
function createCheck(changes: {readonly isRequired?: boolean; readonly revokeMs?: number | undefined} = {}) {
	const world = {
		config: createConfig(1, ['secret-1']), ageMs: 0 as number | undefined, hasStoredConfig: true, refreshes: 0, lines: [] as string[],
		async refresh() {
			// The store does not answer.
		},
	};
	const metrics = createMetrics();
	const check = KeyCheck.create({
		settings: {isRequired: false, revokeMs, ...changes},
		getConfig: () => world.config,
		describeConfig: () => ({
			nextOffset: 1, end: 1, answerAgeMs: 0, completeAgeMs: world.ageMs,
		}),
		hasStoredConfig: () => world.hasStoredConfig,
		maxDenialAgeMs,
		async refreshConfig() {
			world.refreshes++;
			await world.refresh();
		},
		log: {
			note(event: string, fields: unknown) {
				world.lines.push(JSON.stringify({event, fields}));
			},
		} as unknown as DecisionLog,
		metrics,
	});
	return {check, world, metrics};
}

const granted = {type: 'granted', account: 'lab'} as const;
const withoutAccount = {type: 'granted', account: undefined} as const;

describe('the check of API keys', () => {
	/** Guards against a key that no configuration held and that runs jobs. */
	it('grants known keys, denies unknown and missing ones', async () => {
		const {check, world, metrics} = createCheck();
		expect(await check.check(queue, 'secret-1')).toEqual(granted);
		for (const key of ['secret-2', 'secret-', 'secret-11', computeKeyDigest(Buffer.from('secret-1')), '', undefined]) {
			// eslint-disable-next-line no-await-in-loop
			expect(await check.check(queue, key)).toEqual({type: 'denied'});
		}

		expect(await check.check({...queue, isPublic: true}, undefined)).toEqual(withoutAccount);
		const {values} = await metrics.keys.get();
		expect([world.refreshes, values.map(({value}) => value)]).toEqual([0, [1, 6]]);
	});

	/** Guards against fleets without accounts whose callers are refused, and against a contract without accounts that lets everyone in. */
	it('requires keys where the configuration or the settings enable them', async () => {
		const {accounts: _, ...withoutAccounts} = createConfig(1, []);
		const open = createCheck();
		open.world.config = withoutAccounts;
		open.world.ageMs = 60_000;
		expect([await open.check.check(queue, undefined), open.check.canGrant()]).toEqual([withoutAccount, true]);
		const closed = createCheck({isRequired: true});
		closed.world.config = withoutAccounts;
		expect(await closed.check.check(queue, 'secret-1')).toEqual({type: 'denied'});
	});

	/** Guards against a removed key that is accepted later than `revoke-ms` because the view is too old, and against refusals before that. */
	it('accepts keys up to five sixths of the revocation bound, then refreshes once', async () => {
		const {check, world} = createCheck();
		world.ageMs = 4166;
		expect([await check.check(queue, 'secret-1'), check.canGrant(), world.refreshes]).toEqual([granted, true, 0]);
		world.ageMs = 4167;
		expect([await check.check(queue, 'secret-1'), check.canGrant(), world.refreshes]).toEqual([{type: 'unsure'}, false, 1]);
		world.refresh = async () => {
			world.ageMs = 10;
		};

		expect(await check.check(queue, 'secret-1')).toEqual(granted);
		world.ageMs = 4167;
		world.refresh = async () => {
			world.ageMs = 10;
			world.config = createConfig(2, ['secret-2']);
		};

		expect(await check.check(queue, 'secret-1')).toEqual({type: 'denied'});
	});

	/** Guards against a host that has never read the operators' stream to its end and answers from a configuration restored from the ledger. */
	it('is unsure about every key before the first complete read', async () => {
		const {check, world} = createCheck();
		world.ageMs = undefined;
		expect([await check.check(queue, 'secret-1'), await check.check(queue, 'secret-2')]).toEqual([{type: 'unsure'}, {type: 'unsure'}]);
	});

	/** Guards against a false 401 for a key, or on a queue, that a version has just added or made public. */
	it('asks the store before it denies a key on a stale view', async () => {
		const {check, world} = createCheck();
		world.ageMs = maxDenialAgeMs;
		expect(await check.check(queue, 'secret-2')).toEqual({type: 'unsure'});
		world.refresh = async () => {
			world.config = createConfig(2, ['secret-2']);
			world.ageMs = 10;
		};

		expect(await check.check(queue, 'secret-2')).toEqual(granted);
		world.ageMs = maxDenialAgeMs;
		world.refresh = async () => {
			world.config = createConfig(3, [], {queues: [{...queue, isPublic: true}]});
		};

		expect(await check.check(queue, undefined)).toEqual(withoutAccount);
	});

	/** Guards against removed keys that are accepted because the store has lost the version that removed them. */
	it('accepts no key after the store has lost its history, unless revocations have no bound', async () => {
		const strict = createCheck();
		strict.world.hasStoredConfig = false;
		expect([await strict.check.check(queue, 'secret-1'), strict.check.canGrant()]).toEqual([{type: 'unsure'}, false]);
		const loose = createCheck({revokeMs: undefined});
		loose.world.hasStoredConfig = false;
		loose.world.ageMs = 60_000;
		expect([await loose.check.check(queue, 'secret-1'), loose.check.canGrant()]).toEqual([granted, true]);
	});

	/** Guards against keys in the log. */
	it('logs refusals without the key', async () => {
		const {check, world} = createCheck();
		await check.check(queue, 'secret-2');
		world.ageMs = 5000;
		await check.check(queue, 'secret-1');
		const text = world.lines.join('');
		expect(['"event":"key-refused"', '"account":"unknown"', '"account":"lab"', 'secret'].map(part => text.includes(part))).toEqual([true, true, true, false]);
	});
});
