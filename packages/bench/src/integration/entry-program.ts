/** The entry host program for the users' platform: its path, its settings for the stand-in, and its readiness and leadership. */
import {fileURLToPath} from 'node:url';
import {request} from 'undici';

/** Path of the program, as built by `npm run build`. */
export function findEntryProgram(): string {
	return fileURLToPath(new URL('../../../../platform/dist/main.js', import.meta.url));
}

/** Where an entry host listens (`ip:port`). */
export type EntryAddresses = {readonly front: string; readonly ready: string; readonly metrics: string};

/** True if an entry host reports that it is ready; `signal` aborts a call that gets no answer. */
export async function isHostReady({ready}: EntryAddresses, signal?: AbortSignal): Promise<boolean> {
	const answer = await request(`http://${ready}/v1/ready`, signal && {signal});
	await answer.body.dump();
	return answer.statusCode === 200;
}

/** The first of the given entry hosts whose metrics say that it is the leader. */
export async function findLeadingHost<Host extends EntryAddresses>(hosts: readonly Host[], createSignal: () => AbortSignal | undefined): Promise<Host | undefined> {
	for (const host of hosts) {
		const signal = createSignal();
		// eslint-disable-next-line no-await-in-loop
		const text = await request(`http://${host.metrics}/metrics`, signal && {signal}).then(async answer => answer.body.text()).catch(() => '');
		if (/^rhubarblever_leads 1$/m.test(text)) {
			return host;
		}
	}

	return undefined;
}

/** The settings of an entry host; `platformAddress` is the address of both the store and the machine API. */
export function describeSettings(index: number, platformAddress: string, {front, ready, metrics}: EntryAddresses, changes: Readonly<Record<string, unknown>> = {}): unknown {
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
		...changes,
	};
}
