/** A writable stream without backpressure: when the buffer is full because the reader is slow, new lines are dropped and counted. */
import {Buffer} from 'node:buffer';
import {Writable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';

/** Writes a chunk, then calls `done`; `done` may never be called if the reader has stopped. */
export type ChunkWriter = (chunk: Uint8Array, done: (error?: Error) => void) => void;

const maxBufferedBytes = 1_048_576;
/** Lines are collected for this long and then written as one chunk. */
const writeDelayMs = 50;
const flushTimeoutMs = 300;
const flushPollMs = 10;

export class BoundedOutput extends Writable {
	static create(writeChunk: ChunkWriter): BoundedOutput {
		return new BoundedOutput(writeChunk);
	}

	droppedLines = 0;
	private lines: Uint8Array[] = [];
	private bufferedBytes = 0;
	private isWriting = false;
	private timer: NodeJS.Timeout | undefined;

	private constructor(private readonly writeChunk: ChunkWriter) {
		super({decodeStrings: true});
	}

	// The Node.js stream interface requires this name.
	// eslint-disable-next-line no-restricted-syntax
	override _write(chunk: Uint8Array, _encoding: BufferEncoding, callback: () => void): void {
		if (this.bufferedBytes + chunk.length > maxBufferedBytes) {
			this.droppedLines++;
		} else {
			this.lines.push(chunk);
			this.bufferedBytes += chunk.length;
			this.scheduleWrite();
		}

		callback();
	}

	/** Resolves once all buffered lines are written, or after `flushTimeoutMs`. */
	async flush(): Promise<void> {
		this.sendLines();
		for (let waitedMs = 0; waitedMs < flushTimeoutMs && (this.isWriting || this.lines.length > 0); waitedMs += flushPollMs) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(flushPollMs);
		}
	}

	private scheduleWrite(): void {
		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			this.sendLines();
		}, writeDelayMs);
	}

	private sendLines(): void {
		if (this.isWriting || this.lines.length === 0) {
			return;
		}

		if (this.droppedLines > 0) {
			this.lines.push(Buffer.from(`{"level":"warn","message":"log-lines-dropped","lines":${this.droppedLines}}\n`));
			this.droppedLines = 0;
		}

		const chunk = Buffer.concat(this.lines);
		this.lines = [];
		this.isWriting = true;
		this.writeChunk(chunk, () => {
			this.isWriting = false;
			this.bufferedBytes -= Math.min(this.bufferedBytes, chunk.length);
			this.sendLines();
		});
	}
}
