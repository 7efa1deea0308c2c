/** Decoders by schema name and version. Each returns the current shape of a body, so that records of old and new versions can both be applied. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {objectiveBodyV1, type ObjectiveBody} from '../burn/bodies.js';
import {
	jobAttemptBodyV1, jobAttemptEndBodyV1, jobBodyV1, jobCancelBodyV1, jobLeasesBodyV1, jobParkBodyV1, quotaBodyV1, workerSetAsideBodyV1, type JobDomainBodies,
} from '../jobs/bodies.js';
import {entryHostJoinedBodyV1, type EntryHostJoinedBody} from '../claims/members.js';
import {describeIssues} from '../types/issues.js';
import {createFault, type Fault} from '../types/faults.js';
import {plannerLeaseBodyV1, type PlannerDomainBodies} from '../planner/bodies.js';
import {
	chainStepBodyV1, hostBodyV1, hostHealthBodyV1, moveBodyV1, moveLendBodyV1, type PoolDomainBodies,
} from '../pools/bodies.js';
import {
	outageEndBodyV1, outageGrantBodyV1, waveBodyV1, waveCancelBodyV1, type WaveDomainBodies,
} from '../waves/bodies.js';
import {
	poolBodyV1, poolBodyV2, poolBodyV3, serviceBodyV1, type PoolBody, type ServiceBody,
} from './bodies.js';

type DomainBodies = PoolDomainBodies & WaveDomainBodies & PlannerDomainBodies & JobDomainBodies;
type DomainBody = {[Name in keyof DomainBodies]: {readonly schema: Name; readonly body: DomainBodies[Name]}}[keyof DomainBodies];

/** A decoded body, tagged by its schema name. */
export type DecodedBody
	= | {readonly schema: 'entry-host-joined'; readonly body: EntryHostJoinedBody}
		| {readonly schema: 'pool'; readonly body: PoolBody}
		| {readonly schema: 'objective'; readonly body: ObjectiveBody}
		| {readonly schema: 'service'; readonly body: ServiceBody}
		| DomainBody;

export type SchemaName = DecodedBody['schema'];
type Decoder = (body: unknown) => Result<DecodedBody, Fault>;

function createDecoder<Body>(schema: z.ZodType<Body>, upgrade: (body: Body) => DecodedBody): Decoder {
	return body => {
		const parsed = schema.safeParse(body);
		return parsed.success ? ok(upgrade(parsed.data)) : err(createFault('record-invalid', describeIssues(parsed.error)));
	};
}

/** A decoder for a schema of `DomainBodies`. These have only one version so far, so their bodies need no conversion. */
function createDomainDecoder<Name extends keyof DomainBodies>(name: Name, schema: z.ZodType<DomainBodies[Name]>): Decoder {
	return createDecoder(schema, body => ({schema: name, body} as unknown as DecodedBody));
}

const decoders: Readonly<Record<string, Decoder>> = {
	'pool/1': createDecoder(poolBodyV1, body => ({
		schema: 'pool',
		body: {
			pool: body.pool,
			budget: {
				minimumHealthyHosts: body.minimumHealthyHosts, maximumHostsOut: 1, maximumHostsOutPerZone: 1, maximumHostsOutPerRack: 1,
			},
		},
	})),
	'entry-host-joined/1': createDecoder(entryHostJoinedBodyV1, body => ({schema: 'entry-host-joined', body})),
	'objective/1': createDecoder(objectiveBodyV1, body => ({schema: 'objective', body})),
	'pool/2': createDecoder(poolBodyV2, body => ({
		schema: 'pool',
		body: {pool: body.pool, budget: {...body.budget, maximumHostsOutPerRack: body.budget.maximumHostsOut}},
	})),
	'pool/3': createDecoder(poolBodyV3, body => ({schema: 'pool', body})),
	'host/1': createDomainDecoder('host', hostBodyV1),
	'host-health/1': createDomainDecoder('host-health', hostHealthBodyV1),
	'move/1': createDomainDecoder('move', moveBodyV1),
	'move-lend/1': createDomainDecoder('move-lend', moveLendBodyV1),
	'move-drained/1': createDomainDecoder('move-drained', chainStepBodyV1),
	'move-released/1': createDomainDecoder('move-released', chainStepBodyV1),
	'move-joined/1': createDomainDecoder('move-joined', chainStepBodyV1),
	'wave/1': createDomainDecoder('wave', waveBodyV1),
	'wave-cancel/1': createDomainDecoder('wave-cancel', waveCancelBodyV1),
	'outage-grant/1': createDomainDecoder('outage-grant', outageGrantBodyV1),
	'host-drained/1': createDomainDecoder('host-drained', chainStepBodyV1),
	'host-rebooted/1': createDomainDecoder('host-rebooted', chainStepBodyV1),
	'outage-end/1': createDomainDecoder('outage-end', outageEndBodyV1),
	'outage-return/1': createDomainDecoder('outage-return', chainStepBodyV1),
	'planner-lease/1': createDomainDecoder('planner-lease', plannerLeaseBodyV1),
	'job/1': createDomainDecoder('job', jobBodyV1),
	'job-cancel/1': createDomainDecoder('job-cancel', jobCancelBodyV1),
	'job-attempt/1': createDomainDecoder('job-attempt', jobAttemptBodyV1),
	'job-leases/1': createDomainDecoder('job-leases', jobLeasesBodyV1),
	'job-attempt-end/1': createDomainDecoder('job-attempt-end', jobAttemptEndBodyV1),
	'job-park/1': createDomainDecoder('job-park', jobParkBodyV1),
	'quota/1': createDomainDecoder('quota', quotaBodyV1),
	'worker-set-aside/1': createDomainDecoder('worker-set-aside', workerSetAsideBodyV1),
	'service/1': createDecoder(serviceBodyV1, body => ({schema: 'service', body})),
};

/** Whether this build can decode a schema name and version. */
export function hasDecoder(schema: string, version: number): boolean {
	return Object.hasOwn(decoders, `${schema}/${version}`);
}

/** Decodes a body; an unknown schema or version is a `record-invalid` fault. */
export function decodeBody(schema: string, version: number, body: unknown): Result<DecodedBody, Fault> {
	const decoder = hasDecoder(schema, version) ? decoders[`${schema}/${version}`] : undefined;
	return decoder ? decoder(body) : err(createFault('record-invalid', `schema ${schema} version ${version} is unknown here`));
}

/** All schema names and versions that this build can decode, as one text. Two hosts are certain to reach the same verdicts only if these texts are equal. */
export function describeDecoders(): string {
	return Object.keys(decoders).toSorted().join(' ');
}
