/** Notices that this process did not run for a while: it was stopped, had no processor, or was kept busy by one long turn of its event loop. */
import {addMilliseconds, tickIntervalMs, type Instant} from '@rhubarblever/core';

/** Ticks that are further apart than this show a pause; it is a small part of the heartbeat timeout. */
const maxTickGapMs = 5 * tickIntervalMs;

export class PauseWatch {
	static create(now: Instant): PauseWatch {
		return new PauseWatch(now);
	}

	private constructor(private lastTickAt: Instant) {}

	/** Notes a tick. */
	noteTick(now: Instant): void {
		this.lastTickAt = now;
	}

	/** Returns when the process stopped running if no tick came for a while; each pause is reported once. */
	takePause(now: Instant): Instant | undefined {
		const stoppedAt = this.lastTickAt;
		if (now <= addMilliseconds(stoppedAt, maxTickGapMs)) {
			return undefined;
		}

		this.lastTickAt = now;
		return stoppedAt;
	}
}
