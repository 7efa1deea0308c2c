/** Decides from a caller's API key, and from how stale this host's view of the client accounts is, whether a call may be served. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {AccountName, FleetConfig, Queue} from '@rhubarblever/core/scheduler';
import type {DecisionLog} from './decision-log.js';
import {revokeShare} from './follow-times.js';
import type {SchedulerMetrics} from './metrics.js';
import type {ViewStatus} from './stream-view.js';
import {maxRefreshMs, waitAtMost} from './wait-at-most.js';

export type KeySettings = {
	/** True if keys are required even while the configuration has no client accounts. */
	readonly isRequired: boolean;
	/** How long after its confirmed removal a key may still be accepted; undefined for no bound. */
	readonly revokeMs: number | undefined;
};

/** `unsure`: this host's view of the accounts is too stale to tell. A granted call has no account if its queue is public or if keys are not required. */
export type KeyOutcome
	= | {readonly type: 'granted'; readonly account: AccountName | undefined}
		| {readonly type: 'denied'}
		| {readonly type: 'unsure'};

export type KeyCheckOptions = {
	readonly settings: KeySettings;
	readonly getConfig: () => FleetConfig | undefined;
	/** Describes this host's view of the operators' stream. */
	readonly describeConfig: () => ViewStatus;
	/** False if the store has lost the configuration in force, and possibly later versions that this host has not read. */
	readonly hasStoredConfig: () => boolean;
	/** Up to this staleness, a key that is missing from the configuration is not valid. */
	readonly maxDenialAgeMs: number;
	/** Brings the view up to date if it is staler than `maxAgeMs`; calls at the same time share one read. */
	readonly refreshConfig: (maxAgeMs: number) => Promise<void>;
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
};

/** The name of the account is undefined for a key that the configuration in force does not hold. */
type Verdict = {readonly outcome: KeyOutcome['type']; readonly account: AccountName | undefined; readonly maxAgeMs: number};

const unknownAccount = 'unknown';

export class KeyCheck {
	static create(options: KeyCheckOptions): KeyCheck {
		return new KeyCheck(options);
	}

	/** Up to this staleness, a key of the configuration in force is accepted. */
	private readonly maxGrantAgeMs: number;
	private readonly maxDenialAgeMs: number;

	private constructor(private readonly options: KeyCheckOptions) {
		this.maxGrantAgeMs = (options.settings.revokeMs ?? Number.POSITIVE_INFINITY) * revokeShare;
		this.maxDenialAgeMs = Math.min(options.maxDenialAgeMs, this.maxGrantAgeMs);
	}

	/** False while this host cannot accept any key, because its view of the accounts is too stale. */
	canGrant(): boolean {
		return !this.isRequired() || this.measureAgeMs() < this.maxGrantAgeMs;
	}

	/** Checks the key of a call to a queue; asks the store for a newer configuration once before it gives up or denies on a stale view. */
	async check(queue: Queue, key: string | undefined): Promise<KeyOutcome> {
		if (!this.isKeyed(queue)) {
			return {type: 'granted', account: undefined};
		}

		const digest = key ? computeKeyDigest(Buffer.from(key, 'latin1')) : undefined;
		let verdict = this.judge(digest);
		if (verdict.outcome === 'unsure') {
			await waitAtMost(this.options.refreshConfig(verdict.maxAgeMs), maxRefreshMs);
			// The refreshed configuration may have made the queue public.
			const current = this.options.getConfig()?.queues.find(({name}) => name === queue.name);
			if (current && !this.isKeyed(current)) {
				return {type: 'granted', account: undefined};
			}

			verdict = this.judge(digest);
		}

		this.record(verdict);
		return verdict.outcome === 'granted' ? {type: 'granted', account: verdict.account} : {type: verdict.outcome};
	}

	private isRequired(): boolean {
		return this.options.settings.isRequired || this.options.getConfig()?.accounts !== undefined;
	}

	private isKeyed(queue: Queue): boolean {
		return this.isRequired() && queue.isPublic !== true;
	}

	private judge(digest: string | undefined): Verdict {
		const config = this.options.getConfig();
		const account = config && digest !== undefined ? findAccountByDigest(config, digest) : undefined;
		const maxAgeMs = account === undefined ? this.maxDenialAgeMs : this.maxGrantAgeMs;
		// A revocation without a time bound accepts a known key at any age.
		const isTrusted = maxAgeMs === Number.POSITIVE_INFINITY || this.measureAgeMs() < maxAgeMs;
		const decided = account === undefined ? 'denied' : 'granted';
		return {outcome: isTrusted ? decided : 'unsure', account, maxAgeMs};
	}

	/** Staleness of the view; infinite if revocations have a time bound and the store has lost its history, because a lost version may have removed a key. */
	private measureAgeMs(): number {
		const {settings, describeConfig, hasStoredConfig} = this.options;
		const hasLostHistory = settings.revokeMs !== undefined && !hasStoredConfig();
		return hasLostHistory ? Number.POSITIVE_INFINITY : describeConfig().completeAgeMs ?? Number.POSITIVE_INFINITY;
	}

	private record({outcome, account}: Verdict): void {
		const {metrics, log, getConfig, describeConfig} = this.options;
		metrics.keys.inc({outcome});
		if (outcome !== 'granted') {
			log.note('key-refused', {
				account: account ?? unknownAccount, outcome, completeAgeMs: describeConfig().completeAgeMs, configVersion: getConfig()?.version,
			});
		}
	}
}

/** Digest under which a configuration holds an API key, in base64. */
export function computeKeyDigest(key: Uint8Array): string {
	return createHash('sha256').update(key).digest('base64');
}

type Entry = {readonly digest: Uint8Array; readonly account: AccountName};

const indexes = new WeakMap<FleetConfig, ReadonlyMap<string, Entry>>();

/** The accounts of a configuration indexed by digest, as a configuration may have thousands of keys. */
function indexByDigest(config: FleetConfig): ReadonlyMap<string, Entry> {
	let index = indexes.get(config);
	if (!index) {
		index = new Map((config.accounts ?? []).flatMap(({name, keyDigests}) => keyDigests.map(digest => [digest, {digest: Buffer.from(digest), account: name}] as const)));
		indexes.set(config, index);
	}

	return index;
}

/** Digests are compared in constant time; the index itself only sees the digest, from which nothing follows about a key. */
function findAccountByDigest(config: FleetConfig, digest: string): AccountName | undefined {
	const presented = Buffer.from(digest);
	const entry = indexByDigest(config).get(digest);
	const isEqual = timingSafeEqual(entry?.digest.length === presented.length ? entry.digest : Buffer.alloc(presented.length), presented);
	return entry && isEqual ? entry.account : undefined;
}
