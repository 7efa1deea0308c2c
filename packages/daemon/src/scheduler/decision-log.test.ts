/** Log lines are rate-limited, and a stalled reader of standard output does not block the process. */
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {BoundedOutput} from './bounded-output.js';
import {DecisionLog} from './decision-log.js';

const writeDelayMs = 100;

describe('the decision log', () => {
	it('writes the first lines of an event in each window and counts the rest', async () => {
		let text = '';
		const output = BoundedOutput.create((chunk, done) => {
			text += new TextDecoder().decode(chunk);
			done();
		});
		const log = DecisionLog.create({host: 'h', output});
		for (let line = 0; line < 1000; line++) {
			log.note('often', {line});
		}

		log.note('rare', {jobId: 'j'});
		await sleep(writeDelayMs);
		const lines = text.trim().split('\n');
		expect(lines.length).toEqual(41);
		expect(JSON.parse(lines.at(-1)!)).toEqual(expect.subset({message: 'rare', jobId: 'j', host: 'h'}));
	});

	it('does not wait for a stalled reader and buffers a bounded number of lines', async () => {
		const output = BoundedOutput.create(() => {
			// A stalled reader: the write never completes.
		});
		const log = DecisionLog.create({host: 'h', output});
		for (let event = 0; event < 20_000; event++) {
			log.note(`event-${event}`, {text: 'x'.repeat(100)});
		}

		const dropped = output.droppedLines;
		await log.flush();
		expect(dropped > 10_000).toEqual(true);
	});
});
