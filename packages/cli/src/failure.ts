/** The failure of a command: its exit code and error messages. */
import {exitCodes, type ExitCode} from './exit-codes.js';

export type Failure = {
	readonly exitCode: ExitCode;
	/** Error messages for the operator, usually one per error. */
	readonly lines: readonly string[];
};

export function createFailure(name: keyof typeof exitCodes, ...lines: string[]): Failure {
	return {exitCode: exitCodes[name], lines};
}
