/** Log lines are bounded, and a reader that stops holds nobody up. */
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {BoundedOutput} from './bounded-output.js';
import {DecisionLog} from './decision-log.js';

const gatherMs = 100;

describe('the decision log', () => {
	it('writes the first lines of an event and counts the rest', async () => {
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
		await sleep(gatherMs);
		const lines = text.trim().split('\n');
		expect(lines.length).toEqual(41);
		expect(JSON.parse(lines.at(-1)!)).toEqual(expect.subset({message: 'rare', jobId: 'j', host: 'h'}));
	});

	it('does not wait for a reader that stops, and keeps a bounded part', async () => {
		const output = BoundedOutput.create(() => {
			// The reader never takes the chunk.
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
