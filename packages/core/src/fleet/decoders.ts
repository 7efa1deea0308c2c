/** Table of decoders from schema name and version to the current shape of a body, so old and new versions are in force side by side. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {objectiveBodyV1, type ObjectiveBody} from '../burn/bodies.js';
import {createFault, type Fault} from '../types/faults.js';
import {
	poolBodyV1, poolBodyV2, serviceBodyV1, type PoolBody, type ServiceBody,
} from './bodies.js';

/** A decoded body, tagged by its schema name. */
export type DecodedBody
	= | {readonly schema: 'pool'; readonly body: PoolBody}
		| {readonly schema: 'objective'; readonly body: ObjectiveBody}
		| {readonly schema: 'service'; readonly body: ServiceBody};

export type SchemaName = DecodedBody['schema'];
type Decoder = (body: unknown) => Result<DecodedBody, Fault>;

function createDecoder<Body>(schema: z.ZodType<Body>, lift: (body: Body) => DecodedBody): Decoder {
	return body => {
		const parsed = schema.safeParse(body);
		return parsed.success ? ok(lift(parsed.data)) : err(createFault('record-invalid', describeIssues(parsed.error)));
	};
}

function describeIssues(error: z.ZodError): string {
	return error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`).join('; ');
}

const decoders: Readonly<Record<string, Decoder>> = {
	'pool/1': createDecoder(poolBodyV1, body => ({
		schema: 'pool',
		body: {
			pool: body.pool,
			budget: {minimumHealthyHosts: body.minimumHealthyHosts, maximumHostsOut: 1, maximumHostsOutPerZone: 1},
		},
	})),
	'pool/2': createDecoder(poolBodyV2, body => ({schema: 'pool', body})),
	'objective/1': createDecoder(objectiveBodyV1, body => ({schema: 'objective', body})),
	'service/1': createDecoder(serviceBodyV1, body => ({schema: 'service', body})),
};

/** Whether a schema name and version can be decoded here. */
export function hasDecoder(schema: string, version: number): boolean {
	return Object.hasOwn(decoders, `${schema}/${version}`);
}

/** Decodes a body; an unknown schema or version is a `record-invalid` fault. */
export function decodeBody(schema: string, version: number, body: unknown): Result<DecodedBody, Fault> {
	const decoder = hasDecoder(schema, version) ? decoders[`${schema}/${version}`] : undefined;
	return decoder ? decoder(body) : err(createFault('record-invalid', `schema ${schema} version ${version} is unknown here`));
}

/** Names and versions known here, as one text: two hosts judge alike only where these are equal. */
export function describeDecoders(): string {
	return Object.keys(decoders).toSorted().join(' ');
}
