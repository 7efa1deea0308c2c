/** Tests of the watch for pauses of the process. */
import {describe, it} from 'node:test';
import type {Instant} from '@rhubarblever/core';
import {expect} from 'earl';
import {PauseWatch} from './pause-watch.js';

const startAt = 1_000_000 as Instant;

function createAt(offsetMs: number): Instant {
	return (startAt + offsetMs) as Instant;
}

describe('the watch for pauses', () => {
	it('reports none while ticks come, even if they come somewhat late', () => {
		const watch = PauseWatch.create(startAt);
		for (let offsetMs = 200; offsetMs <= 10_000; offsetMs += 200) {
			expect(watch.takePause(createAt(offsetMs))).toEqual(undefined);
			watch.noteTick(createAt(offsetMs));
		}
	});

	it('reports a pause once, with the time of the last tick before it', () => {
		const watch = PauseWatch.create(startAt);
		watch.noteTick(createAt(50));
		expect(watch.takePause(createAt(1450))).toEqual(createAt(50));
		expect(watch.takePause(createAt(1451))).toEqual(undefined);
	});

	it('reports none if the clock was set back', () => {
		const watch = PauseWatch.create(startAt);
		expect(watch.takePause(createAt(-60_000))).toEqual(undefined);
		watch.noteTick(createAt(-60_000));
		expect(watch.takePause(createAt(-59_900))).toEqual(undefined);
	});
});
