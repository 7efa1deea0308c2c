/** One direction of a proxied connection: reads chunks from the source socket and writes them to the sink socket, subject to the current fault. */
import type {Socket} from 'node:net';

/** How the bytes of one direction are handled. `truncate` ends the connection after `bytes` further bytes. */
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

	private heldChunks: Uint8Array[] = [];
	private remainingBytes = 0;
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

	/** Sets the delay of later chunks, in milliseconds. */
	setDelay(delayMs: number): void {
		this.delayMs = delayMs;
	}

	/** Sets the fault. If it is not a freeze, chunks that a previous freeze held back are handled first. */
	setFault(fault: FlowFault): void {
		this.fault = fault;
		this.remainingBytes = fault.kind === 'truncate' ? fault.bytes : 0;
		if (fault.kind === 'freeze') {
			return;
		}

		const {heldChunks} = this;
		this.heldChunks = [];
		for (const chunk of heldChunks) {
			flowHandlers[fault.kind](this, chunk);
		}

		this.source.resume();
		if (this.hasEnded) {
			this.end();
		}
	}

	/** Holds a chunk back and stops reading from the source. */
	hold(chunk: Uint8Array): void {
		this.heldChunks.push(chunk);
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

	/** Writes a chunk up to the remaining number of bytes; once none remain, ends the sink and closes the source. */
	scheduleTruncated(chunk: Uint8Array): void {
		const allowed = chunk.subarray(0, this.remainingBytes);
		this.remainingBytes -= allowed.byteLength;
		this.schedule(allowed);
		if (this.remainingBytes === 0) {
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
