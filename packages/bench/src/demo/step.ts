/** A step of the demo. */
import type {Demo} from './demo.js';

export type Step = {
	readonly title: string;
	/** Returns one sentence about what was observed; throws if the step fails. */
	readonly run: (demo: Demo) => Promise<string>;
};

/** Throws an error with the message unless the condition is true. */
export function verify(isTrue: boolean, message: string): void {
	if (!isTrue) {
		throw new Error(message);
	}
}
