/** Requests that one client sends ahead on its connection, and clients that stall while their host stops. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {standInQueue, waitUntil} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {createJobId, EntryHosts, type EntryHost} from '../integration/entry-hosts.js';
import {Crowd} from './crowd.js';
import {createChunkedBody, formatHead} from './payloads.js';

const answerTimeoutMs = 10_000;
const rounds = 10;
const stalledClients = 20;

describe('an entry host', () => {
	let fleet: EntryHosts;
	let host: EntryHost;

	before(async () => {
		fleet = await EntryHosts.start({hosts: 1, workers: 1, runMs: 50});
		host = fleet.hosts[0]!;
	});

	after(async () => {
		await fleet.close();
	});

	/** Sends text on a new connection; resolves to the statuses of its answers once there are as many as expected, or to those so far. */
	async function callAhead(text: string, expected: number): Promise<number[]> {
		const [ip = '', port = ''] = host.front.split(':');
		let received = '';
		const listStatuses = () => [...received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => Number(status));
		const socket = connect(Number(port), ip, () => {
			socket.write(text);
		});
		socket.on('data', bytes => {
			received += Buffer.from(bytes).toString('latin1');
		});
		socket.on('error', () => {
			socket.destroy();
		});
		await waitUntil('all requests are answered', async () => socket.destroyed || listStatuses().length >= expected, answerTimeoutMs).catch(() => undefined);
		socket.destroy();
		return listStatuses();
	}

	/** Guards against requests of one connection that are carried out at once: the job was denied before it was stored. */
	it('carries out a job and the requests for it sent ahead on one connection in their order', async () => {
		for (let round = 0; round < rounds; round++) {
			const path = `${standInQueue.pathPrefix}${createJobId(round)}`;
			const body = JSON.stringify({steps: [{count: 1, cpu: 10}]});
			const post = formatHead({method: 'POST', path, headers: [`Content-Length: ${body.length}`]}) + body;
			// eslint-disable-next-line no-await-in-loop
			expect(await callAhead(post + formatHead({path}) + formatHead({method: 'DELETE', path}), 3)).toEqual([200, 200, 200]);
		}
	});

	/** Guards against clients that stall within a body and use up the time in which a host may stop. */
	it('does not count clients that stall within a body as calls under way when it stops', async () => {
		const crowd = await Crowd.open({
			address: host.front, connections: stalledClients, opening: createChunkedBody(1000, 2), isReading: true,
		});
		await fleet.callJob(host, 'POST', createJobId(rounds));
		host.process.sendSignal('SIGTERM');
		const end = await host.process.waitForEnd();
		crowd.close();
		const callsUnderWay = /"callsUnderWay":(\d+)/.exec(host.process.output)?.[1];
		expect([end, callsUnderWay]).toEqual([{code: 0, signal: undefined}, '0']);
	});
});
