/** Collects the body of a request in one buffer, so that a body in many small chunks takes no more memory than its bytes. */
import {Buffer} from 'node:buffer';

const firstCapacityBytes = 4096;
const growthFactor = 4;

export class BodyBuffer {
	/** `maxBytes`: the most that the body may hold, its announced length if there is one. */
	static create(maxBytes: number): BodyBuffer {
		return new BodyBuffer(maxBytes);
	}

	private buffer = Buffer.alloc(0);
	private size = 0;

	private constructor(private readonly maxBytes: number) {}

	/** Bytes of memory taken. */
	get capacity(): number {
		return this.buffer.length;
	}

	/** False, and nothing is added, if the body would become too large. */
	append(chunk: Uint8Array): boolean {
		const size = this.size + chunk.length;
		if (size > this.maxBytes) {
			return false;
		}

		if (size > this.buffer.length) {
			const grown = Buffer.allocUnsafeSlow(Math.min(this.maxBytes, Math.max(firstCapacityBytes, size, this.buffer.length * growthFactor)));
			this.buffer.copy(grown, 0, 0, this.size);
			this.buffer = grown;
		}

		this.buffer.set(chunk, this.size);
		this.size = size;
		return true;
	}

	/** Returns the body; it still counts as memory taken until `clear`. */
	finish(): Uint8Array {
		return this.buffer.subarray(0, this.size);
	}

	clear(): void {
		this.buffer = Buffer.alloc(0);
		this.size = 0;
	}
}
