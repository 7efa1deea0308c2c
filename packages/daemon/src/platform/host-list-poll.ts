/** Follows the platform's host list. A call that gets no answer does not hold up the next ones, which may go over a connection that works. */
import type {Event, Fault, ListedHost} from '@rhubarblever/core';
import type {Result} from 'neverthrow';
import {readClock} from '../clock.js';

/** Fewer than the connections to the platform, so that the log has some left. */
const mostUnanswered = 8;

export type HostListPollOptions = {
	readonly listHosts: () => Promise<Result<readonly ListedHost[], Fault>>;
	readonly push: (event: Event) => void;
	readonly intervalMs: number;
};

export class HostListPoll {
	static create(options: HostListPollOptions): HostListPoll {
		return new HostListPoll(options);
	}

	private calls = 0;
	private unanswered = 0;
	/** Number of the latest call that brought a list; lists of earlier calls are old news. */
	private latest = 0;

	private constructor(private readonly options: HostListPollOptions) {}

	/** Asks now and then at each interval. */
	start(): void {
		setInterval(() => {
			void this.fetchHosts();
		}, this.options.intervalMs);
		void this.fetchHosts();
	}

	private async fetchHosts(): Promise<void> {
		if (this.unanswered >= mostUnanswered) {
			return;
		}

		this.calls += 1;
		this.unanswered += 1;
		const call = this.calls;
		const result = await this.options.listHosts();
		this.unanswered -= 1;
		if (result.isErr()) {
			this.options.push({type: 'hosts/list-failed', at: readClock(), fault: result.error});
		} else if (call > this.latest) {
			this.latest = call;
			this.options.push({type: 'hosts/listed', at: readClock(), hosts: result.value});
		}
	}
}
