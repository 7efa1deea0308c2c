/** Samples the fleet state of every entry host during a run and restarts hosts that exit unexpectedly. */
import {
	sleep, type LocalEntryHost, type LocalFleet,
} from '@rhubarblever/stand-ins';
import type {Journal} from './journal.js';
import {readFleet, type FleetAnswer} from './operator.js';

const intervalMs = 400;
const readTimeoutMs = 2000;
const outputTail = 3000;

/** The last offset seen from one process. */
type LastSeen = {readonly pid: number | undefined; readonly nextOffset: number};

export class FleetMonitor {
	static create(fleet: LocalFleet, journal: Journal): FleetMonitor {
		return new FleetMonitor(fleet, journal);
	}

	/** Number of samples taken. */
	samples = 0;
	readonly offsetRegressions: string[] = [];
	readonly digestMismatches: string[] = [];
	private readonly digests = new Map<number, {readonly digest: string; readonly hostId: string}>();
	private readonly seen = new Map<string, LastSeen>();
	private readonly reportedExits = new Set<unknown>();
	private readonly follows: Array<Promise<void>>;
	private isStopping = false;

	private constructor(private readonly fleet: LocalFleet, private readonly journal: Journal) {
		this.follows = fleet.entryHosts.map(async host => this.follow(host));
	}

	async stop(): Promise<void> {
		this.isStopping = true;
		await Promise.all(this.follows);
	}

	private async follow(host: LocalEntryHost): Promise<void> {
		while (!this.isStopping) {
			const {pid} = host.running.child;
			// eslint-disable-next-line no-await-in-loop
			const answer = await readFleet(this.fleet, host, readTimeoutMs);
			if (answer && pid === host.running.child.pid) {
				this.recordSample(host.hostId, pid, answer);
			}

			// eslint-disable-next-line no-await-in-loop
			await this.restartIfEnded(host);
			// eslint-disable-next-line no-await-in-loop
			await sleep(intervalMs);
		}
	}

	private recordSample(hostId: string, pid: number | undefined, {nextOffset, digest}: FleetAnswer): void {
		this.samples += 1;
		const last = this.seen.get(hostId);
		if (last && last.pid === pid && nextOffset < last.nextOffset) {
			this.offsetRegressions.push(`${hostId} fell from ${last.nextOffset} to ${nextOffset}`);
		}

		this.seen.set(hostId, {pid, nextOffset});
		const known = this.digests.get(nextOffset);
		if (known && known.digest !== digest) {
			this.digestMismatches.push(`at offset ${nextOffset} ${hostId} has ${digest}, ${known.hostId} has ${known.digest}`);
		}

		this.digests.set(nextOffset, known ?? {digest, hostId});
	}

	/** Records and restarts a process that exited without a signal or a planned stop. */
	private async restartIfEnded(host: LocalEntryHost): Promise<void> {
		const {running} = host;
		const code = running.child.exitCode;
		if (code === null || code === 0 || this.reportedExits.has(running)) {
			return;
		}

		this.reportedExits.add(running);
		const at = Date.now();
		this.journal.unexpectedExits.push({
			hostId: host.hostId, at, code, output: running.output.slice(-outputTail),
		});
		await this.fleet.restartEntryHost(this.fleet.entryHosts.indexOf(host));
		this.journal.unavailabilities.push({
			hostId: host.hostId, address: host.address, from: at - intervalMs - readTimeoutMs, to: Date.now(),
		});
	}
}
