/** Makes the reads of single hosts return stale content in small pages, as a slow store does. */
import type {JobPlatform, ReadDelay} from '@rhubarblever/stand-ins';

/** Room for about 20 jobs. */
const smallReadBytes = 4000;
const smallNewestItems = 20;
const streams = ['keyed.intake', 'keyed.ledger', 'keyed.op', 'keyed.servers', 'keyed.status'];
const noDelay: ReadDelay = {beforeMs: 0, afterMs: 0};

export class ReadFaults {
	static create(platform: JobPlatform): ReadFaults {
		return new ReadFaults(platform);
	}

	private readonly delays = new Map<string, Set<ReadDelay>>();
	private readonly defaultPageLimits: JobPlatform['log']['pageLimits'];

	private constructor(private readonly platform: JobPlatform) {
		this.defaultPageLimits = {...platform.log.pageLimits};
		platform.drawReadDelay = ({endpoint = ''}) => [...this.delays.get(endpoint) ?? []].at(-1) ?? noDelay;
	}

	/** Delays the reads of the host that has this address of the store. Pages are small for all hosts while any host's reads are delayed. Returns a function that ends the delay. */
	delayReads(storeAddress: string, delay: ReadDelay): () => void {
		const hostDelays = this.delays.get(storeAddress) ?? new Set<ReadDelay>();
		this.delays.set(storeAddress, hostDelays);
		hostDelays.add(delay);
		Object.assign(this.platform.log.pageLimits, {readBytes: smallReadBytes, newestItems: smallNewestItems});
		return () => {
			hostDelays.delete(delay);
			if ([...this.delays.values()].every(delays => delays.size === 0)) {
				Object.assign(this.platform.log.pageLimits, this.defaultPageLimits);
			}
		};
	}

	/** Makes the store drop the history of all streams; the newest record of each key stays. */
	dropHistories(): void {
		for (const stream of streams) {
			this.platform.log.dropHistory(stream);
		}
	}
}
