/** `diff`: a file of records against what is in force. */
import {isDeepStrictEqual} from 'node:util';
import {decodeBody, type LogRecord} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '../failure.js';
import {readRecordsFile} from '../files/records-file.js';
import {fetchAnswer} from '../hosts/entry-host-client.js';
import {fleetAnswerSchema, type FleetAnswer, type InForceAnswer} from '../hosts/fleet-answer.js';
import type {Settings} from '../settings.js';

/** Where a schema's bodies are found in force, and which field names them. */
type Place = {readonly idField: string; readonly list: (fleet: FleetAnswer) => readonly InForceAnswer[]};

const places: Readonly<Record<string, Place>> = {
	pool: {idField: 'pool', list: fleet => fleet.pools},
	service: {idField: 'service', list: fleet => fleet.services},
	objective: {idField: 'service', list: fleet => fleet.objectives},
	job: {idField: 'jobId', list: fleet => fleet.jobs},
};

type Difference = {readonly id: string; readonly change: 'same' | 'new' | 'changed' | 'not comparable'; readonly fields: readonly string[]};

/** Compares each record of a file; differences end with their own exit code. */
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
	const place = Object.hasOwn(places, record.schema) ? places[record.schema] : undefined;
	const decoded = decodeBody(record.schema, record.version, record.body);
	if (!place || decoded.isErr()) {
		return {id: record.schema, change: 'not comparable', fields: []};
	}

	const wanted = structuredClone(decoded.value.body) as Record<string, unknown>;
	const id = `${record.schema} ${String(wanted[place.idField])}`;
	const current = place.list(fleet).find(row => row.body[place.idField] === wanted[place.idField])?.body;
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
