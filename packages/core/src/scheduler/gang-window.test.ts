/** ALONE: the bound on starts does not part a gang. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createWorker, HandDrivenHost, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep, modelConfig} from './testing/model-fleet.js';
import type {QueueName} from './types.js';

const roundMs = 120;
const rounds = 25;
const members = 40;
const low = 'low' as QueueName;

describe('a gang that is larger than the bound on starts', () => {
	/** Guards against a gang some of whose members are started while the others wait for room or behind more urgent starts, and which ends as `alone`. */
	it('is sent whole, though more urgent starts keep coming', () => {
		const host = HandDrivenHost.create();
		const [queue] = modelConfig.queues;
		host.takeLeadership([], {
			...createConfig(), queues: [{...queue!, priority: 0}, {
				...queue!, name: low, pathPrefix: '/low/', priority: 1,
			}],
		});
		const ids = ['w1', 'w2'];
		host.dispatch({type: 'workers/listed', workers: ids.map(id => createWorker(id, {capacity: {cpu: 64_000_000, memoryMb: 256_000_000, gpu: 0}})), isReloaded: true});
		host.now++;
		for (const id of ids) {
			host.answerPoll(id);
		}

		host.now += 20;
		let open = listStarts(host.submit(createJob(1, [createStep({count: members, isGang: true})], {queue: low})));
		const sentAt: number[] = open.map(() => host.now);
		for (let round = 0; round < rounds; round++) {
			for (let number = 0; number < members; number++) {
				open.push(...listStarts(host.submit(createJob(2 + (round * members) + number, [createStep({count: 1})]))));
			}

			host.now += roundMs;
			const answered = open;
			open = [];
			for (const start of answered) {
				open.push(...listStarts(host.answerStart(start)));
			}

			sentAt.push(...open.filter(({task}) => task.startsWith('0000000000000001.')).map(() => host.now));
		}

		expect(sentAt.length).toEqual(members);
		expect(new Set(sentAt).size).toEqual(1);
	});
});
