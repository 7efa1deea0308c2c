/** A hash chain over the applied records: two hosts have the same digest at an offset only if both applied the same records with the same verdicts. */
import {sha256} from '@noble/hashes/sha2';
import {bytesToHex, utf8ToBytes} from '@noble/hashes/utils';
import type {Offset} from '../types/time.js';

/** The digest of the fleet state before the record at `offset` is applied. */
export type OffsetDigest = {readonly offset: Offset; readonly digest: string};

/** The digest before the first record. */
export const emptyDigest = '';

const maxRecentDigests = 2048;

/** The SHA-256 of a text, in hexadecimal. */
export function computeChecksum(text: string): string {
	return bytesToHex(sha256(utf8ToBytes(text)));
}

/** JSON with the keys of objects sorted, so that equal values give equal texts. */
export function encodeCanonical(value: unknown): string {
	return JSON.stringify(value, (_key, part: unknown) => isPlainObject(part) ? sortKeys(part) : part) ?? 'null';
}

/** The digest that follows `previous` in the hash chain. */
export function computeNextDigest(previous: string, link: unknown): string {
	return computeChecksum(`${previous}\n${encodeCanonical(link)}`);
}

/** Appends a digest to a bounded list whose oldest entry is first. */
export function appendDigest(recent: OffsetDigest[], entry: OffsetDigest): void {
	recent.push(entry);
	if (recent.length > 2 * maxRecentDigests) {
		recent.splice(0, recent.length - maxRecentDigests);
	}
}

/** The digest at an offset, or undefined if it is no longer in the list. */
export function findDigest(recent: readonly OffsetDigest[], offset: Offset): string | undefined {
	const first = recent[0]?.offset ?? 0;
	const entry = recent[offset - first];
	return entry?.offset === offset ? entry.digest : undefined;
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function sortKeys(value: Record<string, unknown>): Record<string, unknown> {
	return Object.fromEntries(Object.keys(value).toSorted().map(key => [key, value[key]]));
}
