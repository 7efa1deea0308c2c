/** Structured logging with winston: one JSON object per line on standard error. */
import process from 'node:process';
import winston from 'winston';

/** Creates the logger of the process; every line has the host's id. */
export function createLogger(level: string, hostId: string): winston.Logger {
	return winston.createLogger({
		level,
		defaultMeta: {hostId},
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Stream({stream: process.stderr})],
	});
}
