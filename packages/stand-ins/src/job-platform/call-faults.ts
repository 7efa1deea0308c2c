/** The outcome of a call under injected faults. `answer-lost`: handled, but not answered. `late`: handled after a delay and not answered. */
export type CallOutcome = 'answered' | 'answer-lost' | 'late';

/** Percentage of calls that each fault affects. `draw` returns a random integer from 1 to 100. */
export type CallFaults = {lostPercent: number; latePercent: number; draw: () => number};

const allPercent = 100;
const earliestLateMs = 1000;
const latestLateMs = 6000;

/** Faults that affect no call. */
export function createCallFaults(): CallFaults {
	return {lostPercent: 0, latePercent: 0, draw: () => allPercent};
}

/** Chooses the outcome of one call at random. */
export function drawOutcome(faults: CallFaults): CallOutcome {
	const drawn = faults.draw();
	if (drawn <= faults.latePercent) {
		return 'late';
	}

	return drawn <= faults.latePercent + faults.lostPercent ? 'answer-lost' : 'answered';
}

/** Random delay of a late call, in milliseconds. */
export function drawLateMs(faults: CallFaults): number {
	return earliestLateMs + (faults.draw() / allPercent * (latestLateMs - earliestLateMs));
}
