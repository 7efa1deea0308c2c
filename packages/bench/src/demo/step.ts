/** The shape of a step of the demo. */
import type {Demo} from './demo.js';

export type Step = {
	readonly title: string;
	/** Returns what was seen, in a sentence. */
	readonly run: (demo: Demo) => Promise<string>;
};

/** Throws with what was not true. */
export function verify(isTrue: boolean, message: string): void {
	if (!isTrue) {
		throw new Error(message);
	}
}
