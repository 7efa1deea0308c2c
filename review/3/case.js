/** A large job comes, and after it small ones, while under half of the runners' capacity is in use: the small jobs must run. */
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {Deployment} from '../stand-ins/deployment.js';
import {createLastingJob, createShortJob} from '../stand-ins/jobs.js';
import {sleep} from '../stand-ins/network.js';
import {Record} from '../stand-ins/record.js';
import {runCase} from '../stand-ins/run-case.js';

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const replans = {
	name: 'replans', host: 'jobs.example', 'path-prefix': '/replans/', service: 'planning', priority: 0, 'max-attempts': 4, stretch: 1.6, 'target-latency-ms': 600, 'timeout-ms': 3000,
};
const checks = {...replans, name: 'checks', 'path-prefix': '/checks/'};
const largeJob = '00000000000000a1';
const smallJobs = Array.from({length: 5}, (_, index) => `00000000000000b${index + 1}`);
const largeCount = isTroubled ? 7500 : 75;
const subtaskCpu = 20;
/** The small jobs come so long after the large one. */
const settleMs = 10_000;
/** The jobs are asked for so long after the last of them was sent (`finish_s`), and 3 s more. */
const finishMs = 17_000;
const statusOk = 200;

let largeStarts = 0;
/** The starts and ends of the small jobs' subtasks, by job. */
const smallStarts = new Map(smallJobs.map(id => [id, 0]));
const smallEnds = new Map(smallJobs.map(id => [id, 0]));
const observer = {
	noteStart(runner, {task, run}) {
		const id = task.split('.', 1)[0];
		if (id === largeJob) {
			largeStarts++;
			return;
		}

		smallStarts.set(id, smallStarts.get(id) + 1);
		record.note(`runner ${runner.id}: starts ${task} run ${run}`);
	},
	noteEnd(runner, {task, run}, how) {
		const id = task.split('.', 1)[0];
		if (id !== largeJob) {
			smallEnds.set(id, smallEnds.get(id) + 1);
			record.note(`runner ${runner.id}: ${task} run ${run} ends: ${how}`);
		}
	},
	noteAcknowledged() {},
};

async function play(setDeployment) {
	const six = [['a', 'r-1'], ['a', 'r-1'], ['a', 'r-2'], ['a', 'r-2'], ['a', 'r-3'], ['a', 'r-3']];
	const deployment = await Deployment.start({
		record, hosts: 5, services: {planning: six}, routes: [replans, checks], cpu: 64_000, observer,
	});
	setDeployment(deployment);
	const {hosts, store} = deployment;
	await sleep(3000);
	const submit = async (host, route, id, body) => {
		const {status} = await deployment.call(host, 'POST', route, id, body);
		if (status !== statusOk) {
			throw new Error(`job ${id} was not accepted`);
		}
	};

	await submit(hosts[0], replans, largeJob, createLastingJob({count: largeCount, cpu: subtaskCpu}));
	await sleep(settleMs);
	for (const [index, id] of smallJobs.entries()) {
		// eslint-disable-next-line no-await-in-loop
		await submit(hosts[index % hosts.length], checks, id, createShortJob({count: 4, ms: 300, cpu: 1000}));
		// eslint-disable-next-line no-await-in-loop
		await sleep(500);
	}

	const until = performance.now() + finishMs;
	while (performance.now() < until) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(1000);
		record.note(`started so far: ${largeStarts} of ${largeCount} subtasks of the large job, ${sum(smallStarts)} of the small ones; appends refused for their size: ${store.oversized}`);
	}

	// Its subtasks' turn came 17 s ago, under half of the capacity of its service is in use, and nothing of it has run.
	const waiting = smallJobs.filter(id => smallStarts.get(id) === 0);
	for (const [index, id] of smallJobs.entries()) {
		// eslint-disable-next-line no-await-in-loop
		await deployment.call(hosts[index % hosts.length], 'GET', checks, id);
	}

	record.note(`small jobs of which nothing has run ${finishMs / 1000} s after the last was accepted: ${waiting.length} of ${smallJobs.length}; subtasks of them that ended: ${sum(smallEnds)}`);
	return waiting.length === 0;
}

function sum(counts) {
	return [...counts.values()].reduce((total, count) => total + count, 0);
}

await runCase(record, play);
