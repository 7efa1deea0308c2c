/** Large jobs come, more than there is room for. The entry hosts must go on, and a small job that comes after them must run. */
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {Deployment} from '../stand-ins/deployment.js';
import {createShortJob, formatId} from '../stand-ins/jobs.js';
import {sleep} from '../stand-ins/network.js';
import {Record} from '../stand-ins/record.js';
import {runCase} from '../stand-ins/run-case.js';

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const batch = {
	name: 'batch', host: 'jobs.example', 'path-prefix': '/batch/', service: 'planning', priority: 1, 'max-attempts': 4, stretch: 2, 'target-latency-ms': 600, 'timeout-ms': 3000,
};
const checks = {
	...batch, name: 'checks', 'path-prefix': '/checks/', service: 'dispatch', priority: 0,
};
const largeJobs = 40;
const firstId = 1000;
const subtasksEach = isTroubled ? 10_000 : 100;
const betweenMs = 250;
const watchedMs = 40_000;
/** Processes that end by themselves three times, on a tenth of the machines and two at least. */
const maxEnds = 2;
const maxMachines = 1;
const statusOk = 200;

async function play(setDeployment) {
	const six = [['a', 'r-1'], ['a', 'r-1'], ['a', 'r-2'], ['a', 'r-2'], ['a', 'r-3'], ['a', 'r-3']];
	const small = {starts: 0};
	const smallJob = '00000000000000b1';
	const observer = {
		noteStart(runner, run) {
			if (run.task.startsWith(smallJob)) {
				small.starts++;
				record.note(`runner ${runner.id}: starts ${run.task} run ${run.run}`);
			}
		},
		noteEnd() {},
		noteAcknowledged() {},
	};
	const deployment = await Deployment.start({
		record, hosts: 5, services: {planning: six, dispatch: six}, routes: [batch, checks], cpu: 64_000, observer, restarts: true,
	});
	setDeployment(deployment);
	const {hosts} = deployment;
	let accepted = 0;
	for (let number = 0; number < largeJobs; number++) {
		const id = formatId(firstId + number);
		// eslint-disable-next-line no-await-in-loop
		const {status} = await deployment.call(hosts[number % hosts.length], 'POST', batch, id, createShortJob({count: subtasksEach, ms: 5000, cpu: 1000}));
		accepted += status === statusOk ? 1 : 0;
		// eslint-disable-next-line no-await-in-loop
		await sleep(betweenMs);
	}

	let isSmallAccepted = false;
	for (let tries = 0; tries < 10 && !isSmallAccepted; tries++) {
		// eslint-disable-next-line no-await-in-loop
		const {status} = await deployment.call(hosts[tries % hosts.length], 'POST', checks, smallJob, createShortJob({count: 2, ms: 300, cpu: 1000}));
		isSmallAccepted = status === statusOk;
		// eslint-disable-next-line no-await-in-loop
		await sleep(500);
	}

	const getEnds = () => hosts.map(({ownEnds = 0}) => ownEnds);
	for (let waitedMs = 0; waitedMs < watchedMs; waitedMs += 5000) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(5000);
		// eslint-disable-next-line no-await-in-loop
		await deployment.call(hosts[waitedMs / 5000 % hosts.length], 'GET', checks, smallJob);
		record.note(`processes that ended by themselves, by machine: ${getEnds().join(', ')}; starts of the small job: ${small.starts}`);
	}

	const machines = getEnds().filter(ends => ends > maxEnds).length;
	record.note(`large jobs accepted: ${accepted} of ${largeJobs}; the small job was ${isSmallAccepted ? '' : 'not '}accepted, starts of it: ${small.starts}; machines on which a process ended by itself three times: ${machines} of ${hosts.length}`);
	return machines <= maxMachines;
}

await runCase(record, play);
