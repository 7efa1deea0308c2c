/** The load tool: it plans the users' load pattern, and classifies answers. */
import {createServer, type Server} from 'node:http';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {takeAddress} from '../harness/addresses.js';
import {listen, readBytes} from '../http.js';
import {createAnswer} from '../target/answer.js';
import {defaultClasses, planLoad, type LoadShape} from './arrivals.js';
import {describeLoadRun} from './load-report.js';
import {runLoad} from './load-run.js';

const shape: LoadShape = {
	seed: 7, services: ['a', 'b', 'c', 'd', 'e'], meanRate: 100, durationMs: 60_000, burstMs: 2000, calmMs: 10_000, classes: defaultClasses, teams: 3,
};

describe('planLoad', () => {
	it('gives the same plan for the same seed and a different one for a different seed', () => {
		expect(planLoad(shape)).toEqual(planLoad(shape));
		expect(planLoad({...shape, seed: 8})).not.toEqual(planLoad(shape));
	});

	it('plans five times the mean rate in bursts and a twentieth of it while another service bursts', () => {
		const planned = planLoad(shape);
		const count = (phase: string) => planned.filter(request => request.phase === phase).length;
		const calmExpected = 5 * 100 * 10;
		const burstExpected = 500 * 50;
		const quietExpected = 4 * 5 * 50;
		expect(Math.abs(count('calm') - calmExpected) / calmExpected).toBeLessThan(0.1);
		expect(Math.abs(count('own-burst') - burstExpected) / burstExpected).toBeLessThan(0.1);
		expect(Math.abs(count('other-burst') - quietExpected) / quietExpected).toBeLessThan(0.2);
	});

	it('has a unique request id for each request, and sorts the requests by arrival', () => {
		const planned = planLoad(shape);
		expect(new Set(planned.map(request => request.requestId)).size).toEqual(planned.length);
		expect(planned.every((request, index) => index === 0 || (planned[index - 1]?.arrivalAt ?? 0) <= request.arrivalAt)).toEqual(true);
	});
});

describe('runLoad', () => {
	let server: Server;
	let address: string;

	before(async () => {
		address = takeAddress();
		const [ip = '', port = ''] = address.split(':');
		let count = 0;
		server = createServer((request, response) => {
			void (async () => {
				const body = await readBytes(request);
				const requestId = String(request.headers['idempotency-key']);
				count += 1;
				const answers = [
					() => response.end(createAnswer(requestId, body)),
					() => response.end(createAnswer('another', body)),
					() => response.writeHead(503, {'content-type': 'application/problem+json'}).end('{"type":"queue-full","family":"refused"}'),
					() => request.socket.destroy(),
				];
				answers[count % answers.length]?.();
			})();
		});
		await listen(server, ip, Number(port));
	});

	after(() => {
		server.close();
		server.closeAllConnections();
	});

	it('distinguishes good, wrong, refused and broken answers', async () => {
		const planned = planLoad({
			...shape, services: ['a'], durationMs: 1000, calmMs: 1000, meanRate: 40,
		}).slice(0, 20);
		const summary = describeLoadRun(await runLoad({planned, listEntryHosts: () => [address]}));
		expect(summary.sent).toEqual(20);
		expect(summary.results).toEqual({
			good: 5, late: 0, wrong: 5, refused: 5, unknown: 0, failed: 0, broken: 5,
		});
		expect(summary.reasons['refused: queue-full']).toEqual(5);
	});
});
