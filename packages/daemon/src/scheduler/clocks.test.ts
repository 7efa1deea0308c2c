/** The clock by which the age of a view is measured: a suspended host, or one whose wall clock is set, must never take its views for younger than they are. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ElapsedClock} from './clocks.js';

describe('the clock that counts suspensions', () => {
	function createClock() {
		const times = {steady: 0, wall: 1_800_000_000_000};
		const clock = ElapsedClock.create(() => times.steady, () => times.wall);
		const pass = (steadyMs: number, wallMs: number) => {
			times.steady += steadyMs;
			times.wall += wallMs;
			return clock.read();
		};

		return {pass};
	}

	/** Guards against a suspension that the monotonic clock does not count. */
	it('counts the time of a suspension', () => {
		const {pass} = createClock();
		pass(1000, 1000);
		expect(pass(0, 10_000)).toEqual(11_000);
		expect(pass(1000, 1000)).toEqual(12_000);
	});

	/** Guards against suspensions that stay unnoticed because each alone is too short. */
	it('counts many short suspensions', () => {
		const {pass} = createClock();
		let read = 0;
		for (let count = 0; count < 1000; count++) {
			read = pass(10, 30);
		}

		expect(read > 30_000 - 50).toEqual(true);
	});

	/** Guards against a suspension that hides behind a wall clock that was set back before. */
	it('never goes back and counts suspensions after the wall clock was set back', () => {
		const {pass} = createClock();
		expect(pass(1000, -3_600_000)).toEqual(1000);
		expect(pass(1000, 11_000)).toEqual(12_000);
	});

	/** Guards against a clock that runs ahead because the wall clock is read a little later at times. */
	it('does not add up the noise between its two readings', () => {
		const {pass} = createClock();
		let read = 0;
		for (let count = 0; count < 1000; count++) {
			read = pass(10, count % 2 === 0 ? 40 : -20);
		}

		expect(read).toEqual(10_000);
	});
});
