/**
 * A job with a schedule comes: one short run each second for a week, handed in again on the sixth day. The entry hosts must go
 * on, and a small job that comes after it must run.
 */
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {Deployment} from '../stand-ins/deployment.js';
import {createShortJob, formatId} from '../stand-ins/jobs.js';
import {sleep} from '../stand-ins/network.js';
import {Record} from '../stand-ins/record.js';
import {runCase} from '../stand-ins/run-case.js';

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const schedules = {
	name: 'schedules', host: 'jobs.example', 'path-prefix': '/schedules/', service: 'planning', priority: 1, 'max-attempts': 4, stretch: 2, 'target-latency-ms': 600, 'timeout-ms': 3000,
};
const checks = {
	...schedules, name: 'checks', 'path-prefix': '/checks/', service: 'dispatch', priority: 0,
};
const dayMs = 86_400_000;
const intervalMs = 1000;
const runCount = 7 * dayMs / intervalMs;
/** Without the disruption the schedule begins now. */
const begunAgoMs = isTroubled ? 6 * dayMs : 0;
const watchedMs = 45_000;
const lookMs = 5000;
/** Processes that end by themselves three times, on a tenth of the machines and two at least. */
const endsThatCount = 3;
const machinesThatCount = 2;
const submitTries = 10;
const statusOk = 200;
const scheduledJob = formatId(0xA1);
const smallJob = formatId(0xB1);

let smallStarts = 0;
let scheduledStarts = 0;
const observer = {
	noteStart(runner, {task, run}) {
		if (task.startsWith(smallJob)) {
			smallStarts++;
			record.note(`runner ${runner.id}: starts ${task} run ${run}`);
		} else {
			scheduledStarts++;
		}
	},
	noteEnd() {},
	noteAcknowledged() {},
};

/** Hands a job in; after no answer the same job is sent to another host. */
async function submit(deployment, route, id, body) {
	const {hosts} = deployment;
	for (let tries = 0; tries < submitTries; tries++) {
		// eslint-disable-next-line no-await-in-loop
		const {status} = await deployment.call(hosts[tries % hosts.length], 'POST', route, id, body);
		if (status === statusOk) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(500);
	}

	return false;
}

async function play(setDeployment) {
	const six = [['a', 'r-1'], ['a', 'r-1'], ['a', 'r-2'], ['a', 'r-2'], ['a', 'r-3'], ['a', 'r-3']];
	const deployment = await Deployment.start({
		record, hosts: 5, services: {planning: six, dispatch: six}, routes: [schedules, checks], cpu: 64_000, observer, restarts: true,
	});
	setDeployment(deployment);
	const {hosts} = deployment;
	await sleep(2000);
	const isScheduleAccepted = await submit(deployment, schedules, scheduledJob, {
		...createShortJob({count: 1, ms: 300, cpu: 100}), 'run-count': runCount, 'first-run-ms': Date.now() - begunAgoMs, 'interval-ms': intervalMs,
	});
	await sleep(2000);
	const isSmallAccepted = await submit(deployment, checks, smallJob, createShortJob({count: 2, ms: 300, cpu: 1000}));
	if (!isScheduleAccepted) {
		throw new Error('the job with a schedule was not accepted');
	}

	const listEnds = () => hosts.map(({ownEnds = 0}) => ownEnds);
	for (let waitedMs = 0; waitedMs < watchedMs; waitedMs += lookMs) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(lookMs);
		// eslint-disable-next-line no-await-in-loop
		await deployment.call(hosts[waitedMs / lookMs % hosts.length], 'GET', checks, smallJob);
		record.note(`processes that ended by themselves, by machine: ${listEnds().join(', ')}; starts of the scheduled job: ${scheduledStarts}, of the small job: ${smallStarts}`);
	}

	const machines = listEnds().filter(ends => ends >= endsThatCount).length;
	record.note(`the small job was ${isSmallAccepted ? '' : 'not '}accepted, its starts: ${smallStarts}; machines on which processes ended by themselves three times: ${machines} of ${hosts.length}`);
	return machines < machinesThatCount && smallStarts > 0;
}

await runCase(record, play);
