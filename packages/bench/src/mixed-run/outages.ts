/** Tracks which workers are out of service by plan while the platform's ledger is replayed. */
import type {PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import {guardedPool, workers} from './fleet-shape.js';
import {formatTime} from './journal.js';
import type {Evidence} from './verdict.js';

export class PlannedOutages {
	static create({releasedAt}: Evidence): PlannedOutages {
		return new PlannedOutages(releasedAt);
	}

	/** By worker that is out: the ledger entry of the drain that took it out. */
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

	/** Describes the hosts that are out, each with the drain that took it out. */
	describeOut(): string {
		return this.listOut().map(hostId => {
			const {operationId, at} = this.out.get(hostId)!;
			return `${operationId} since ${formatTime(at)}`;
		}).join(', ');
	}

	/** Lists the hosts of the guarded pool that are out. */
	listOut(): string[] {
		return [...this.out.keys()].filter(hostId => this.pools.get(hostId) === guardedPool && !this.isReleased(hostId));
	}

	private isReleased(hostId: string): boolean {
		const [chainId = ''] = this.out.get(hostId)?.operationId?.split('.drain.') ?? [];
		return (this.releasedAt.get(chainId) ?? Number.POSITIVE_INFINITY) <= this.at;
	}
}
