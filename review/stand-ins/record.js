/** The record of a run of a case: what was sent, answered and run, with the time since the start of the script. */
import {appendFileSync, writeFileSync} from 'node:fs';

const startedAt = performance.now();

export function readSeconds() {
	return (performance.now() - startedAt) / 1000;
}

export class Record {
	constructor(path) {
		this.path = path;
		writeFileSync(path, '');
	}

	note(text) {
		appendFileSync(this.path, `${readSeconds().toFixed(3).padStart(8)} ${text}\n`);
	}
}
