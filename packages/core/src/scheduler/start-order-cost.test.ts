/** What it costs a leader that starts wait for their turn. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {HandDrivenHost, listStarts} from './testing/hand-driven.js';
import type {JobDefinition} from './types.js';

const workers = 60;
const jobs = 100;
const tasksPerJob = 8;
/** Polls that are answered at one moment. */
const answers = 40;

/** Counts how often the steps of a job are read, as each calculation of its urgency does. */
function countLooks(job: JobDefinition, count: {looks: number}): JobDefinition {
	const {steps} = job;
	return Object.defineProperty({...job}, 'steps', {
		enumerable: true,
		get() {
			count.looks++;
			return steps;
		},
	});
}

/** A leader with starts that wait because as many as it may have under way are. */
function createHost(count: {looks: number}) {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers(...Array.from({length: workers}, (_, index) => `w${index}`));
	const effects = Array.from({length: jobs}, (_, index) => host.submit(countLooks(createJob(index + 1, [createStep({count: tasksPerJob, need: {cpu: 1000, memoryMb: 100, gpu: 0}})]), count))).flat();
	effects.push(...host.tick(200));
	const starts = listStarts(effects);
	expect(host.state.callWindow.waitingStarts.length).toEqual((jobs * tasksPerJob) - starts.length);
	count.looks = 0;
	return {host, starts};
}

describe('starts that wait for others to be answered', () => {
	/**
	 * Guards against a leader that orders all of them anew with each event: the more wait, the longer each event takes, the
	 * later come the answers, the fewer starts may go out, and the more wait.
	 */
	it('cost nothing while none of them may be sent', () => {
		const count = {looks: 0};
		const {host} = createHost(count);
		for (let index = 0; index < answers; index++) {
			host.answerPoll(`w${index}`, {outcome: 'unknown'});
		}

		expect(count.looks).toEqual(0);
	});

	/** Guards against the same where each answer lets one start go out. */
	it('are ordered once for answers that come together', () => {
		const count = {looks: 0};
		const {host, starts} = createHost(count);
		const {size} = host.state.callWindow.unansweredStarts;
		const sent = starts.slice(0, size / 2).flatMap(start => listStarts(host.answerStart(start)));
		expect(sent.length).toEqual(size / 2);
		expect(count.looks).toBeLessThan(jobs * 2);
	});
});
