/** Bytes that a client has sent and that the HTTP server has not been given yet, in the order of their arrival. */
import {MessageScanner} from './message-scanner.js';

export class IncomingBytes {
	static create(): IncomingBytes {
		return new IncomingBytes();
	}

	size = 0;
	private readonly pieces: Uint8Array[] = [];
	private scanner = MessageScanner.create();

	private constructor() {}

	add(bytes: Uint8Array): void {
		this.pieces.push(bytes);
		this.size += bytes.length;
	}

	clear(): void {
		this.pieces.length = 0;
		this.size = 0;
	}

	/** The next bytes are the beginning of a request. */
	startMessage(): void {
		this.scanner = MessageScanner.create();
	}

	/** Takes bytes up to and with the next empty line, or all that came in one piece. */
	takeToEmptyLine(): Uint8Array {
		const [first = new Uint8Array(0)] = this.pieces;
		return this.take(this.scanner.findEnd(first));
	}

	/** Takes no more bytes than came in one piece. */
	takeAtMost(length: number): Uint8Array {
		const [first = new Uint8Array(0)] = this.pieces;
		return this.take(Math.min(length, first.length));
	}

	private take(length: number): Uint8Array {
		const first = this.pieces[0]!;
		this.size -= length;
		if (length === first.length) {
			this.pieces.shift();
			return first;
		}

		this.pieces[0] = first.subarray(length);
		return first.subarray(0, length);
	}
}
