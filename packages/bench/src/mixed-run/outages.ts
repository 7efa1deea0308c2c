/** Which workers are out of service by plan, as the platform's ledger goes on. */
import type {PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import {guardedPool, workers} from './fleet-shape.js';
import {formatTime} from './journal.js';
import type {Evidence} from './verdict.js';

export class Outages {
	static create({releasedAt}: Evidence): Outages {
		return new Outages(releasedAt);
	}

	/** The drain that took each of them out. */
	readonly out = new Map<string, PlatformLedgerEntry>();
	readonly failedAt = new Map<string, number>();
	readonly pools = new Map<string, string>(workers.map(worker => [worker.hostId, guardedPool]));
	private at = 0;

	private constructor(private readonly releasedAt: Evidence['releasedAt']) {}

	note(entry: PlatformLedgerEntry): void {
		const {event, hostId, pool, at} = entry;
		this.at = at;
		if (event === 'drain-started') {
			this.out.set(hostId, entry);
		} else if (event === 'undrained' || (event === 'drain-failed' && !this.failedAt.has(hostId))) {
			this.out.delete(hostId);
		} else if (event === 'worker-failed') {
			this.failedAt.set(hostId, at);
		} else if (event === 'worker-healed') {
			this.failedAt.delete(hostId);
		} else if (event === 'pool-set' && pool !== undefined) {
			this.pools.set(hostId, pool);
		}
	}

	/** The hosts that are out, each with the drain that took it out, in words. */
	describeOut(): string {
		return this.listOut().map(hostId => {
			const {operationId, at} = this.out.get(hostId)!;
			return `${operationId} since ${formatTime(at)}`;
		}).join(', ');
	}

	/** Hosts of the guarded pool that are out. */
	listOut(): string[] {
		return [...this.out.keys()].filter(hostId => this.pools.get(hostId) === guardedPool && !this.isReleased(hostId));
	}

	private isReleased(hostId: string): boolean {
		const [chainId = ''] = this.out.get(hostId)?.operationId?.split('.drain.') ?? [];
		return (this.releasedAt.get(chainId) ?? Number.POSITIVE_INFINITY) <= this.at;
	}
}
