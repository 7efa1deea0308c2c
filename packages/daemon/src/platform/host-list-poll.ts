/** Polls the platform's host list. A call without an answer does not delay later calls, which may use a connection that works. */
import type {Event, Fault, ListedHost} from '@rhubarblever/core';
import type {Result} from 'neverthrow';
import {readClock} from '../clock.js';

/** Lower than the number of connections to the platform, so that some remain for calls to the log. */
const maximumPendingCalls = 8;

export type HostListPollOptions = {
	readonly listHosts: () => Promise<Result<readonly ListedHost[], Fault>>;
	readonly push: (event: Event) => void;
	readonly intervalMs: number;
};

export class HostListPoll {
	static create(options: HostListPollOptions): HostListPoll {
		return new HostListPoll(options);
	}

	private callCount = 0;
	private pendingCalls = 0;
	/** Highest number of a call that returned a list; lists that earlier calls return after it are outdated and are dropped. */
	private latestAnsweredCall = 0;

	private constructor(private readonly options: HostListPollOptions) {}

	/** Fetches the list immediately and then at each interval. */
	start(): void {
		setInterval(() => {
			void this.fetchHosts();
		}, this.options.intervalMs);
		void this.fetchHosts();
	}

	private async fetchHosts(): Promise<void> {
		if (this.pendingCalls >= maximumPendingCalls) {
			return;
		}

		this.callCount += 1;
		this.pendingCalls += 1;
		const callNumber = this.callCount;
		const result = await this.options.listHosts();
		this.pendingCalls -= 1;
		if (result.isErr()) {
			this.options.push({type: 'hosts/list-failed', at: readClock(), fault: result.error});
		} else if (callNumber > this.latestAnsweredCall) {
			this.latestAnsweredCall = callNumber;
			this.options.push({type: 'hosts/listed', at: readClock(), hosts: result.value});
		}
	}
}
