/** An append-only stream of the platform test double, with offsets and limited retention. */
import type {Instant, Offset} from '@rhubarblever/core';

export type Retention = {readonly maxRecords?: number | undefined; readonly maxAgeMs?: number | undefined};

/** A record with its offset. The platform accepts any JSON; readers validate what they read. */
export type StoredRecord = {readonly offset: Offset; readonly at: Instant; readonly record: unknown};

export class LogStream {
	static create(): LogStream {
		return new LogStream();
	}

	private readonly stored: StoredRecord[] = [];
	private firstStored = 0;
	private readonly waiters = new Set<() => void>();

	private constructor() {}

	get firstOffset(): Offset {
		return this.firstStored as Offset;
	}

	get nextOffset(): Offset {
		return (this.firstStored + this.stored.length) as Offset;
	}

	append(records: readonly unknown[], at: Instant): void {
		for (const record of records) {
			this.stored.push({offset: this.nextOffset, at, record});
		}

		for (const notify of this.waiters) {
			notify();
		}
	}

	/** Returns up to `limit` records from the offset `from` on. */
	read(from: number, limit: number): StoredRecord[] {
		const start = Math.max(0, from - this.firstStored);
		return this.stored.slice(start, start + limit);
	}

	/** Resolves at the next append or after `waitMs`. */
	async waitForAppend(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const notify = () => {
				clearTimeout(timer);
				this.waiters.delete(notify);
				resolve();
			};

			const timer = setTimeout(notify, waitMs);
			this.waiters.add(notify);
		});
	}

	/** Deletes the records that exceed the retention's count or age. */
	expire({maxRecords, maxAgeMs}: Retention, now: number): void {
		if (maxRecords !== undefined) {
			this.expireBefore(this.nextOffset - maxRecords);
		}

		if (maxAgeMs !== undefined) {
			const firstRetained = this.stored.find(candidate => candidate.at > now - maxAgeMs);
			this.expireBefore(firstRetained?.offset ?? this.nextOffset);
		}
	}

	/** Deletes the records before `offset`. */
	expireBefore(offset: number): void {
		const count = Math.min(Math.max(0, offset - this.firstStored), this.stored.length);
		this.stored.splice(0, count);
		this.firstStored += count;
	}
}
