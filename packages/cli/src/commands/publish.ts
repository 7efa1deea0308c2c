/** `publish`: validates a file, appends its records, and can wait until they are in force on every entry host. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	hostIdSchema, offsetSchema, recordIdSchema, type LogRecord, type Offset,
} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createFailure, type Failure} from '../failure.js';
import {readRecordsFile} from '../files/records-file.js';
import {fetchAnswer} from '../hosts/entry-host-client.js';
import {formatTable} from '../output/table.js';
import type {Settings} from '../settings.js';

const pollIntervalMs = 200;

const outcomeSchema = z.object({
	verdict: z.enum(['accepted', 'repeated', 'set-aside', 'void']),
	reason: z.string().optional(),
});
const publishAnswerSchema = z.object({
	published: z.array(z.object({recordId: recordIdSchema, offset: offsetSchema, outcome: outcomeSchema})),
});
type Published = z.infer<typeof publishAnswerSchema>['published'];

const inForceAnswerSchema = z.object({
	hosts: z.array(z.object({hostId: hostIdSchema, state: z.enum(['in-force', 'behind', 'unreachable'])})),
});
type InForceHosts = z.infer<typeof inForceAnswerSchema>['hosts'];

export type PublishOptions = {
	readonly file: string;
	/** When to stop waiting (milliseconds since the epoch); undefined if the command does not wait. */
	readonly waitUntil: number | undefined;
};

/** Publishes the records of a file and reports the offset and verdict of each. */
export async function publishFile(settings: Settings, options: PublishOptions): Promise<Result<string, Failure>> {
	const records = await readRecordsFile(options.file);
	if (records.isErr()) {
		return err(records.error);
	}

	const published = await publishRecords(settings, records.value);
	if (published.isErr()) {
		return err(published.error);
	}

	const text = formatPublished(settings, published.value);
	if (published.value.some(record => record.outcome.verdict === 'void')) {
		return err(createFailure('refused', text));
	}

	return options.waitUntil === undefined ? ok(text) : waitUntilInForce(settings, published.value, options.waitUntil, text);
}

async function publishRecords(settings: Settings, records: readonly LogRecord[]): Promise<Result<Published, Failure>> {
	const answer = await fetchAnswer({
		host: settings.host, token: settings.token, path: '/v1/records', body: {records},
	}, publishAnswerSchema);
	return answer.map(({published}) => published);
}

function formatPublished(settings: Settings, published: Published): string {
	return settings.isJson
		? JSON.stringify({published}, undefined, '\t')
		: formatTable(
			['record', 'offset', 'verdict', 'reason'],
			published.map(record => [record.recordId, String(record.offset), record.outcome.verdict, record.outcome.reason ?? '']),
		);
}

async function waitUntilInForce(settings: Settings, published: Published, waitUntil: number, text: string): Promise<Result<string, Failure>> {
	const last = Math.max(...published.map(record => record.offset)) as Offset;
	let missing: InForceHosts = [];
	do {
		// eslint-disable-next-line no-await-in-loop
		const answer = await fetchAnswer({host: settings.host, token: settings.token, path: `/v1/in-force?offset=${last}`}, inForceAnswerSchema);
		if (answer.isErr()) {
			return err(answer.error);
		}

		missing = answer.value.hosts.filter(host => host.state !== 'in-force');
		if (missing.length === 0) {
			return ok(settings.isJson ? text : `${text}\nin force on all ${answer.value.hosts.length} entry hosts`);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollIntervalMs);
	} while (Date.now() < waitUntil);

	return err(createFailure('notInForce', text, ...missing.map(host => `not in force on ${host.hostId}: ${host.state}`)));
}
