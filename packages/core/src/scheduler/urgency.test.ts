/** Order of steps under overload: jobs that can meet their objective go first, the others last, and every job completes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';
import {compareUrgency, type Urgency} from './urgency.js';

const nothing: unknown = {};
const step = nothing as Urgency['step'];

describe('the order of steps', () => {
	it('compares whether jobs are within their rate, then whether they are still of use, then priority, then whether the objective is reachable, and with slack, then whether the job has started, then arrival', () => {
		const base: Urgency = {
			step, isExcess: false, isOfNoUse: false, priority: 1, isObjectiveUnreachable: false, hasSlack: true, hasStarted: false, acceptedAt: 10,
		};
		const urgent = {...base, priority: 0, isObjectiveUnreachable: true};
		const unreachable = {
			...base, isObjectiveUnreachable: true, hasStarted: true, acceptedAt: 1,
		};
		const doubtful = {...base, hasSlack: false, acceptedAt: 2};
		const startedLater = {...base, hasStarted: true, acceptedAt: 50};
		const earlier = {...base, acceptedAt: 5};
		const useless = {...urgent, isOfNoUse: true};
		const excess = {...urgent, isExcess: true, isObjectiveUnreachable: false};
		expect([excess, useless, unreachable, doubtful, base, earlier, startedLater, urgent].toSorted(compareUrgency)).toEqual([urgent, startedLater, earlier, base, doubtful, unreachable, useless, excess]);
	});

	it('lets part of the jobs of a burst above the capacity of its pool be in time, rather than all be late', () => {
		const fleet = ModelFleet.create({
			seed: 5, hosts: 2, workers: 2, faults: noFaults,
		});
		fleet.run(3000);
		const submittedAt = new Map<number, number>();
		const finishedAt = new Map<number, number>();
		const recordCompletions = () => {
			for (const number of submittedAt.keys()) {
				if (!finishedAt.has(number) && fleet.getPhase(number.toString(16).padStart(16, '0')) === 'completed') {
					finishedAt.set(number, fleet.now);
				}
			}
		};

		// For four seconds, twice the work that two workers with four tasks each can do.
		for (let number = 1; number <= 64; number++) {
			fleet.submit(createJob(number, [createStep({count: 2, estimateMs: 500})]));
			submittedAt.set(number, fleet.now);
			fleet.run(62);
			recordCompletions();
		}

		for (let waited = 0; waited < 15_000; waited += 50) {
			fleet.run(50);
			recordCompletions();
		}

		const inTime = [...finishedAt].filter(([number, at]) => at - submittedAt.get(number)! <= 1900).length;
		expect(finishedAt.size).toEqual(64);
		expect(inTime >= 32).toEqual(true);
		expect(fleet.violations).toEqual([]);
	});

	it('starts no job too late to be in time while others could be, with two steps of uneven length and far more work than capacity', () => {
		const publishMs = 250;
		const fleet = ModelFleet.create({
			seed: 3, hosts: 2, workers: 4, faults: noFaults,
		});
		fleet.run(3000);
		const objectives = new Map<number, number>();
		const publishedAt = new Map<number, number>();
		const run = (forMs: number) => {
			for (let spent = 0; spent < forMs; spent += 25) {
				fleet.run(25);
				for (const number of objectives.keys()) {
					if (!publishedAt.has(number) && fleet.getPhase(number.toString(16).padStart(16, '0'), 1) === 'completed') {
						publishedAt.set(number, fleet.now + publishMs);
					}
				}
			}
		};

		// Sixteen slots have capacity for 20 jobs in eight seconds; 32 are submitted.
		for (let number = 1; number <= 32; number++) {
			const estimates = [fleet.draw(300, 1300), fleet.draw(300, 1300)] as const;
			fleet.submit(createJob(number, [createStep({count: 4, estimateMs: estimates[0]}), createStep({count: 4, estimateMs: estimates[1], dependsOn: [0]})]));
			objectives.set(number, fleet.now + (2 * (estimates[0] + estimates[1])) + 600);
			run(250);
		}

		run(20_000);
		const inTime = [...objectives].filter(([number, objective]) => publishedAt.get(number)! <= objective).length;
		expect(publishedAt.size).toEqual(32);
		expect(inTime >= 16).toEqual(true);
	});
});
