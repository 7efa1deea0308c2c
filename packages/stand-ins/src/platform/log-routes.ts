/** Routes of the log streams and of the host list. */
import {describeIssues, type Instant} from '@rhubarblever/core';
import {z} from 'zod';
import {
	acceptBody, answerError, answerOk, type Route, type RouteAnswer, type RouteCall,
} from './route.js';

const recordsPattern = /^\/v1\/streams\/([\w-]+)\/records$/;

const appendSchema = z.strictObject({records: z.array(z.unknown()).min(1).max(1000)});

const pageSchema = z.object({
	from: z.coerce.number().int().nonnegative().default(0),
	limit: z.coerce.number().int().positive().max(1000).default(100),
	waitMs: z.coerce.number().int().nonnegative().max(60_000).default(0),
});

async function answerPage({platform, parameters, query}: RouteCall): Promise<RouteAnswer> {
	const parsed = pageSchema.safeParse(Object.fromEntries(query));
	if (!parsed.success) {
		return answerError(400, describeIssues(parsed.error));
	}

	const {from, limit, waitMs} = parsed.data;
	const name = parameters[0] ?? '';
	const stream = platform.getStream(name);
	const {staleLogOffset = Number.POSITIVE_INFINITY} = platform.faults.settings;
	if (from >= Math.min(stream.nextOffset, staleLogOffset) && waitMs > 0) {
		await stream.waitForAppend(waitMs);
	}

	const current = platform.getStream(name);
	return answerOk({
		records: current.read(from, limit).filter(record => record.offset < staleLogOffset),
		firstOffset: current.firstOffset,
		nextOffset: Math.min(current.nextOffset, staleLogOffset),
	});
}

export const logRoutes: readonly Route[] = [
	{
		method: 'POST',
		pattern: recordsPattern,
		handle: acceptBody(appendSchema, ({platform, parameters}, {records}) => {
			if (!platform.faults.acceptAppend()) {
				return answerError(429, 'too many appends in this second');
			}

			const stream = platform.getStream(parameters[0] ?? '');
			const firstOffset = stream.nextOffset;
			stream.append(records, Date.now() as Instant);
			return answerOk({firstOffset, nextOffset: stream.nextOffset});
		}),
	},
	{method: 'GET', pattern: recordsPattern, handle: answerPage},
	{
		method: 'GET',
		pattern: /^\/v1\/hosts$/,
		handle: ({platform, reachedAddress}) => answerOk({
			hosts: platform.hostList.list(platform.faults.settings.hostListLagMs, reachedAddress),
		}),
	},
];
