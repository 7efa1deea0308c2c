/** The entry hosts' program for the users' platform: where it lies, and its settings on the stand-in. */
import {fileURLToPath} from 'node:url';

/** Path of the program, as built by `npm run build`. */
export function findEntryProgram(): string {
	return fileURLToPath(new URL('../../../../platform/dist/main.js', import.meta.url));
}

/** Where an entry host listens (`ip:port`). */
export type EntryAddresses = {readonly front: string; readonly ready: string; readonly metrics: string};

/** The settings file of an entry host; `platformAddress` is that of the store and of the list of machines. */
export function describeSettings(index: number, platformAddress: string, {front, ready, metrics}: EntryAddresses): unknown {
	const [ip, port] = metrics.split(':');
	const metricsPort = Number(port);
	return {
		'node-name': `front-${index}`,
		zone: 'a',
		ip,
		listen: {front, ready},
		'internal-ports': [metricsPort, metricsPort],
		bounds: {},
		platform: {address: platformAddress},
		cloud: {address: platformAddress},
		'a-field-of-tomorrow': 1,
	};
}
