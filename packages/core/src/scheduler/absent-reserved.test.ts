/** Workers that are kept free for an order to their machine, while the platform's lists lack the machine. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, createWorker, HandDrivenHost} from './testing/hand-driven.js';
import {createMachineEntry, sparePoolName} from './testing/model-leader.js';
import type {SchedulerEffect} from './effects.js';

const capacity = {cpu: 8000, memoryMb: 100_000, gpu: 0};
const ids = ['w1', 'w2', 'w3', 'w4'];
const untilReservedMs = 9000;

describe('a worker whose machine is deleted while an order is prepared', () => {
	/** Guards against a worker that gets no task for the rest of the term, because its reservation outlives the order. */
	it('may get tasks again when the machine comes back', () => {
		const host = HandDrivenHost.create();
		const config = createConfig();
		host.takeLeadership([], {...config, pools: [...config.pools, {...config.pools[0]!, name: sparePoolName, isSpare: true}]});
		const missing = new Set<string>();
		let areWorkersSilent = false;
		const handle = (effects: readonly SchedulerEffect[]): void => {
			for (const effect of effects) {
				if (effect.type === 'machines/list') {
					const machines = ids.filter(id => !missing.has(id)).map(id => createMachineEntry(`m-${id}`, {workerId: id, pool: config.pools[0]!.name, capacity}));
					handle(host.dispatch({
						type: 'machines/listed', requestedAt: host.now, tookMs: 1, listing: {type: 'listed', pages: 1, machines},
					}));
					host.now++;
				} else if (effect.type === 'worker/poll' && !areWorkersSilent) {
					handle(host.answerPoll(effect.worker.id));
				}
			}
		};

		const findReserved = () => [...host.state.workers.values()].find(({isReserved}) => isReserved);
		handle(host.dispatch({type: 'workers/listed', workers: ids.map(id => createWorker(id)), isReloaded: true}));
		handle(host.tick(3000));
		areWorkersSilent = true;
		for (const end = host.now + untilReservedMs; findReserved() === undefined && host.now < end;) {
			handle(host.dispatch({type: 'intake/read', records: [], completeAt: host.now}));
			handle(host.tick());
		}

		const reserved = findReserved()!;
		missing.add(reserved.id);
		host.isConfirmingAppends = false;
		// The store stopped answering a second ago: the order is neither sent nor dropped.
		host.state.leadership.confirmedAt = host.now - 1001;
		host.state.machinesDueAt = host.now;
		for (let passed = 0; passed < 3000; passed += 25) {
			handle(host.tick());
		}

		expect(host.state.machines.has(`m-${reserved.id}`)).toEqual(false);
		expect(reserved.isReserved).toEqual(false);
	});
});
