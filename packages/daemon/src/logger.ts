/** Structured log lines by winston, one JSON object a line on standard error. */
import process from 'node:process';
import winston from 'winston';

/** Makes the process's logger; every line carries the host's name. */
export function createLogger(level: string, hostId: string): winston.Logger {
	return winston.createLogger({
		level,
		defaultMeta: {hostId},
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Stream({stream: process.stderr})],
	});
}
