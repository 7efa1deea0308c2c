/** What goes wrong with calls to the stand-in platform: answers that are lost, and calls that are carried out late without one. */
export type CallFate = 'answered' | 'answer-lost' | 'late';

/** How often, of 100 calls. `draw` gives 1 to 100. */
export type CallFaults = {lostPercent: number; latePercent: number; draw: () => number};

const allPercent = 100;
const earliestLateMs = 1000;
const latestLateMs = 6000;

/** No call goes wrong. */
export function createCallFaults(): CallFaults {
	return {lostPercent: 0, latePercent: 0, draw: () => allPercent};
}

/** Decides on one call. */
export function drawFate(faults: CallFaults): CallFate {
	const drawn = faults.draw();
	if (drawn <= faults.latePercent) {
		return 'late';
	}

	return drawn <= faults.latePercent + faults.lostPercent ? 'answer-lost' : 'answered';
}

/** How much later a late call is carried out, in milliseconds. */
export function drawLateMs(faults: CallFaults): number {
	return earliestLateMs + (faults.draw() / allPercent * (latestLateMs - earliestLateMs));
}
