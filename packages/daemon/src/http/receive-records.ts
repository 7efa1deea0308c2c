/** Receives records that an operator publishes; all are validated against their schemas before any is appended. */
import {Buffer} from 'node:buffer';
import {
	createFault, decodeBody, describeIssues, logRecordSchema, type Instant,
} from '@rhubarblever/core';
import {z} from 'zod';
import {readClock} from '../clock.js';
import {refuseCall, type Call} from './call.js';

const publishTimeoutMs = 5000;
const maximumRecords = 100;

const publishBodySchema = z.object({records: z.array(logRecordSchema).min(1).max(maximumRecords)});

/** POST /v1/records */
export function receiveRecords({context, body, response}: Call): void {
	const parsed = publishBodySchema.safeParse(parseJson(body));
	if (!parsed.success) {
		refuseCall(context, response, createFault('bad-request', describeIssues(parsed.error)));
		return;
	}

	for (const record of parsed.data.records) {
		const decoded = decodeBody(record.schema, record.version, record.body);
		if (decoded.isErr()) {
			refuseCall(context, response, createFault('record-invalid', `${record.recordId}: ${decoded.error.detail}`));
			return;
		}
	}

	const at = readClock();
	context.push({
		type: 'publish/requested',
		at,
		callerKey: context.calls.register(body, response),
		records: parsed.data.records,
		deadline: (at + publishTimeoutMs) as Instant,
	});
}

function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(bytes).toString('utf8'));
	} catch {
		return undefined;
	}
}

