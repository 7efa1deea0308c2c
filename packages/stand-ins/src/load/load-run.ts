/** Sends a planned load to entry hosts, open loop: each request is sent at its planned instant, regardless of the outcome of earlier ones. */
import {Buffer} from 'node:buffer';
import {Agent, type Dispatcher} from 'undici';
import {sleep} from '../harness/process-group.js';
import {isOwnAnswer} from '../target/answer.js';
import type {PlannedRequest} from './arrivals.js';

/**
 * Result of a request. `good`: the complete and correct answer before the deadline. `late`: the same, but after the deadline.
 * `wrong`: another answer. `refused`: not run. `unknown`: may have run. `failed`: ran and failed. `broken`: no complete HTTP
 * answer, or one with an unknown kind of problem.
 */
export type LoadResult = 'good' | 'late' | 'wrong' | 'refused' | 'unknown' | 'failed' | 'broken';

export type LoadOutcome = {
	readonly planned: PlannedRequest;
	readonly result: LoadResult;
	/** From the planned arrival to the end of the answer. */
	readonly latencyMs: number;
	/** Address (`ip:port`) of the entry host that the request was sent to. */
	readonly entryHost: string;
	/** Instants in milliseconds since the epoch. */
	readonly deadline: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Problem type of the answer, its unexpected status, or the error message of a broken call; empty if there is none. */
	readonly reason: string;
};

export type LoadRunOptions = {
	/** Returns the addresses (`ip:port`) of the entry hosts; called for each request, so that the list may change during the run. */
	readonly listEntryHosts: () => readonly string[];
	readonly planned: readonly PlannedRequest[];
	readonly onOutcome?: (outcome: LoadOutcome) => void;
	/** Ends the load early; requests in flight are still awaited. */
	readonly signal?: AbortSignal;
};

type Answer = {readonly result: LoadResult; readonly reason: string};
type Problem = {readonly type?: string; readonly family?: string};

const familyResults: Readonly<Record<string, LoadResult>> = {refused: 'refused', unknown: 'unknown', failed: 'failed'};
const problemType = 'application/problem+json';
/** A call is aborted this long after its deadline. */
const graceMs = 5000;

/** Runs a load to its end; resolves to the outcomes in the order of the plan. */
export async function runLoad(options: LoadRunOptions): Promise<LoadOutcome[]> {
	const agent = new Agent({connections: 256, pipelining: 1});
	const startedAt = Date.now();
	const calls: Array<Promise<LoadOutcome>> = [];
	for (const planned of options.planned) {
		const waitMs = startedAt + planned.arrivalAt - Date.now();
		if (waitMs > 0) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(waitMs);
		}

		if (options.signal?.aborted) {
			break;
		}

		calls.push(callOnce(agent, planned, startedAt, options));
	}

	const outcomes = await Promise.all(calls);
	await agent.destroy();
	return outcomes;
}

async function callOnce(agent: Agent, planned: PlannedRequest, startedAt: number, options: LoadRunOptions): Promise<LoadOutcome> {
	const entryHosts = options.listEntryHosts();
	const entryHost = entryHosts[planned.draw % entryHosts.length] ?? '';
	const deadline = Math.round(startedAt + planned.deadlineAt);
	const sentAt = Date.now();
	const answer = await sendRequest(agent, planned, deadline, entryHost);
	const endedAt = Date.now();
	const isLate = answer.result === 'good' && startedAt + planned.deadlineAt < endedAt;
	const outcome: LoadOutcome = {
		planned,
		entryHost,
		deadline,
		sentAt,
		endedAt,
		latencyMs: endedAt - startedAt - planned.arrivalAt,
		result: isLate ? 'late' : answer.result,
		reason: answer.reason,
	};
	options.onOutcome?.(outcome);
	return outcome;
}

async function sendRequest(agent: Agent, planned: PlannedRequest, deadline: number, entryHost: string): Promise<Answer> {
	const body = Buffer.from(JSON.stringify({runMs: planned.runMs}));
	try {
		const response = await agent.request({
			origin: `http://${entryHost}`,
			path: `/v1/services/${planned.service}`,
			method: 'POST',
			body,
			headers: {
				'idempotency-key': planned.requestId,
				'rhubarblever-team': planned.team,
				'rhubarblever-class': planned.workClass,
				'rhubarblever-idempotent': String(planned.isIdempotent),
				'rhubarblever-deadline': new Date(deadline).toISOString(),
			},
			signal: AbortSignal.timeout(Math.max(1, deadline + graceMs - Date.now())),
		});
		return await readAnswer(response, planned, body);
	} catch (error) {
		return {result: 'broken', reason: (error as Error).message};
	}
}

async function readAnswer(response: Dispatcher.ResponseData, planned: PlannedRequest, body: Uint8Array): Promise<Answer> {
	const bytes = new Uint8Array(await response.body.arrayBuffer());
	if (response.headers['content-type'] === problemType) {
		const problem = JSON.parse(Buffer.from(bytes).toString('utf8')) as Problem;
		return {result: familyResults[problem.family ?? ''] ?? 'broken', reason: problem.type ?? ''};
	}

	const isOwn = response.statusCode === 200 && isOwnAnswer(bytes, planned.requestId, body);
	return {result: isOwn ? 'good' : 'wrong', reason: isOwn ? '' : `status ${response.statusCode}`};
}
