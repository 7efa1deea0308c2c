/** Measures the processor time and the memory that a function uses. */
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

/** Heap bytes retained by the return value of a call. */
export function measureHeap<Made>(make: () => Made): {readonly made: Made; readonly bytes: number} {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const made = make();
	collectGarbage();
	return {made, bytes: process.memoryUsage().heapUsed - before};
}

/** The median of several runs. */
export function measureMedian(runs: number, measure: () => number): number {
	const values = Array.from({length: runs}, () => measure()).toSorted((a, b) => a - b);
	return values[Math.floor(values.length / 2)] ?? 0;
}
