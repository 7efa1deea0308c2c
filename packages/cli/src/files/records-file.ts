/** Files of records in YAML or JSON, validated against their schema versions before anything is sent. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {
	decodeBody, describeIssues, logRecordSchema, type LogRecord,
} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {parseDocument} from 'yaml';
import {z} from 'zod';
import {createFailure, type Failure} from '../failure.js';

const fileSchema = z.strictObject({records: z.array(z.looseObject({})).min(1)});

/** Reads the records of a file. A record without `recordId` gets a new one. Reports all errors, each with file, record and field. */
export async function readRecordsFile(path: string): Promise<Result<LogRecord[], Failure>> {
	let text: string;
	try {
		text = await readFile(path, 'utf8');
	} catch (error) {
		return err(createFailure('usage', `${path}: cannot be read: ${(error as Error).message}`));
	}

	return parseRecords(path, text);
}

/** Parses the text of a records file. */
export function parseRecords(path: string, text: string): Result<LogRecord[], Failure> {
	const document = parseDocument(text);
	if (document.errors.length > 0) {
		return err(createFailure('usage', ...document.errors.map(error => `${path}: ${error.message}`)));
	}

	const parsed = fileSchema.safeParse(document.toJS());
	if (!parsed.success) {
		return err(createFailure('usage', `${path}: must have a list 'records' of at least one record`));
	}

	const records: LogRecord[] = [];
	const errors: string[] = [];
	for (const [index, item] of parsed.data.records.entries()) {
		parseRecord(item).match(
			record => records.push(record),
			reason => errors.push(`${path}: records.${index}: ${reason}`),
		);
	}

	return errors.length > 0 ? err(createFailure('usage', ...errors)) : ok(records);
}

function parseRecord(item: Readonly<Record<string, unknown>>): Result<LogRecord, string> {
	const parsed = logRecordSchema.strict().safeParse({recordId: randomUUID(), ...item});
	if (!parsed.success) {
		return err(describeIssues(parsed.error, 'record'));
	}

	const {schema, version, body} = parsed.data;
	return decodeBody(schema, version, body)
		.map(() => parsed.data)
		.mapErr(fault => `body: ${fault.detail}`);
}
