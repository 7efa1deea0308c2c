/** One unexpected error does not end the process; a process that keeps failing ends. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {BoundedOutput} from './bounded-output.js';
import {DecisionLog} from './decision-log.js';
import {createMetrics} from './metrics.js';
import {UnexpectedErrors} from './unexpected-errors.js';

describe('unexpected errors', () => {
	it('are logged, and end the process only if there are many', async () => {
		let lines = '';
		let exits = 0;
		const output = BoundedOutput.create((chunk, done) => {
			lines += String(chunk);
			done();
		});
		const log = DecisionLog.create({host: 'h', output});
		const errors = UnexpectedErrors.create({
			log, metrics: createMetrics(), exit() {
				exits++;
			},
		});
		errors.handle(new TypeError('row is null'));
		await log.flush();
		expect(exits).toEqual(0);
		expect(lines.includes('row is null')).toEqual(true);
		for (let count = 0; count < 20; count++) {
			errors.handle('rejected');
		}

		expect(exits).toEqual(1);
	});
});
