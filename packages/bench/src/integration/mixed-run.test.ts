/** A short mixed run with real processes: a few kinds of faults with one seed, under the same checks as the long run. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createFaultTable} from '../mixed-run/fault-kinds.js';
import {runMixed} from '../mixed-run/mixed-run.js';
import {drawSchedule} from '../mixed-run/schedule.js';

const seed = 11;
const entryHostsPerZone = 1;
const durationMs = 7000;
const calmTailMs = 5000;
const meanGapMs = 900;
const kinds = ['entry-kill', 'entry-replace', 'zone-cut-from-platform', 'platform-resets', 'target-cut', 'target-crash-during', 'worker-fails'];

describe('the mixed run', () => {
	const fullTable = createFaultTable(entryHostsPerZone);
	const table = Object.fromEntries(kinds.map(kind => [kind, {...fullTable[kind]!, shortestMs: 300, longestMs: 3000}]));
	const schedule = drawSchedule({seed, durationMs, meanGapMs}, table);

	it('draws the same schedule for the same seed, with each kind of fault in it', () => {
		expect(drawSchedule({seed, durationMs, meanGapMs}, table)).toEqual(schedule);
		expect(drawSchedule({seed: seed + 1, durationMs, meanGapMs}, table)).not.toEqual(schedule);
		expect(new Set(schedule.map(({kind}) => kind)).size).toEqual(kinds.length);
	});

	it('violates no guarantee under a few kinds of faults', async () => {
		const result = await runMixed({
			seed, durationMs, calmTailMs, entryHostsPerZone, table, schedule, meanRate: 6, operations: ['races', 'jobs'], writeLine() {},
		});
		expect(result.verdicts.filter(({isKept}) => !isKept)).toEqual([]);
		expect(result.neverApplied).toEqual([]);
		expect(result.load.results.good).toBeGreaterThan(50);
	});
});
