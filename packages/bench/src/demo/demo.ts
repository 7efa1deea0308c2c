/** The state of a running demo: its fleet, its load and its console output. */
import process from 'node:process';
import {
	LocalFleet, planLoad, runLoad, type LoadOutcome, type LocalEntryHost, type PublishableRecord,
} from '@rhubarblever/stand-ins';
import {demoClasses, demoShape, services} from './demo-fleet.js';

/** Mean requests per second for each service. */
const meanRate = 20;
const longestLoadMs = 120_000;
const seed = 1;

export class Demo {
	static async create(): Promise<Demo> {
		return new Demo(await LocalFleet.create(demoShape));
	}

	readonly outcomes: LoadOutcome[] = [];
	private readonly startedAt = Date.now();
	private readonly loadAbort = new AbortController();
	private load: Promise<unknown> | undefined;
	private callable: LocalEntryHost[];

	private constructor(readonly fleet: LocalFleet) {
		this.callable = [...fleet.entryHosts];
	}

	/** Writes a line to the console, with the seconds since the start. */
	writeLine(text: string): void {
		const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(1).padStart(5);
		process.stdout.write(`${seconds} s  ${text}\n`);
	}

	/** Starts to send requests to the callable entry hosts, as a balancer would. */
	startRequests(): void {
		const planned = planLoad({
			seed, services, meanRate, durationMs: longestLoadMs, burstMs: 1000, calmMs: longestLoadMs, classes: demoClasses, teams: 2,
		});
		this.load = runLoad({
			planned,
			signal: this.loadAbort.signal,
			listEntryHosts: () => this.callable.map(host => host.address),
			onOutcome: outcome => {
				this.outcomes.push(outcome);
			},
		});
	}

	/** Publishes records through the first callable entry host. */
	async publish(records: readonly PublishableRecord[]): Promise<void> {
		await this.fleet.publish(records, this.callable[0]);
	}

	/** Stops all processes; requests in flight fail. */
	async stop(): Promise<void> {
		this.loadAbort.abort();
		await this.fleet.stop();
		await this.load;
	}

	/** Stops sending requests and waits for the remaining answers. */
	async finishRequests(): Promise<void> {
		this.loadAbort.abort();
		await this.load;
	}

	/** Stops sending new requests to a host. */
	removeCallable(host: LocalEntryHost): void {
		this.callable = this.callable.filter(other => other.hostId !== host.hostId);
	}

	addCallable(host: LocalEntryHost): void {
		this.callable.push(host);
	}

	listCallable(): readonly LocalEntryHost[] {
		return this.callable;
	}
}
