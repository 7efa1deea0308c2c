/** Starts child processes for tests, the demo and the bench, and ends them by their process ids. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

/** By default these signals end a process without its `exit` event, whose handler kills the child processes. The exit codes are those of a shell. */
const endSignals = [['SIGINT', 130], ['SIGTERM', 143]] as const;

/** Length of the end of a process's output that error messages include. */
const outputTailLength = 2000;

/** How a process ended. */
export type ProcessEnd = {readonly code: number | undefined; readonly signal: string | undefined};

export class RunningProcess {
	static create(name: string, script: string, flags: readonly string[], environment: NodeJS.ProcessEnv): RunningProcess {
		const child = spawn(process.execPath, [script, ...flags], {
			env: {...process.env, ...environment},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		return new RunningProcess(name, child);
	}

	/** Everything written to standard output and standard error so far. */
	output = '';

	private constructor(readonly name: string, readonly child: ChildProcess) {
		for (const stream of [child.stdout, child.stderr]) {
			stream?.setEncoding('utf8');
			stream?.on('data', (text: string) => {
				this.output += text;
			});
		}
	}

	get isRunning(): boolean {
		return this.child.exitCode === null && this.child.signalCode === null;
	}

	sendSignal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}

	/** Describes the process's exit and the end of its output. */
	describeEnd(): string {
		const {exitCode, signalCode} = this.child;
		return `${this.name} ended with ${signalCode ?? `code ${exitCode}`}; it wrote: ${this.output.slice(-outputTailLength)}`;
	}

	/** Resolves when the process has ended. */
	async waitForEnd(): Promise<ProcessEnd> {
		if (this.isRunning) {
			await once(this.child, 'exit');
		}

		return {code: this.child.exitCode ?? undefined, signal: this.child.signalCode ?? undefined};
	}

	/** Resolves when the output contains a text; throws if the process ends first or the timeout passes. */
	async waitForOutput(text: string, timeoutMs: number): Promise<void> {
		const deadline = Date.now() + timeoutMs;
		while (!this.output.includes(text)) {
			if (!this.isRunning || Date.now() > deadline) {
				throw new Error(`${this.name} did not write '${text}'; it wrote: ${this.output.slice(-outputTailLength)}`);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(20);
		}
	}
}

export class ProcessGroup {
	static create(): ProcessGroup {
		return new ProcessGroup();
	}

	private readonly processes: RunningProcess[] = [];

	private constructor() {
		process.once('exit', () => {
			this.killAll();
		});
		for (const [signal, exitCode] of endSignals) {
			process.once(signal, () => {
				process.exit(exitCode);
			});
		}
	}

	start(name: string, script: string, flags: readonly string[], environment: NodeJS.ProcessEnv = {}): RunningProcess {
		const started = RunningProcess.create(name, script, flags, environment);
		this.processes.push(started);
		return started;
	}

	/** Kills all processes that still run and waits until they have ended. */
	async endAll(): Promise<void> {
		this.killAll();
		await Promise.all(this.processes.map(async running => running.waitForEnd()));
	}

	private killAll(): void {
		for (const running of this.processes) {
			if (running.isRunning) {
				running.sendSignal('SIGKILL');
			}
		}
	}
}

export async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Polls a check until it is true; the timeout only limits how long a failing test takes. */
export async function waitUntil(condition: string, check: () => Promise<boolean>, timeoutMs: number): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	// eslint-disable-next-line no-await-in-loop
	while (!await check().catch(() => false)) {
		if (Date.now() > deadline) {
			throw new Error(`timed out after ${timeoutMs} ms waiting until: ${condition}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(50);
	}
}
