/** State of the platform test double, without HTTP: log streams, host list, workers, faults and ledger. */
import {PlatformFaults} from './faults.js';
import {HostList} from './host-list.js';
import {PlatformLedger} from './ledger.js';
import {LogStream} from './log-stream.js';
import {WorkerTable} from './workers.js';

export class Platform {
	static create(): Platform {
		return new Platform();
	}

	readonly ledger = PlatformLedger.create();
	readonly faults = PlatformFaults.create();
	readonly workers = WorkerTable.create(this.ledger, () => this.faults.settings.rebootMs);
	readonly hostList = HostList.create(this.workers);
	private readonly streams = new Map<string, LogStream>();

	private constructor() {}

	/** The stream of a name, created on first use; applies the retention before it returns it. */
	getStream(name: string): LogStream {
		const stream = this.streams.get(name) ?? LogStream.create();
		this.streams.set(name, stream);
		stream.expire(this.faults.settings.retention, Date.now());
		return stream;
	}
}
