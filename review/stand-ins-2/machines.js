/**
 * Stand-in of the platform's machines, as PROTOCOL.md describes them: the list, moves and upkeeps, with a fence for each machine.
 * `delayOrder` may leave an order unanswered and have it carried out later.
 */
import {
	parseJson, readBytes, sendJson, startServer,
} from './http.js';

export class Machines {
	/** `runners`: starts and ends the runner of a machine (`endLife`, `startLife`). */
	static async start(address, {runners, upkeepMs, moveMs, note}) {
		const machines = new Machines({
			runners, upkeepMs, moveMs, note,
		});
		machines.server = await startServer(address, async (request, response) => machines.answer(request, response));
		return machines;
	}

	/** Machines by name: `{machine, pool, state, zone, labels, capacity, runner, fence, doneWaves}`. */
	list = new Map();
	server = undefined;
	/** The upkeeps that have begun: `{machine, wave, token, downBefore}`, the last the number of other machines of the wave that were down for theirs. */
	upkeeps = [];
	/** Returns after how many ms an order is carried out without an answer; undefined to carry it out and answer it at once. */
	delayOrder = () => undefined;

	constructor(options) {
		this.options = options;
	}

	add(machine) {
		this.list.set(machine.machine, {
			...machine, state: 'up', fence: 0, doneWaves: new Set(), upkeepOf: undefined,
		});
	}

	/** How many machines of a wave are down for their upkeep. */
	countDown(wave) {
		return [...this.list.values()].filter(({upkeepOf}) => upkeepOf === wave).length;
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}

	async answer(request, response) {
		const call = parseJson(await readBytes(request));
		const url = new URL(request.url, 'http://machines');
		if (url.pathname === '/v1/machines') {
			sendJson(response, 200, {machines: [...this.list.values()].map(machine => this.describe(machine)), 'next-token': null});
			return;
		}

		const order = {
			type: url.pathname === '/v1/machine-upkeep' ? 'upkeep' : 'move', machine: call.machine, wave: call.wave, pool: call.pool, token: Number(request.headers['fencing-token'] ?? 0), holder: request.headers['duty-holder'],
		};
		this.options.note({event: 'order-received', ...order});
		const delayMs = this.delayOrder(order);
		if (delayMs !== undefined) {
			setTimeout(() => {
				const {status, body} = this.carryOut(order);
				this.options.note({
					event: 'order-carried-out-late', ...order, status, ...body,
				});
			}, delayMs);
			// The channel stays open without an answer.
			return;
		}

		const {status, body} = this.carryOut(order);
		this.options.note({
			event: 'order-answered', ...order, status, ...body,
		});
		sendJson(response, status, body);
	}

	describe({machine, pool, state, zone, labels, capacity, runner}) {
		return {
			machine, pool, state, zone, labels, capacity, id: state === 'up' ? runner : null,
		};
	}

	carryOut(order) {
		const machine = this.list.get(order.machine);
		if (!machine) {
			return {status: 400, body: {}};
		}

		if (order.token < machine.fence) {
			return {status: 409, body: {reason: 'fence'}};
		}

		machine.fence = order.token;
		if (order.type === 'upkeep' ? machine.doneWaves.has(order.wave) : machine.pool === order.pool) {
			return {status: 200, body: {}};
		}

		if (machine.state !== 'up') {
			return {status: 409, body: {reason: 'busy'}};
		}

		this.begin(machine, order);
		return {status: 200, body: {}};
	}

	begin(machine, order) {
		const {runners, upkeepMs, moveMs, note} = this.options;
		const isUpkeep = order.type === 'upkeep';
		machine.state = isUpkeep ? 'upkeep' : 'moving';
		if (isUpkeep) {
			this.upkeeps.push({
				machine: machine.machine, wave: order.wave, token: order.token, downBefore: this.countDown(order.wave),
			});
			machine.upkeepOf = order.wave;
			machine.doneWaves.add(order.wave);
		} else {
			machine.pool = order.pool;
		}

		note({event: `${order.type}-begun`, machine: machine.machine, token: order.token});
		runners.endLife(machine);
		setTimeout(() => {
			note({event: `${order.type}-over`, machine: machine.machine});
			machine.upkeepOf = undefined;
			runners.startLife(machine);
			machine.state = 'up';
		}, isUpkeep ? upkeepMs : moveMs);
	}
}
