/** The demo as a process: it sees all that it tells, and Ctrl-C ends it and all that it started. */
import {after, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {ProcessGroup} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const script = fileURLToPath(new URL('main.js', import.meta.url));
const startTimeoutMs = 60_000;
const interruptedCode = 130;

describe('the demo', () => {
	const processes = ProcessGroup.create();

	after(async () => {
		await processes.endAll();
	});

	it('ends by itself with code 0', async () => {
		const demo = processes.start('demo', script, []);
		const end = await demo.waitForEnd();
		expect(demo.output).toInclude('Done: all of it was seen.');
		expect(end.code).toEqual(0);
	});

	it('ends cleanly by Ctrl-C', async () => {
		const demo = processes.start('demo', script, []);
		await demo.waitForOutput('entry hosts are ready', startTimeoutMs);
		demo.signal('SIGINT');
		const end = await demo.waitForEnd();
		expect(end.code).toEqual(interruptedCode);
	});
});
