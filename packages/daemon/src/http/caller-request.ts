/** Parses a caller's request from its path and headers. */
import type {IncomingHttpHeaders} from 'node:http';
import {
	createFault, describeIssues, instantSchema, requestIdSchema, serviceIdSchema, teamIdSchema, workClasses,
	type CallerKey, type CallerRequest, type Fault, type Instant,
} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const defaultDeadlineMs = 30_000;

const headersSchema = z.object({
	'idempotency-key': requestIdSchema,
	'rhubarblever-team': teamIdSchema.optional(),
	'rhubarblever-class': z.enum(workClasses).default('quick'),
	'rhubarblever-idempotent': z.enum(['true', 'false']).default('false'),
	'rhubarblever-deadline': z.iso.datetime({offset: true}).transform(text => Date.parse(text)).pipe(instantSchema).optional(),
});

/** A caller's request without the key of its call. */
export type RequestHead = Omit<CallerRequest, 'callerKey'>;

/** Parses the service name from the path and everything else from headers. The default deadline is 30 s from now. */
export function readRequestHead(serviceText: string, headers: IncomingHttpHeaders, now: Instant): Result<RequestHead, Fault> {
	const service = serviceIdSchema.safeParse(serviceText);
	const parsed = headersSchema.safeParse(headers);
	if (!service.success) {
		return err(createFault('bad-request', 'the service name is malformed'));
	}

	if (!parsed.success) {
		return err(createFault('bad-request', describeIssues(parsed.error)));
	}

	return ok({
		requestId: parsed.data['idempotency-key'],
		service: service.data,
		team: parsed.data['rhubarblever-team'] ?? teamIdSchema.parse('default'),
		workClass: parsed.data['rhubarblever-class'],
		isIdempotent: parsed.data['rhubarblever-idempotent'] === 'true',
		arrivedAt: now,
		deadline: parsed.data['rhubarblever-deadline'] ?? (now + defaultDeadlineMs) as Instant,
	});
}

export function createCallerRequest(head: RequestHead, callerKey: CallerKey): CallerRequest {
	return {...head, callerKey};
}
