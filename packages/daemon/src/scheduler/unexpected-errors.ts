/** Keeps the process running after an error that no code has handled, such as one malformed message; too many of them end it. */
import process from 'node:process';
import {describeError} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import type {DecisionLog} from './decision-log.js';
import type {SchedulerMetrics} from './metrics.js';

/** More errors than this within `windowMs` mean that the process is broken rather than a single message. */
const maxErrors = 20;
const windowMs = 10_000;

export type UnexpectedErrorsOptions = {
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
	/** Ends the process after too many errors. */
	readonly exit: () => void;
};

export class UnexpectedErrors {
	static create(options: UnexpectedErrorsOptions): UnexpectedErrors {
		return new UnexpectedErrors(options);
	}

	/** When each of the latest errors happened, on the monotonic clock. */
	private times: number[] = [];

	private constructor(private readonly options: UnexpectedErrorsOptions) {}

	/** Handles the errors that the process would otherwise end with. */
	listen(): void {
		process.on('uncaughtException', error => {
			this.handle(error);
		});
		process.on('unhandledRejection', error => {
			this.handle(error);
		});
	}

	handle(error: unknown): void {
		const {log, metrics, exit} = this.options;
		const now = readSteadyClock();
		this.times = [...this.times.filter(at => now - at < windowMs), now];
		metrics.decisions.inc({event: 'unexpected-error'});
		log.warn('unexpected-error', {reason: describeError(error), recentErrors: this.times.length});
		if (this.times.length > maxErrors) {
			exit();
		}
	}
}
