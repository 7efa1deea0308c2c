/** Finds where the head of an HTTP message, or a body in chunks, may end: at an empty line. */

const lineFeed = 10;
const carriageReturn = 13;

export class MessageScanner {
	static create(): MessageScanner {
		return new MessageScanner();
	}

	/** Whether the present line has a byte other than a carriage return. */
	private hasText = false;

	private constructor() {}

	/** Number of bytes up to and with the first empty line, or of all bytes if there is none. Continues where the previous bytes ended. */
	findEnd(bytes: Uint8Array): number {
		let lineStart = 0;
		for (let lineEnd = bytes.indexOf(lineFeed); lineEnd !== -1; lineEnd = bytes.indexOf(lineFeed, lineStart)) {
			const isEmpty = !this.hasText && hasNoText(bytes, lineStart, lineEnd);
			this.hasText = false;
			lineStart = lineEnd + 1;
			if (isEmpty) {
				return lineStart;
			}
		}

		this.hasText ||= !hasNoText(bytes, lineStart, bytes.length);
		return bytes.length;
	}
}

function hasNoText(bytes: Uint8Array, start: number, end: number): boolean {
	return end === start || (end === start + 1 && bytes[start] === carriageReturn);
}
