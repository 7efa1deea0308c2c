/** Exit codes of the command-line tool. */
export const exitCodes = {
	done: 0,
	/** The entry host refused the call, or the verdict on a record was `void`. */
	refused: 1,
	/** The command line, a setting or a file is wrong; nothing was sent. */
	usage: 2,
	/** The records are in the log, but some entry hosts had not applied them before the timeout. */
	notInForce: 3,
	/** `diff` found differences. */
	differs: 4,
	/** No entry host answered. */
	unreachable: 5,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
