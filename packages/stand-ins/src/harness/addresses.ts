/** Loopback addresses for tests: each test process uses its own IP, derived from its process id, so that tests that run in parallel never share an address. */
import process from 'node:process';

/** Above 10080, which fetch blocks as an unsafe port. */
const firstPort = 10_100;
let nextPort = firstPort;

/** The loopback IP of this test process. */
export function getOwnIp(): string {
	const high = 64 + (Math.floor(process.pid / 16_384) % 128);
	const middle = Math.floor(process.pid / 64) % 256;
	const low = ((process.pid % 64) * 4) + 1;
	return `127.${high}.${middle}.${low}`;
}

/** Allocates an address (`ip:port`) that this process has not used before. */
export function takeAddress(): string {
	nextPort += 1;
	return `${getOwnIp()}:${nextPort}`;
}
