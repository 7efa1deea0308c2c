/** Loopback addresses for tests: each test process has an IP of its own, made from its process id, so that tests side by side never meet. */
import process from 'node:process';

/** Above 10080, which fetch refuses to call. */
const firstPort = 10_100;
let nextPort = firstPort;

/** The loopback IP of this test process. */
export function getOwnIp(): string {
	const high = 64 + (Math.floor(process.pid / 16_384) % 128);
	const middle = Math.floor(process.pid / 64) % 256;
	const low = ((process.pid % 64) * 4) + 1;
	return `127.${high}.${middle}.${low}`;
}

/** An address (`ip:port`) that this process has not given out before. */
export function takeAddress(): string {
	nextPort += 1;
	return `${getOwnIp()}:${nextPort}`;
}
