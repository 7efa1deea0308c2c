/** `diff`: compares a file of records with what is in force. */
import {isDeepStrictEqual} from 'node:util';
import {decodeBody, type LogRecord} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '../failure.js';
import {readRecordsFile} from '../files/records-file.js';
import {fetchAnswer} from '../hosts/entry-host-client.js';
import {fleetAnswerSchema, type FleetAnswer, type InForceAnswer} from '../hosts/fleet-answer.js';
import type {Settings} from '../settings.js';

/** Where the fleet answer lists the bodies of a schema, and which field is their id. */
type BodyLocation = {readonly idField: string; readonly list: (fleet: FleetAnswer) => readonly InForceAnswer[]};

const bodyLocations: Readonly<Record<string, BodyLocation>> = {
	pool: {idField: 'pool', list: fleet => fleet.pools},
	service: {idField: 'service', list: fleet => fleet.services},
	objective: {idField: 'service', list: fleet => fleet.objectives},
	job: {idField: 'jobId', list: fleet => fleet.jobs},
};

type Difference = {readonly id: string; readonly change: 'same' | 'new' | 'changed' | 'not comparable'; readonly fields: readonly string[]};

/** Compares each record of a file; if any differs, fails with the exit code `differs`. */
export async function compareFile(settings: Settings, file: string): Promise<Result<string, Failure>> {
	const records = await readRecordsFile(file);
	const fleet = await fetchAnswer({host: settings.host, token: settings.token, path: '/v1/fleet'}, fleetAnswerSchema);
	if (records.isErr()) {
		return err(records.error);
	}

	if (fleet.isErr()) {
		return err(fleet.error);
	}

	const differences = records.value.map(record => compareRecord(record, fleet.value));
	const text = settings.isJson ? JSON.stringify(differences, undefined, '\t') : differences.map(difference => formatDifference(difference)).join('\n');
	return differences.every(difference => difference.change === 'same') ? ok(text) : err(createFailure('differs', text));
}

function compareRecord(record: LogRecord, fleet: FleetAnswer): Difference {
	const location = Object.hasOwn(bodyLocations, record.schema) ? bodyLocations[record.schema] : undefined;
	const decoded = decodeBody(record.schema, record.version, record.body);
	if (!location || decoded.isErr()) {
		return {id: record.schema, change: 'not comparable', fields: []};
	}

	const wanted = structuredClone(decoded.value.body) as Record<string, unknown>;
	const id = `${record.schema} ${String(wanted[location.idField])}`;
	const current = location.list(fleet).find(row => row.body[location.idField] === wanted[location.idField])?.body;
	if (!current) {
		return {id, change: 'new', fields: []};
	}

	const fields = Object.keys({...wanted, ...current})
		.filter(field => !isDeepStrictEqual(wanted[field], current[field]))
		.map(field => `${field}: ${JSON.stringify(current[field])} -> ${JSON.stringify(wanted[field])}`);
	return {id, change: fields.length === 0 ? 'same' : 'changed', fields};
}

function formatDifference({id, change, fields}: Difference): string {
	return [`${id}: ${change}`, ...fields.map(field => `    ${field}`)].join('\n');
}
