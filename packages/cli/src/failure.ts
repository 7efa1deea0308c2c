/** Why a command did not do what it was asked. */
import {exitCodes, type ExitCode} from './exit-codes.js';

export type Failure = {
	readonly exitCode: ExitCode;
	/** One line a fault, for people. */
	readonly lines: readonly string[];
};

/** Makes a failure. */
export function createFailure(name: keyof typeof exitCodes, ...lines: string[]): Failure {
	return {exitCode: exitCodes[name], lines};
}
