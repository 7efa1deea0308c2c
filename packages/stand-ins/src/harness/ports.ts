/** Free loopback addresses for tests: each process is given its own port. */
import {createServer} from 'node:net';

/** Asks the operating system for free ports on 127.0.0.1, all different. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => new Promise<number>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			resolve(typeof address === 'object' && address ? address.port : 0);
		});
	})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
