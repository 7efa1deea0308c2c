/** One append-only stream of the platform stand-in, with offsets and limited retention. */
import type {Instant, Offset} from '@rhubarblever/core';

export type Retention = {readonly maxRecords?: number | undefined; readonly maxAgeMs?: number | undefined};

/** A record at its place. The platform takes any JSON; readers check what they read. */
export type KeptRecord = {readonly offset: Offset; readonly at: Instant; readonly record: unknown};

export class LogStream {
	static create(): LogStream {
		return new LogStream();
	}

	private readonly kept: KeptRecord[] = [];
	private firstKept = 0;
	private readonly waiting = new Set<() => void>();

	private constructor() {}

	get firstOffset(): Offset {
		return this.firstKept as Offset;
	}

	get nextOffset(): Offset {
		return (this.firstKept + this.kept.length) as Offset;
	}

	append(records: readonly unknown[], at: Instant): void {
		for (const record of records) {
			this.kept.push({offset: this.nextOffset, at, record});
		}

		for (const wake of this.waiting) {
			wake();
		}
	}

	/** Up to `limit` records from `from` on. */
	read(from: number, limit: number): KeptRecord[] {
		const start = Math.max(0, from - this.firstKept);
		return this.kept.slice(start, start + limit);
	}

	/** Resolves at the next append or after `waitMs`. */
	async waitForAppend(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this.waiting.add(wake);
		});
	}

	/** Forgets what the retention does not keep: by count, and by age in milliseconds. */
	expire({maxRecords, maxAgeMs}: Retention, now: number): void {
		if (maxRecords !== undefined) {
			this.expireBefore(this.nextOffset - maxRecords);
		}

		if (maxAgeMs !== undefined) {
			const firstYoung = this.kept.find(logged => logged.at > now - maxAgeMs);
			this.expireBefore(firstYoung?.offset ?? this.nextOffset);
		}
	}

	/** Forgets records before `offset`. */
	expireBefore(offset: number): void {
		const count = Math.min(Math.max(0, offset - this.firstKept), this.kept.length);
		this.kept.splice(0, count);
		this.firstKept += count;
	}
}
