/**
 * Stand-in of a runner, a process of its own, as PROTOCOL.md describes it. Its only argument is a JSON object. What it runs and
 * how that ends goes to standard output, a JSON object a line. A task's `spec` tells how it behaves (JSON): `runMs`, `cpu`,
 * `memMb`, and `lasts` for one that ends only when it is stopped.
 */
import process from 'node:process';
import {
	parseJson, readBytes, sendJson, sleep, startServer,
} from './http.js';

const options = JSON.parse(process.argv[2]);
const startupMs = 300;
const tickMs = 5;
const maxListedEnds = 500;
const bornAt = Date.now();
const origin = performance.now();
const runs = new Map();
const highestRuns = new Map();
let ends = [];
let nextEnd = 1;
/** Ends up to this number are forgotten: the highest `ack-cursor` received; with `cursor` = `once`, a cursor counts only for the ends that there are when it comes. */
let acknowledged = 0;
/** With `losesAnswer`, the channel of the first answer that lists an end is reset in its place. */
let mayLoseAnswer = options.losesAnswer ?? false;
let fence = 0;
let leaseUntil = 0;

function readClock() {
	return Math.floor(performance.now() - origin);
}

function report(event) {
	process.stdout.write(`${JSON.stringify({at: Date.now(), ...event})}\n`);
}

function endRun(run, how) {
	runs.delete(run.task);
	ends.push([nextEnd++, run.task, run.run, how, '']);
	report({
		event: 'ended', task: run.task, run: run.run, how,
	});
}

function advance() {
	const now = readClock();
	for (const run of runs.values()) {
		if (now >= leaseUntil) {
			endRun(run, 'lapsed');
		} else if (run.stopAt !== undefined && now >= run.stopAt) {
			endRun(run, 'stopped');
		} else if (!run.spec.lasts && now >= run.startedAt + run.spec.runMs) {
			endRun(run, 'done');
		}
	}
}

function extendLease(untilMs) {
	if (untilMs !== undefined) {
		leaseUntil = Math.max(leaseUntil, Math.min(untilMs, readClock() + options.holdMaxMs));
	}
}

function computePercent(run) {
	const ran = readClock() - run.startedAt;
	return run.spec.lasts ? (ran >= startupMs ? 100 : 0) : Math.min(99, Math.floor(100 * ran / run.spec.runMs));
}

function sum(name) {
	return [...runs.values()].reduce((total, run) => total + (run.spec[name] ?? 0), 0);
}

function refuse(reason) {
	return {status: 409, body: {reason}};
}

function startRun(call) {
	if (runs.get(call.task)?.run === call.run) {
		return {status: 200, body: {}};
	}

	if (call['until-ms'] <= readClock()) {
		return refuse('late');
	}

	extendLease(call['until-ms']);
	if (call.run <= (highestRuns.get(call.task) ?? 0)) {
		return refuse('old');
	}

	const spec = JSON.parse(call.spec);
	if (sum('cpu') + spec.cpu > options.cpu || sum('memMb') + spec.memMb > options.memMb) {
		return refuse('room');
	}

	highestRuns.set(call.task, call.run);
	runs.set(call.task, {
		task: call.task, run: call.run, spec, startedAt: readClock(), stopAt: undefined,
	});
	report({event: 'started', task: call.task, run: call.run});
	return {status: 200, body: {}};
}

function stopRun(call) {
	highestRuns.set(call.task, Math.max(call.run, highestRuns.get(call.task) ?? 0));
	const run = runs.get(call.task);
	if (run?.run === call.run) {
		run.stopAt ??= readClock() + options.stopMs;
	}

	return {status: 200, body: {}};
}

function forgetEnds() {
	ends = ends.filter(([number]) => number > acknowledged);
	acknowledged = options.cursor === 'once' ? 0 : acknowledged;
}

async function hold(call) {
	extendLease(call['until-ms']);
	acknowledged = Math.max(acknowledged, call['ack-cursor'] ?? 0);
	forgetEnds();
	const deadline = performance.now() + Math.min(2000, call['wait-ms'] ?? 0);
	while (ends.length === 0 && performance.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(tickMs);
		forgetEnds();
	}

	return {
		status: 200,
		body: {running: [...runs.values()].map(run => [run.task, run.run, '', computePercent(run), 0]), ended: ends.slice(0, maxListedEnds)},
	};
}

const operations = {
	'/v1/run-start': startRun, '/v1/run-stop': stopRun, '/v1/hold': hold, '/v1/pace': () => ({status: 200, body: {}}),
};

async function answer(request, response) {
	const call = parseJson(await readBytes(request));
	await sleep(options.answerMs);
	if (request.url === '/health') {
		sendJson(response, 200, {});
		return;
	}

	if (request.headers['target-instance'] !== options.id) {
		sendJson(response, 421, {'clock-ms': readClock(), born: bornAt});
		return;
	}

	const token = call['fencing-token'] ?? 0;
	const isFenced = token < fence;
	fence = Math.max(fence, token);
	const {status, body} = isFenced ? refuse('fence') : await operations[request.url](call);
	if (mayLoseAnswer && body.ended?.length > 0) {
		mayLoseAnswer = false;
		report({event: 'answer lost', ended: body.ended});
		request.socket.resetAndDestroy();
		return;
	}

	sendJson(response, status, {...body, 'clock-ms': readClock(), born: bornAt});
}

await startServer(options.ownAddress, answer);
setInterval(advance, tickMs);
report({event: 'up', id: options.id, born: bornAt});
