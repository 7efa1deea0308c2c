/** The target test double over HTTP. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {Agent, type Dispatcher} from 'undici';
import {takeAddress} from '../harness/addresses.js';
import {sleep, waitUntil} from '../harness/process-group.js';
import {isOwnAnswer} from './answer.js';
import type {WhenFull} from './slots.js';
import {TargetServer} from './target-server.js';
import {targetSettingsSchema} from './work.js';

const timeoutMs = 10_000;
const quietMs = 200;

type Answer = {
	readonly status: number; readonly attemptId: unknown; readonly isLeaving: boolean; readonly isNotRun: boolean; readonly isOwn: boolean;
};

describe('the target test double', () => {
	let agent: Agent;
	let target: TargetServer;

	const startTarget = async (whenFull: WhenFull, slots = 2) => {
		target = await TargetServer.create({
			address: takeAddress(), slots, connections: 4, whenFull,
		});
	};

	const send = async (work: Record<string, unknown>, attemptId: string = randomUUID()): Promise<Answer> => {
		const requestId = randomUUID();
		const body = Buffer.from(JSON.stringify(work));
		const response: Dispatcher.ResponseData = await agent.request({
			origin: `http://${target.options.address}`,
			path: '/run',
			method: 'POST',
			body,
			headers: {'idempotency-key': requestId, 'rhubarblever-attempt-id': attemptId},
		});
		const bytes = new Uint8Array(await response.body.arrayBuffer());
		return {
			status: response.statusCode,
			attemptId: response.headers['rhubarblever-attempt-id'],
			isLeaving: response.headers['rhubarblever-leaving'] === 'true',
			isNotRun: response.headers['rhubarblever-not-run'] === 'true',
			isOwn: isOwnAnswer(bytes, requestId, body, Number(work.answerBytes ?? 0)),
		};
	};

	beforeEach(async () => {
		agent = new Agent({connections: 8});
		await startTarget('refuse');
	});

	afterEach(async () => {
		target.close();
		await agent.destroy();
	});

	it('answers each request with its own digest, also in long answers, and repeats the attempt id', async () => {
		const small = await send({runMs: 1}, 'attempt-1');
		const large = await send({runMs: 1, answerBytes: 200_000});
		expect([small.status, small.attemptId, small.isOwn]).toEqual([200, 'attempt-1', true]);
		expect(large.isOwn).toEqual(true);
	});

	it('refuses requests beyond its slots and marks them as not run', async () => {
		const answers = await Promise.all([1, 2, 3].map(async () => send({runMs: 300})));
		expect(answers.filter(answer => answer.isNotRun)).toHaveLength(1);
		const {overfilledSlots, refusals, entries} = target.ledger.report();
		expect([overfilledSlots, refusals, entries.length]).toEqual([1, 1, 2]);
	});

	it('queues requests beyond its slots if configured to, and counts them', async () => {
		target.close();
		await startTarget('queue');
		const answers = await Promise.all([1, 2, 3].map(async () => send({runMs: 50})));
		expect(answers.every(answer => answer.isOwn)).toEqual(true);
		const {overfilledSlots, peakRequests} = target.ledger.report();
		expect([overfilledSlots, peakRequests]).toEqual([1, 3]);
	});

	it('counts connections beyond its limit', async () => {
		await Promise.all(Array.from({length: 6}, async () => send({runMs: 50})));
		const {overfilledConnections, peakConnections} = target.ledger.report();
		expect([overfilledConnections, peakConnections]).toEqual([2, 6]);
	});

	it('refuses malformed work with status 400', async () => {
		const answer = await send({runMs: 'long'});
		expect([answer.status, answer.isNotRun]).toEqual([400, true]);
	});

	it('delays an answer, and answers with that of another attempt', async () => {
		const startedAt = Date.now();
		const late = await send({runMs: 1, fault: {kind: 'late', lateMs: 100}});
		expect(late.isOwn).toEqual(true);
		expect(Date.now() - startedAt).toBeGreaterThanOrEqual(99);
		const crossed = await send({runMs: 1, fault: {kind: 'crossed'}}, 'attempt-2');
		expect(crossed.attemptId).not.toEqual('attempt-2');
		expect(crossed.isOwn).toEqual(false);
	});

	const expectFailedCall = async (kind: string, endedRuns: boolean[]) => {
		await expect(send({runMs: 20, fault: {kind}})).toBeRejected();
		const {entries} = target.ledger.report();
		expect(entries.map(entry => entry.endedAt !== undefined)).toEqual(endedRuns);
	};

	it('cuts an answer short', async () => expectFailedCall('cut', [true]));
	it('ends an answer before its content-length', async () => expectFailedCall('wrong-length', [true]));
	it('crashes before the run', async () => expectFailedCall('crash-before', []));
	it('crashes during the run', async () => expectFailedCall('crash-during', [false]));
	it('crashes after the run', async () => expectFailedCall('crash-after', [true]));

	it('starts again after a crash', async () => {
		await expect(send({runMs: 1, fault: {kind: 'crash-after', downMs: 50}})).toBeRejected();
		await waitUntil('it answers', async () => {
			const answer = await send({runMs: 1});
			return answer.isOwn;
		}, timeoutMs);
	});

	it('answers twice on one connection, with the first answer complete', async () => {
		const answer = await send({runMs: 1, fault: {kind: 'twice'}});
		expect(answer.isOwn).toEqual(true);
	});

	it('stops answering on one connection and runs nothing more there, while new ones work', async () => {
		const oneConnection = new Agent({connections: 1, pipelining: 1});
		const shared = agent;
		agent = oneConnection;
		const onSilent = [send({runMs: 1, fault: {kind: 'silent'}}), send({runMs: 1})];
		const firstEnd = Promise.race(onSilent.map(async call => call.then(() => 'answered', () => 'failed')));
		expect(await Promise.race([firstEnd, sleep(quietMs)])).toEqual(undefined);
		agent = shared;
		const fresh = await send({runMs: 1});
		expect(fresh.isOwn).toEqual(true);
		expect(target.ledger.report().entries).toHaveLength(2);
		await oneConnection.destroy();
		expect(await firstEnd).toEqual('failed');
	});

	it('reports in its answers that it is leaving, and counts later starts in its ledger', async () => {
		target.setSettings(targetSettingsSchema.parse({isLeaving: true}));
		await sleep(5);
		const answer = await send({runMs: 1});
		expect(answer.isLeaving).toEqual(true);
		expect(target.ledger.report().startsAfterLeaving).toEqual(1);
	});

	it('refuses all requests, and injects a fault into a limited number of requests', async () => {
		target.setSettings(targetSettingsSchema.parse({refusesAll: true}));
		const refused = await send({runMs: 1});
		expect(refused.isNotRun).toEqual(true);
		target.setSettings(targetSettingsSchema.parse({fault: {fault: {kind: 'crossed'}, maxCount: 1}}));
		const faulty = await send({runMs: 1});
		const unaffected = await send({runMs: 1});
		expect([faulty.isOwn, unaffected.isOwn]).toEqual([false, true]);
	});

	it('lists request ids that were started twice', () => {
		target.ledger.noteStart('request-1', 'attempt-1');
		target.ledger.noteStart('request-1', 'attempt-2');
		expect(target.ledger.report().idsRunTwice).toEqual(['request-1']);
	});
});
