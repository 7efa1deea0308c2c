/** An operator: publishes records through entry hosts that are ready, and repeats what got no answer under the same record id. */
import {
	type Balancer, sleep, type LocalEntryHost, type LocalFleet, type PublishableRecord,
} from '@rhubarblever/stand-ins';
import {waitUntilGivenUp} from './give-up.js';

export type Verdict = {readonly recordId: string; readonly offset: number; readonly outcome: {readonly verdict: string}};
type PublishAnswer = {readonly published: readonly Verdict[]};

/** A contested pool or any other as `/v1/fleet` tells it. */
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

/** Reads the fleet of an entry host; undefined if it does not answer in time. */
export async function readFleet(fleet: LocalFleet, host: LocalEntryHost, timeoutMs = callTimeoutMs): Promise<FleetAnswer | undefined> {
	const answer = fleet.fetchFleet(host).catch(() => undefined);
	return Promise.race([answer as Promise<FleetAnswer | undefined>, waitUntilGivenUp(timeoutMs)]);
}

export class Operator {
	static create(fleet: LocalFleet, balancer: Balancer): Operator {
		return new Operator(fleet, balancer);
	}

	private calls = 0;

	private constructor(private readonly fleet: LocalFleet, private readonly balancer: Balancer) {}

	/** An entry host that is ready; another one with each call. */
	chooseHost(): LocalEntryHost {
		const ready = this.balancer.list();
		this.calls += 1;
		return ready[this.calls % ready.length]!;
	}

	async read(host: LocalEntryHost = this.chooseHost()): Promise<FleetAnswer | undefined> {
		return readFleet(this.fleet, host);
	}

	/** Publishes once; undefined if there was no answer or a refusal. */
	async publishOnce(records: readonly PublishableRecord[], host: LocalEntryHost = this.chooseHost()): Promise<readonly Verdict[] | undefined> {
		const answer = this.fleet.publish(records, host).then(body => (body as PublishAnswer).published).catch(() => undefined);
		return Promise.race([answer, waitUntilGivenUp(callTimeoutMs)]);
	}

	/** Publishes the same records again until they have verdicts; undefined if that is not so in time. */
	async publish(records: readonly PublishableRecord[], timeoutMs: number): Promise<readonly Verdict[] | undefined> {
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
