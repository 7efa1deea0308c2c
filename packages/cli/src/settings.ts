/** Settings of the command-line tool, from flags and environment variables; flags take precedence. */
import {socketAddressSchema} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from './failure.js';

/** Flags that every command takes. */
export type CommonFlags = {
	readonly host?: unknown;
	readonly token?: unknown;
	readonly json?: unknown;
};

/** The entry host to ask, the operator's token, and whether to print JSON. */
export type Settings = {
	readonly host: string;
	readonly token: string;
	readonly isJson: boolean;
};

/** Reads the settings. On failure, reports every missing or malformed one. */
export function readSettings(flags: CommonFlags, environment: NodeJS.ProcessEnv): Result<Settings, Failure> {
	const host = readText(flags.host) ?? environment.RHUBARBLEVER_HOST ?? '';
	const token = readText(flags.token) ?? environment.RHUBARBLEVER_OPERATOR_TOKEN ?? '';
	const lines: string[] = [];
	if (host === '') {
		lines.push('--host (RHUBARBLEVER_HOST) is missing: IPv4:port of an entry host');
	} else if (!socketAddressSchema.safeParse(host).success) {
		lines.push(`--host (RHUBARBLEVER_HOST) must be IPv4:port of an entry host, not '${host}'`);
	}

	if (token === '') {
		lines.push('--token (RHUBARBLEVER_OPERATOR_TOKEN) is missing');
	}

	return lines.length > 0 ? err(createFailure('usage', ...lines)) : ok({host, token, isJson: flags.json === true});
}

function readText(flag: unknown): string | undefined {
	return typeof flag === 'string' ? flag : undefined;
}
