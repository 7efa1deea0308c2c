/**
 * A job of six subtasks that last, one on each of six runners. One of the runners crashes five times, six seconds apart. The
 * five other subtasks, at work on sound runners, must stay, and the job must not be shown as failed.
 */
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {Deployment} from '../stand-ins/deployment.js';
import {createLastingJob, createShortJob} from '../stand-ins/jobs.js';
import {sleep} from '../stand-ins/network.js';
import {Record} from '../stand-ins/record.js';
import {runCase} from '../stand-ins/run-case.js';

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const route = {
	name: 'rosters', host: 'jobs.example', 'path-prefix': '/rosters/', service: 'planning', priority: 0, 'max-attempts': 2, stretch: 2.2, 'target-latency-ms': 2500, 'timeout-ms': 3000,
};
const lastingJob = '00000000000000a1';
const otherJob = '00000000000000b1';
const count = 6;
const mayMiss = 1;
const crashes = 5;
const crashEveryMs = 6000;
const downMs = 1000;
const settleMs = 12_000;
/** A subtask that lasts is at work after a short startup. */
const startupMs = 300;
const statusOk = 200;

/** Ends of runs of the lasting job by how they ended. */
const ends = {};
/** Subtasks that were ended by an order and are not at work again. */
const ordered = new Set();
let stopsBeyond = 0;

function noteStop(runner, run) {
	const isAtWork = runner.isUp && runner.life.readClock() - run.startedAt >= startupMs;
	const away = [...ordered].filter(task => task !== run.task).length;
	if (isAtWork && away >= mayMiss) {
		stopsBeyond++;
		record.note(`AVAIL: ${run.task}, at work on ${runner.id}, is ended by a stop while ${away} others of its step are away through such orders; ${mayMiss} may be`);
	}

	ordered.add(run.task);
}

const observer = {
	noteStart(runner, run) {
		record.note(`runner ${runner.id}: starts ${run.task} run ${run.run}`);
		ordered.delete(run.task);
	},
	noteEnd(runner, run, how) {
		record.note(`runner ${runner.id}: ${run.task} run ${run.run} ends: ${how}`);
		if (run.task.startsWith(lastingJob)) {
			ends[how] = (ends[how] ?? 0) + 1;
			if (how === 'stopped') {
				noteStop(runner, run);
			}
		}
	},
	noteAcknowledged(runner, [number, task, run, how]) {
		record.note(`runner ${runner.id}: end ${number} (${task} run ${run} ${how}) is taken note of`);
	},
};

async function play(setDeployment) {
	const services = {planning: [['a', 'r-1'], ['a', 'r-1'], ['a', 'r-2'], ['a', 'r-2'], ['a', 'r-3'], ['a', 'r-3']]};
	const deployment = await Deployment.start({
		record, hosts: 3, services, routes: [route], cpu: 64_000, observer,
	});
	setDeployment(deployment);
	const {hosts, runners} = deployment;
	const crashing = runners.at(-1);
	const countRunning = () => runners.filter(({life}) => life && [...life.running.keys()].some(task => task.startsWith(lastingJob))).length;
	const accepted = await deployment.call(hosts[0], 'POST', route, lastingJob, createLastingJob({count, cpu: 5000}, {'anti-affinity': 1, 'may-miss': mayMiss}));
	await sleep(2000);
	if (accepted.status !== statusOk || countRunning() !== count) {
		throw new Error('the subtasks do not run');
	}

	for (let number = 1; number <= crashes; number++) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(crashEveryMs - downMs);
		if (isTroubled) {
			crashing.crash();
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(downMs);
		if (isTroubled) {
			// eslint-disable-next-line no-await-in-loop
			await crashing.boot();
		}

		// eslint-disable-next-line no-await-in-loop
		await deployment.call(hosts[number % hosts.length], 'GET', route, lastingJob);
	}

	await sleep(settleMs);
	const running = countRunning();
	const states = [];
	for (const host of hosts) {
		// eslint-disable-next-line no-await-in-loop
		const {json} = await deployment.call(host, 'GET', route, lastingJob);
		states.push(json?.state);
	}

	// The system itself works: another job is done.
	await deployment.call(hosts[1], 'POST', route, otherJob, createShortJob({count: 2, ms: 300, cpu: 1000}));
	await sleep(3000);
	const {json: other} = await deployment.call(hosts[2], 'GET', route, otherJob);
	record.note(`ends of the lasting subtasks: ${JSON.stringify(ends)}; ${running} of ${count} run ${settleMs / 1000} s after the last crash; their job is shown as ${states.join(', ')}; stops beyond may-miss: ${stopsBeyond}; the other job is shown as ${other?.state}`);
	if (other?.state !== 'completed') {
		throw new Error('the other job was not done');
	}

	const isFailedWithoutCause = states.includes('failed') && (ends.failed ?? 0) === 0;
	return stopsBeyond === 0 && !isFailedWithoutCause && running === count;
}

await runCase(record, play);
