/** Measures processor time and memory of what a function does. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Processor time of a call in microseconds, user and system. */
export function measureCpu(run: () => void): number {
	const before = process.cpuUsage();
	run();
	const used = process.cpuUsage(before);
	return used.user + used.system;
}

/** Bytes of heap that what a call returns holds. */
export function measureHeap<Made>(make: () => Made): {readonly made: Made; readonly bytes: number} {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const made = make();
	collectGarbage();
	return {made, bytes: process.memoryUsage().heapUsed - before};
}

/** The middle one of several runs. */
export function measureMedian(runs: number, measure: () => number): number {
	const values = Array.from({length: runs}, () => measure()).toSorted((a, b) => a - b);
	return values[Math.floor(values.length / 2)] ?? 0;
}
