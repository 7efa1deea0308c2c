/**
 * Stand-in of a runner, as PROTOCOL.md describes it. A subtask's work and needs stand in its job's spec: a JSON text with
 * `steps`, whose entries hold `ms` (0: it lasts until it is stopped) and `cpu`.
 */
import {
	answerJson, readJson, serve, sleep,
} from './network.js';

const heartbeatMs = 1500;
const maxHoldMs = 10_000;
const maxListedEnds = 500;
const advanceMs = 5;
const pollMs = 5;
const fullPercent = 100;
/** A subtask that lasts is at work this long after its start. */
const startupMs = 300;
const statusOk = 200;
const statusBad = 400;
const statusConflict = 409;
const statusMisdirected = 421;

/** One life of the runner: what it runs, holds and knows. */
class Life {
	born = Date.now();
	startedAt = performance.now();
	running = new Map();
	ended = [];
	nextEnd = 1;
	fence = 0;
	/** On this life's clock. */
	until = 0;
	/** The highest run of each subtask that was stopped or ended here. */
	highestRuns = new Map();

	readClock() {
		return Math.floor(performance.now() - this.startedAt);
	}
}

export class Runner {
	/** `options`: id, address, service, zone, labels, cpu, memoryMb, store, record, observer. */
	static async start(options) {
		const runner = new Runner(options);
		await runner.boot();
		runner.timer = setInterval(() => {
			runner.advance();
		}, advanceMs);
		runner.heartbeat = setInterval(() => {
			runner.report();
		}, heartbeatMs);
		return runner;
	}

	life;
	sequence = 0;
	server;
	/** Sockets and calls are left without an answer while it is cut off. */
	isCut = false;

	constructor(options) {
		Object.assign(this, options);
	}

	get isUp() {
		return this.life !== undefined;
	}

	/** Begins a life under the same id and at the same address. */
	async boot({reports = true} = {}) {
		this.life = new Life();
		this.sequence = 0;
		this.server = await serve(this.address, async (request, response, body) => this.answer(request, response, body));
		this.record.note(`runner ${this.id}: a life begins, born ${this.life.born}`);
		if (reports) {
			this.report();
		}
	}

	/** Ends the life: nothing runs any more, channels are reset, and nobody listens. */
	crash() {
		this.record.note(`runner ${this.id}: crashes with ${this.life.running.size} subtasks`);
		for (const run of this.life.running.values()) {
			this.observer?.noteEnd(this, run, 'lost');
		}

		this.life = undefined;
		this.server.closeAllConnections();
		this.server.close();
	}

	/** Writes the runner's entry, as it does every heartbeat. */
	report() {
		if (!this.life || this.isCut) {
			return;
		}

		this.sequence++;
		this.store.put('keyed.servers', this.id, {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, sequence: this.sequence, born: this.life.born, capacity: {cpu: this.cpu, 'mem-mb': this.memoryMb, gpu: 0}, labels: this.labels, machine: this.machine,
		});
	}

	advance() {
		const {life} = this;
		if (!life) {
			return;
		}

		const now = life.readClock();
		for (const run of life.running.values()) {
			if (now >= life.until) {
				this.end(run, 'lapsed');
			} else if (run.stopAt !== undefined && now >= run.stopAt) {
				this.end(run, 'stopped');
			} else if (run.workMs > 0 && now - run.startedAt >= run.workMs) {
				this.end(run, 'done');
			}
		}
	}

	end(run, how) {
		const {life} = this;
		life.running.delete(run.task);
		life.highestRuns.set(run.task, Math.max(run.run, life.highestRuns.get(run.task) ?? 0));
		life.ended.push([life.nextEnd++, run.task, run.run, how, '']);
		this.observer?.noteEnd(this, run, how);
	}

	async answer(request, response, body) {
		const {life} = this;
		if (!life || this.isCut) {
			// No answer: the caller's own time limit ends the call.
			return;
		}

		if (request.headers['target-instance'] !== this.id) {
			answerJson(response, statusMisdirected, {'clock-ms': life.readClock()});
			return;
		}

		const order = readJson(body);
		const operations = {
			'/v1/run-start': 'startRun', '/v1/run-stop': 'stopRun', '/v1/hold': 'hold', '/v1/pace': 'pace',
		};
		const operation = operations[request.url];
		if (!operation) {
			answerJson(response, statusBad, {});
			return;
		}

		if ((order['fencing-token'] ?? 0) < life.fence) {
			answerJson(response, statusConflict, {'clock-ms': life.readClock(), reason: 'fence'});
			return;
		}

		life.fence = order['fencing-token'] ?? 0;
		const {status, answer} = await this[operation](life, order, response);
		if (life === this.life && !this.isCut) {
			answerJson(response, status, {'clock-ms': life.readClock(), ...answer});
		} else if (life !== this.life) {
			response.destroy();
		}
	}

	extendLease(life, untilMs) {
		if (untilMs !== undefined) {
			life.until = Math.max(life.until, Math.min(untilMs, life.readClock() + maxHoldMs));
		}
	}

	startRun(life, order) {
		const now = life.readClock();
		if (life.running.get(order.task)?.run === order.run) {
			return {status: statusOk, answer: {}};
		}

		if (order['until-ms'] <= now) {
			return {status: statusConflict, answer: {reason: 'late'}};
		}

		this.extendLease(life, order['until-ms']);
		if (order.run <= (life.highestRuns.get(order.task) ?? 0)) {
			return {status: statusConflict, answer: {reason: 'old'}};
		}

		const step = JSON.parse(order.spec).steps[Number(order.task.split('.')[2])];
		const used = [...life.running.values()].reduce((sum, run) => sum + run.cpu, 0);
		if (used + step.cpu > this.cpu) {
			return {status: statusConflict, answer: {reason: 'room'}};
		}

		const run = {
			task: order.task, run: order.run, startedAt: now, workMs: step.ms, cpu: step.cpu, stopAt: undefined,
		};
		life.running.set(order.task, run);
		this.observer?.noteStart(this, run);
		return {status: statusOk, answer: {}};
	}

	stopRun(life, order) {
		const run = life.running.get(order.task);
		if (run?.run === order.run) {
			this.end(run, 'stopped');
		} else {
			life.highestRuns.set(order.task, Math.max(order.run, life.highestRuns.get(order.task) ?? 0));
		}

		return {status: statusOk, answer: {}};
	}

	async hold(life, order, response) {
		this.extendLease(life, order['until-ms']);
		for (const row of life.ended.filter(([number]) => number <= order['ack-cursor'])) {
			this.observer?.noteAcknowledged(this, row);
		}

		life.ended = life.ended.filter(([number]) => number > order['ack-cursor']);
		const until = performance.now() + (order['wait-ms'] ?? 0);
		while (life === this.life && life.ended.length === 0 && performance.now() < until && !response.destroyed) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		const now = life.readClock();
		const running = [...life.running.values()].map(run => [run.task, run.run, '', readPercent(run, now), run.cpu]);
		return {status: statusOk, answer: {born: life.born, running, ended: life.ended.slice(0, maxListedEnds)}};
	}

	pace() {
		return {status: statusOk, answer: {}};
	}

	close() {
		clearInterval(this.timer);
		clearInterval(this.heartbeat);
		this.server.closeAllConnections();
		this.server.close();
	}
}

function readPercent({startedAt, workMs}, now) {
	const ranMs = now - startedAt;
	return workMs > 0 ? Math.min(fullPercent - 1, Math.floor(fullPercent * ranMs / workMs)) : (ranMs >= startupMs ? fullPercent : 0);
}
