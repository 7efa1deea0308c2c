/** An operator client: publishes records through ready entry hosts and retries unanswered ones with the same record id. */
import {
	type Balancer, sleep, type LocalEntryHost, type LocalFleet, type PublishableRecord,
} from '@rhubarblever/stand-ins';
import {waitForTimeout} from './timeout.js';

export type PublishVerdict = {readonly recordId: string; readonly offset: number; readonly outcome: {readonly verdict: string}};
type PublishAnswer = {readonly published: readonly PublishVerdict[]};

/** A pool as returned by `/v1/fleet`. */
export type PoolInForce = {readonly offset: number; readonly body: {readonly pool: string; readonly budget: {readonly minimumHealthyHosts: number}}};

export type FleetAnswer = {
	readonly nextOffset: number;
	readonly digest: string;
	readonly pools: readonly PoolInForce[];
	readonly poolHosts: ReadonlyArray<{readonly hostId: string; readonly pool: string}>;
	readonly jobs: ReadonlyArray<{readonly jobId: string; readonly step: string; readonly runs: number}>;
	readonly waves: ReadonlyArray<{readonly waveId: string; readonly status: string; readonly hosts: ReadonlyArray<{readonly hostId: string; readonly state: string}>}>;
};

const callTimeoutMs = 8000;
const retryMs = 500;

/** Reads the fleet state of an entry host; undefined if it does not answer in time. */
export async function readFleet(fleet: LocalFleet, host: LocalEntryHost, timeoutMs = callTimeoutMs): Promise<FleetAnswer | undefined> {
	const answer = fleet.fetchFleet(host).catch(() => undefined);
	return Promise.race([answer as Promise<FleetAnswer | undefined>, waitForTimeout(timeoutMs)]);
}

export class Operator {
	static create(fleet: LocalFleet, balancer: Balancer): Operator {
		return new Operator(fleet, balancer);
	}

	private calls = 0;

	private constructor(private readonly fleet: LocalFleet, private readonly balancer: Balancer) {}

	/** Selects a ready entry host, in turn. */
	chooseHost(): LocalEntryHost {
		const ready = this.balancer.list();
		this.calls += 1;
		return ready[this.calls % ready.length]!;
	}

	async read(host: LocalEntryHost = this.chooseHost()): Promise<FleetAnswer | undefined> {
		return readFleet(this.fleet, host);
	}

	/** Publishes once; undefined if the call was refused or not answered. */
	async publishOnce(records: readonly PublishableRecord[], host: LocalEntryHost = this.chooseHost()): Promise<readonly PublishVerdict[] | undefined> {
		const answer = this.fleet.publish(records, host).then(body => (body as PublishAnswer).published).catch(() => undefined);
		return Promise.race([answer, waitForTimeout(callTimeoutMs)]);
	}

	/** Publishes the same records repeatedly until they have verdicts; undefined on timeout. */
	async publish(records: readonly PublishableRecord[], timeoutMs: number): Promise<readonly PublishVerdict[] | undefined> {
		const deadline = Date.now() + timeoutMs;
		while (Date.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop
			const verdicts = await this.publishOnce(records);
			if (verdicts) {
				return verdicts;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(retryMs);
		}

		return undefined;
	}
}
