/** A thread that makes service calls, so that a burst of them does not delay the fault proxies of the process that starts it. */
import {Worker} from 'node:worker_threads';
import type {ObservedAnswer, ServiceCall} from './service-call.js';

/** What the thread receives and posts. */
export type CallerRequest = {readonly callNumber: number; readonly call: ServiceCall};
export type CallerReply = {readonly callNumber: number; readonly seen: ObservedAnswer};

type PendingCall = {readonly resolve: (seen: ObservedAnswer) => void; readonly reject: (error: Error) => void};

export class CallerThread {
	static create(): CallerThread {
		return new CallerThread();
	}

	private readonly worker = new Worker(new URL('caller-worker.js', import.meta.url));
	private readonly pending = new Map<number, PendingCall>();
	private callCount = 0;

	private constructor() {
		this.worker.on('message', ({callNumber, seen}: CallerReply) => {
			this.pending.get(callNumber)?.resolve(seen);
			this.pending.delete(callNumber);
		});
		this.worker.on('error', error => {
			this.rejectPending(error);
		});
		this.worker.on('exit', () => {
			this.rejectPending(new Error('the caller thread has ended'));
		});
	}

	/** Makes a call in the thread; see `callService`. Rejects only if the thread ends first. */
	async call(call: ServiceCall): Promise<ObservedAnswer> {
		this.callCount += 1;
		const request: CallerRequest = {callNumber: this.callCount, call};
		return new Promise((resolve, reject) => {
			this.pending.set(request.callNumber, {resolve, reject});
			this.worker.postMessage(request);
		});
	}

	async stop(): Promise<void> {
		await this.worker.terminate();
	}

	private rejectPending(error: Error): void {
		for (const {reject} of this.pending.values()) {
			reject(error);
		}

		this.pending.clear();
	}
}
