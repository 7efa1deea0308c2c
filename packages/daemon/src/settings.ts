/** Settings of the daemon. Each has a flag and an environment variable; all are validated once at startup. */
import {
	availabilityZoneSchema, defaultJobLeaseMs, defaultLogRetentionMs, hostIdSchema, maximumJobLeaseMs, routingPolicies, socketAddressSchema, type AvailabilityZone, type EntryHost, type HostId,
} from '@rhubarblever/core';
import type {ClientLimits} from '@rhubarblever/core/scheduler';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {defaultBodyTimeoutMs, defaultMaxRequestsAhead} from './clients/client-limits.js';

const peerPattern = /^([\w.-]+)=([\w.-]+)@(.+)$/;
/** A shorter lease could expire before a renewal is written to the log and reaches the worker. */
const minimumJobLeaseMs = 2000;
const nonNegativeInteger = z.coerce.number().int().nonnegative();
const positiveInteger = z.coerce.number().int().positive();
const minimumLogRetentionMs = 20_000;

/** One setting: its schema, its default as text, and its help text. A setting without a default is required. */
type SettingRow = {readonly schema: z.ZodType; readonly fallback?: string; readonly help: string};

/** All settings by flag name. The environment variable is `RHUBARBLEVER_` and the name in capitals, with `_` for `-`. */
export const settingRows = {
	'host-id': {schema: hostIdSchema, help: 'Name of this entry host'},
	'availability-zone': {schema: availabilityZoneSchema, help: 'Availability zone of this entry host'},
	listen: {schema: socketAddressSchema, help: 'IPv4:port to listen on for callers, operators and peers'},
	platform: {schema: socketAddressSchema, help: 'IPv4:port of the platform'},
	peers: {schema: z.string(), fallback: '', help: 'Other entry hosts, as host-id=zone@IPv4:port, separated by commas'},
	'operator-token': {schema: z.string().min(8), help: 'Token that operators must show (at least 8 characters)'},
	'peer-token': {schema: z.string().min(8), help: 'Token that entry hosts show to each other (at least 8 characters)'},
	'routing-policy': {
		schema: z.string().refine(name => Object.hasOwn(routingPolicies, name), 'is not a routing policy'),
		fallback: 'steward',
		help: `How a target is chosen: ${Object.keys(routingPolicies).join(', ')}`,
	},
	'log-retention-ms': {
		schema: nonNegativeInteger.min(minimumLogRetentionMs),
		fallback: String(defaultLogRetentionMs),
		help: 'How long the platform\'s log keeps records, in milliseconds',
	},
	metrics: {schema: z.union([z.literal(''), socketAddressSchema]), fallback: '', help: 'IPv4:port of a StatsD server; empty sends none'},
	'log-level': {schema: z.enum(['error', 'warn', 'info', 'debug']), fallback: 'info', help: 'Least level of log lines'},
	'max-body-bytes': {schema: nonNegativeInteger, fallback: '1048576', help: 'Largest body of a request, in bytes'},
	'max-header-bytes': {schema: positiveInteger, fallback: '16384', help: 'Largest head of a request (its line and headers), in bytes'},
	'header-timeout-ms': {schema: positiveInteger, fallback: '10000', help: 'Longest time in which the head of a request must arrive, in milliseconds'},
	'body-timeout-ms': {schema: positiveInteger, fallback: String(defaultBodyTimeoutMs), help: 'Longest time in which the body of a request must arrive, in milliseconds'},
	'idle-timeout-ms': {schema: positiveInteger, fallback: '60000', help: 'How long a caller\'s connection may be without any traffic, in milliseconds'},
	'max-requests-ahead': {
		schema: positiveInteger, fallback: String(defaultMaxRequestsAhead), help: 'Requests in a row that a caller may send on one connection before it has taken the answer before them',
	},
	'max-connections': {schema: positiveInteger, fallback: '2000', help: 'Connections of callers; a further one closes the one that has waited longest'},
	'client-memory-mb': {schema: positiveInteger, fallback: '64', help: 'Memory that connections, requests that are not complete and requests sent ahead may hold together, in MB'},
	'job-lease-ms': {
		schema: z.coerce.number().int().min(minimumJobLeaseMs).max(maximumJobLeaseMs),
		fallback: String(defaultJobLeaseMs),
		help: 'Lease of a running job, in milliseconds; while no entry host renews it, its task stops after so long',
	},
	invariants: {schema: z.enum(['count', 'fatal']), fallback: 'count', help: 'What a broken invariant does: count (log and count it) or fatal (exit)'},
	seed: {schema: nonNegativeInteger, fallback: '0', help: 'Seed of random choices; 0 takes one from the operating system'},
} as const satisfies Record<string, SettingRow>;

export type SettingName = keyof typeof settingRows;

