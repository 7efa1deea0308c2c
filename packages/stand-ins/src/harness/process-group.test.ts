/** The processes of a group are killed when a signal ends the process that started them. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {takeAddress} from './addresses.js';
import {waitUntil} from './process-group.js';
import {daemonScript} from './scripts.js';

const timeoutMs = 5000;
const groupModule = new URL('process-group.js', import.meta.url).href;

/** A program that starts an entry host in a group, prints the entry host's process id and keeps running. */
function createProgram(): string {
	const flags = [
		'--host-id',
		'entry-1',
		'--availability-zone',
		'zone-a',
		'--listen',
		takeAddress(),
		'--platform',
		takeAddress(),
		'--operator-token',
		'operator-token',
		'--peer-token',
		'peer-token',
	];
	return `import {ProcessGroup} from '${groupModule}';
		const host = ProcessGroup.create().start('entry-1', ${JSON.stringify(daemonScript)}, ${JSON.stringify(flags)});
		await host.waitForOutput('listening', ${timeoutMs});
		process.stdout.write(String(host.child.pid));
		setInterval(() => undefined, 1000);`;
}

function isAlive(pid: number): boolean {
	try {
		return process.kill(pid, 0);
	} catch {
		return false;
	}
}

describe('a group of processes', () => {
	for (const [signal, exitCode] of [['SIGTERM', 143], ['SIGINT', 130]] as const) {
		it(`leaves no process running when ${signal} ends its parent`, async () => {
			const parent = spawn(process.execPath, ['--input-type=module', '-e', createProgram()], {stdio: ['ignore', 'pipe', 'inherit']});
			const [text] = await once(parent.stdout, 'data') as [Uint8Array];
			const pid = Number(text.toString());
			expect(isAlive(pid)).toEqual(true);
			parent.kill(signal);
			await once(parent, 'exit');
			try {
				await waitUntil('the entry host has ended', async () => !isAlive(pid), timeoutMs);
				expect(parent.exitCode).toEqual(exitCode);
			} finally {
				if (isAlive(pid)) {
					process.kill(pid, 'SIGKILL');
				}
			}
		});
	}
});
