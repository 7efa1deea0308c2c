/** Tasks of a step whose data lies in a rack without free capacity. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';

const step = createStep({count: 3, dataRack: 'elsewhere', estimateMs: 4000});

describe('a task that has waited long enough for its rack', () => {
	/** Guards against tasks that stay without a worker because one before them in their step keeps failing and waits for the rack anew. */
	it('starts elsewhere although an earlier task of its step still waits for the rack', () => {
		const host = HandDrivenHost.create({remoteRackFactor: 3});
		host.takeLeadership([], createConfig());
		host.addWorkers('w1');
		host.submit(createJob(1, [step]));
		const [first] = [...host.state.openSteps][0]!.tasks;
		const starts = [];
		for (let waitedMs = 0; waitedMs < 6000; waitedMs += 100) {
			first!.readyAt = host.now;
			host.answerPoll('w1');
			starts.push(...listStarts(host.tick(100)));
		}

		expect(new Set(starts.map(({task}) => task)).size).toEqual(2);
	});
});
