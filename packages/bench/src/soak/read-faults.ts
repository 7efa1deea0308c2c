/** Reads of single hosts that are old when they arrive, in small pages: what a store that is slow by itself does to them. */
import type {JobPlatform, ReadDelay} from '@rhubarblever/stand-ins';

/** About 20 jobs. */
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
		platform.drawReadDelay = ({entrance = ''}) => [...this.delays.get(entrance) ?? []].at(-1) ?? noDelay;
	}

	/** Delays the reads of a host, by its entrance; pages are small as long as any host's reads are delayed. Returns what ends it. */
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

	/** The store forgets the history of all streams; the newest record of each key stays. */
	dropHistories(): void {
		for (const stream of streams) {
			this.platform.log.dropHistory(stream);
		}
	}
}
