/** Writes structured log lines to standard output, rate-limited per event and without ever blocking the caller. */
import {write} from 'node:fs';
import type {LogFields} from '@rhubarblever/core/scheduler';
import winston from 'winston';
import {BoundedOutput} from './bounded-output.js';
import {readSteadyClock} from './clocks.js';

const standardOutput = 1;
const windowMs = 1000;
/** Maximum lines per event and window. Further lines are dropped; the next logged line of the event gives their number as `leftOut`. */
const linesPerWindow = 40;

type LineCount = {windowStart: number; lines: number; leftOut: number};

export type DecisionLogOptions = {readonly host: string; readonly output?: BoundedOutput};

export class DecisionLog {
	static create({
		host, output = BoundedOutput.create((chunk, done) => {
			write(standardOutput, chunk, error => {
				done(error ?? undefined);
			});
		}),
	}: DecisionLogOptions): DecisionLog {
		const logger = winston.createLogger({
			level: 'info',
			defaultMeta: {host},
			format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
			transports: [new winston.transports.Stream({stream: output})],
		});
		return new DecisionLog(logger, output);
	}

	private readonly lineCounts = new Map<string, LineCount>();

	private constructor(private readonly logger: winston.Logger, private readonly output: BoundedOutput) {}

	/** Logs at level info. */
	note(event: string, fields: LogFields): void {
		this.write('info', event, fields);
	}

	warn(event: string, fields: LogFields): void {
		this.write('warn', event, fields);
	}

	/** Resolves once the buffered lines are written, or after a short timeout. */
	async flush(): Promise<void> {
		await this.output.flush();
	}

	private write(level: 'info' | 'warn', event: string, fields: LogFields): void {
		const lineCount = this.getLineCount(event);
		if (lineCount.lines >= linesPerWindow) {
			lineCount.leftOut++;
			return;
		}

		lineCount.lines++;
		const {leftOut} = lineCount;
		lineCount.leftOut = 0;
		this.logger.log(level, event, {steadyMs: Math.round(readSteadyClock()), ...fields, ...(leftOut > 0 && {leftOut})});
	}

	private getLineCount(event: string): LineCount {
		const now = readSteadyClock();
		let lineCount = this.lineCounts.get(event);
		if (!lineCount) {
			lineCount = {windowStart: now, lines: 0, leftOut: 0};
			this.lineCounts.set(event, lineCount);
		}

		if (now - lineCount.windowStart >= windowMs) {
			lineCount.windowStart = now;
			lineCount.lines = 0;
		}

		return lineCount;
	}
}
