/** The demo as a process: all its steps succeed, and Ctrl-C ends it and all processes that it started. */
import {after, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {ProcessGroup, sleep, waitUntil} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {firstRecords} from './demo-fleet.js';
import {Demo} from './demo.js';

const script = fileURLToPath(new URL('main.js', import.meta.url));
const startTimeoutMs = 60_000;
const interruptedCode = 130;

describe('the demo', () => {
	const processes = ProcessGroup.create();

	after(async () => {
		await processes.endAll();
	});

	it('runs all steps and exits with code 0', async () => {
		const demo = processes.start('demo', script, []);
		const end = await demo.waitForEnd();
		expect(demo.output).toInclude('Done: all of it was seen.');
		expect(end.code).toEqual(0);
	});

	it('a stop while requests are in flight ends them', async () => {
		const demo = await Demo.create();
		await demo.publish(firstRecords);
		demo.startRequests();
		await waitUntil('a request has ended', async () => demo.outcomes.length > 0, startTimeoutMs);
		await demo.stop();
		const ended = demo.outcomes.length;
		await sleep(300);
		expect(demo.outcomes.length).toEqual(ended);
	});

	it('exits cleanly on Ctrl-C', async () => {
		const demo = processes.start('demo', script, []);
		await demo.waitForOutput('entry hosts are ready', startTimeoutMs);
		demo.sendSignal('SIGINT');
		const end = await demo.waitForEnd();
		expect(end.code).toEqual(interruptedCode);
	});
});
