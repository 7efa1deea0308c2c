/** A runner that is idle crashes and starts again at once under the same id. It begins to run a job and is then cut off. The job's subtask must not run on two runners at the same time. */
import {fileURLToPath} from 'node:url';
import {isTrueWithin, sleep} from '../stand-ins-2/http.js';
import {Fleet, hasTrouble, runCase} from '../stand-ins-2/fleet.js';

const service = 'trucks';
const runner = 'i-runner-00';
/** A runner writes its entry about every 1.5 s: its next one after the restart comes within that time. */
const firstBeatMs = 1000;
const runMs = 9000;
/** The runner has been up for so long before it crashes. */
const uptimeMs = 15_000;
const cutAfterStartMs = 200;
const cutMs = 5500;
const jobId = '9000000000000001';
const finalWaitMs = 40_000;

async function start() {
	return Fleet.start({
		folder: fileURLToPath(new URL('.', import.meta.url)),
		services: [{name: service}],
		runners: [{service, rack: 'r-1', count: 4}, {service, rack: 'r-2', count: 4}],
		route: {
			name: 'replans', host: 'jobs.example', 'path-prefix': '/replans/', kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, service, 'max-attempts': 3, stretch: 2,
		},
	});
}

function cutAfterStart(fleet) {
	let isFirst = true;
	fleet.handleRunnerEvent = entry => {
		if (entry.event === 'started' && entry.runner === runner && isFirst) {
			isFirst = false;
			setTimeout(() => {
				fleet.cutRunner(runner);
			}, cutAfterStartMs);
			setTimeout(() => {
				fleet.healRunner(runner);
			}, cutAfterStartMs + cutMs);
		}
	};
}

/** Times in which two runs were at work, each on a runner that was up. */
function listOverlaps(fleet) {
	const runs = [];
	for (const {event, task, run, runner: id, at} of fleet.runnerEvents) {
		if (event === 'started' && task.startsWith(jobId)) {
			runs.push({
				run, id, from: at, to: Number.POSITIVE_INFINITY,
			});
		} else if (event === 'ended' && task.startsWith(jobId)) {
			runs.find(other => other.run === run).to = at;
		} else if (event === 'killed') {
			for (const other of runs.filter(entry => entry.id === id)) {
				other.to = Math.min(other.to, at);
			}
		}
	}

	return runs.flatMap((first, index) => runs.slice(index + 1).map(second => ({
		runs: [first, second].map(({run, id}) => `run ${run} on ${id}`), overlapMs: Math.min(first.to, second.to) - Math.max(first.from, second.from),
	}))).filter(({overlapMs}) => overlapMs > 0);
}

async function run(fleet) {
	await sleep(uptimeMs);
	if (hasTrouble) {
		cutAfterStart(fleet);
		fleet.crashRunner(runner);
		await fleet.startRunner({...fleet.runners.get(runner), firstBeatMs});
	}

	const isAccepted = await fleet.submit(jobId, {
		spec: JSON.stringify({runMs, cpu: 1000, memMb: 256}),
		steps: [{
			count: 1, cpu: 1000, 'mem-mb': 256, 'estimate-ms': runMs,
		}],
	});
	if (!isAccepted) {
		throw new Error('the job was not accepted');
	}

	await isTrueWithin(finalWaitMs, async () => {
		await sleep(1000);
		return await fleet.fetchState(jobId) === 'completed';
	});
	const overlaps = listOverlaps(fleet);
	fleet.note({overlaps});
	return overlaps.length > 0 ? overlaps.map(({runs, overlapMs}) => `${runs.join(' and ')} were at work together for ${overlapMs} ms`).join('; ') : undefined;
}

await runCase(start, run);
