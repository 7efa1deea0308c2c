/** One direction of a proxied connection: takes chunks from its source and writes them to its sink as its fault says. */
import type {Socket} from 'node:net';

/** What happens to the bytes of one direction. `truncate` ends the connection after so many bytes more. */
export type FlowFault
	= | {readonly kind: 'pass'}
		| {readonly kind: 'freeze'}
		| {readonly kind: 'truncate'; readonly bytes: number};

type FlowHandler = (flow: ProxyFlow, chunk: Uint8Array) => void;

const flowHandlers: Readonly<Record<FlowFault['kind'], FlowHandler>> = {
	pass(flow, chunk) {
		flow.schedule(chunk);
	},
	freeze(flow, chunk) {
		flow.hold(chunk);
	},
	truncate(flow, chunk) {
		flow.scheduleTruncated(chunk);
	},
};

export class ProxyFlow {
	static create(source: Socket, sink: Socket, delayMs: number, fault: FlowFault): ProxyFlow {
		return new ProxyFlow(source, sink, delayMs, fault);
	}

	private held: Uint8Array[] = [];
	private remaining = 0;
	private lastDueAt = 0;
	private hasEnded = false;

	private constructor(private readonly source: Socket, private readonly sink: Socket, private delayMs: number, private fault: FlowFault) {
		this.setFault(fault);
		source.on('data', (chunk: Uint8Array) => {
			flowHandlers[this.fault.kind](this, chunk);
		});
		source.on('end', () => {
			this.hasEnded = true;
			this.end();
		});
		sink.on('drain', () => {
			if (!this.isFrozen) {
				source.resume();
			}
		});
	}

	get isFrozen(): boolean {
		return this.fault.kind === 'freeze';
	}

	/** Later chunks wait this long, in milliseconds. */
	setDelay(delayMs: number): void {
		this.delayMs = delayMs;
	}

	/** Sets what happens to the bytes from now on; bytes that a freeze held go first. */
	setFault(fault: FlowFault): void {
		this.fault = fault;
		this.remaining = fault.kind === 'truncate' ? fault.bytes : 0;
		if (fault.kind === 'freeze') {
			return;
		}

		const {held} = this;
		this.held = [];
		for (const chunk of held) {
			flowHandlers[fault.kind](this, chunk);
		}

		this.source.resume();
		if (this.hasEnded) {
			this.end();
		}
	}

	/** Keeps a chunk back and reads no more. */
	hold(chunk: Uint8Array): void {
		this.held.push(chunk);
		this.source.pause();
	}

	/** Writes a chunk after the delay. */
	schedule(chunk: Uint8Array): void {
		this.runDelayed(() => {
			if (this.isFrozen) {
				this.hold(chunk);
			} else if (this.sink.writable && !this.sink.write(chunk)) {
				this.source.pause();
			}
		});
	}

	/** Writes what is left of the allowed bytes, then ends both sides. */
	scheduleTruncated(chunk: Uint8Array): void {
		const allowed = chunk.subarray(0, this.remaining);
		this.remaining -= allowed.byteLength;
		this.schedule(allowed);
		if (this.remaining === 0) {
			this.runDelayed(() => {
				this.sink.end();
				this.source.destroy();
			});
		}
	}

	private end(): void {
		this.runDelayed(() => {
			if (!this.isFrozen) {
				this.sink.end();
			}
		});
	}

	private runDelayed(run: () => void): void {
		const now = Date.now();
		this.lastDueAt = Math.max(this.lastDueAt, now + this.delayMs);
		if (this.lastDueAt <= now) {
			run();
		} else {
			setTimeout(run, this.lastDueAt - now);
		}
	}
}