export type Settings = {
	readonly self: EntryHost;
	readonly peers: readonly EntryHost[];
	readonly listen: SocketAddress;
	readonly platform: string;
	readonly operatorToken: string;
	readonly peerToken: string;
	readonly routingPolicy: string;
	readonly logRetentionMs: number;
	readonly metrics: SocketAddress | undefined;
	readonly logLevel: string;
	readonly maxBodyBytes: number;
	readonly clientLimits: ClientLimits;
	readonly bodyTimeoutMs: number;
	readonly maxRequestsAhead: number;
	readonly maxConnections: number;
	readonly clientMemoryMb: number;
	readonly areInvariantsFatal: boolean;
	readonly seed: number;
	readonly jobLeaseMs: number;
};

export type SocketAddress = {readonly ip: string; readonly port: number};

/** Returns the name of a setting's environment variable. */
export function getVariableName(name: SettingName): string {
	return `RHUBARBLEVER_${name.replaceAll('-', '_').toUpperCase()}`;
}

/** Reads settings from flags, then environment variables, then defaults. On failure, returns one line for each invalid setting. */
export function readSettings(flags: Readonly<Record<string, unknown>>, environment: NodeJS.ProcessEnv): Result<Settings, string[]> {
	const errors: string[] = [];
	const values = new Map<SettingName, string>();
	for (const name of Object.keys(settingRows) as SettingName[]) {
		const row: SettingRow = settingRows[name];
		const text = readText(flags[name]) ?? environment[getVariableName(name)] ?? row.fallback;
		if (text === undefined) {
			errors.push(`--${name} (${getVariableName(name)}) is missing: ${row.help}`);
			continue;
		}

		const parsed = row.schema.safeParse(text);
		if (parsed.success) {
			values.set(name, String(parsed.data));
		} else {
			errors.push(`--${name} (${getVariableName(name)}) ${describeError(parsed.error)}`);
		}
	}

	const peers = parsePeers(values.get('peers') ?? '');
	if (peers.isErr()) {
		errors.push(peers.error);
	}

	for (const name of Object.keys(flags)) {
		if (name !== '_' && !Object.hasOwn(settingRows, name)) {
			errors.push(`--${name} is not a setting`);
		}
	}

	return errors.length > 0 || peers.isErr() ? err(errors) : ok(createSettings(values, peers.value));
}

/** Splits `ip:port`. */
export function parseSocketAddress(text: string): SocketAddress {
	const [ip = '', port = '0'] = text.split(':');
	return {ip, port: Number(port)};
}

function readText(flag: unknown): string | undefined {
	if (typeof flag === 'number') {
		return String(flag);
	}

	return typeof flag === 'string' ? flag : undefined;
}

function describeError(error: z.ZodError): string {
	return error.issues.map(issue => issue.message).join('; ');
}

function parsePeers(text: string): Result<EntryHost[], string> {
	const peers: EntryHost[] = [];
	for (const part of text.split(',').filter(Boolean)) {
		const match = peerPattern.exec(part);
		if (!match || !socketAddressSchema.safeParse(match[3]).success) {
			return err(`--peers (${getVariableName('peers')}) has '${part}', which is not host-id=zone@IPv4:port`);
		}

		peers.push({
			hostId: match[1] as HostId,
			availabilityZone: match[2] as AvailabilityZone,
			address: match[3] ?? '',
		});
	}

	return ok(peers);
}

function createSettings(values: ReadonlyMap<SettingName, string>, peers: readonly EntryHost[]): Settings {
	const get = (name: SettingName) => values.get(name) ?? '';
	const hostId = get('host-id') as HostId;
	return {
		self: {hostId, availabilityZone: get('availability-zone') as AvailabilityZone, address: get('listen')},
		peers: peers.filter(peer => peer.hostId !== hostId),
		listen: parseSocketAddress(get('listen')),
		platform: get('platform'),
		operatorToken: get('operator-token'),
		peerToken: get('peer-token'),
		routingPolicy: get('routing-policy'),
		logRetentionMs: Number(get('log-retention-ms')),
		metrics: get('metrics') === '' ? undefined : parseSocketAddress(get('metrics')),
		logLevel: get('log-level'),
		maxBodyBytes: Number(get('max-body-bytes')),
		clientLimits: {
			maxHeaderBytes: Number(get('max-header-bytes')),
			maxBodyBytes: Number(get('max-body-bytes')),
			headerTimeoutMs: Number(get('header-timeout-ms')),
			idleTimeoutMs: Number(get('idle-timeout-ms')),
		},
		bodyTimeoutMs: Number(get('body-timeout-ms')),
		maxRequestsAhead: Number(get('max-requests-ahead')),
		maxConnections: Number(get('max-connections')),
		clientMemoryMb: Number(get('client-memory-mb')),
		areInvariantsFatal: get('invariants') === 'fatal',
		seed: Number(get('seed')),
		jobLeaseMs: Number(get('job-lease-ms')),
	};
}
