/** TWICE: seeds of the mixed storm that still violate an invariant; KNOWN-RED.txt describes them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runMixedStorm} from './testing/mixed-storm.js';

const seeds: readonly number[] = [100_099, 100_117];
const changes = {hostEndPercent: 25, faults: {delayedPercent: 3, lostPercent: 3}};

describe('workers and hosts that end again and again', () => {
	for (const seed of seeds) {
		it(`start no task after its end as done was acknowledged: seed ${seed}`, () => {
			expect(runMixedStorm(seed, changes).violations).toEqual([]);
		});
	}
});
