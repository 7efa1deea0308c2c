/** More work than room: what can be in time goes first, what cannot goes last, and all of it goes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';
import {compareUrgency, type Urgency} from './urgency.js';

const nothing: unknown = {};
const step = nothing as Urgency['step'];

describe('the order of steps', () => {
	it('puts priority before hope, hope before what is under way, and that before arrival', () => {
		const base: Urgency = {
			step, priority: 1, isHopeless: false, isUnderWay: false, acceptedAt: 10,
		};
		const urgent = {...base, priority: 0, isHopeless: true};
		const hopeless = {
			...base, isHopeless: true, isUnderWay: true, acceptedAt: 1,
		};
		const later = {...base, isUnderWay: true, acceptedAt: 50};
		const early = {...base, acceptedAt: 5};
		expect([hopeless, base, early, later, urgent].toSorted(compareUrgency)).toEqual([urgent, later, early, base, hopeless]);
	});

	it('lets the jobs of a turn that outgrows its pool be in time in part, rather than all late', () => {
		const fleet = ModelFleet.create({
			seed: 5, hosts: 2, workers: 2, faults: noFaults,
		});
		fleet.run(3000);
		const submittedAt = new Map<number, number>();
		const finishedAt = new Map<number, number>();
		const note = () => {
			for (const number of submittedAt.keys()) {
				if (!finishedAt.has(number) && fleet.getPhase(number.toString(16).padStart(16, '0')) === 'completed') {
					finishedAt.set(number, fleet.now);
				}
			}
		};

		// Twice the work that two workers of four tasks each can do, for four seconds.
		for (let number = 1; number <= 64; number++) {
			fleet.submit(createJob(number, [createStep({count: 2, estimateMs: 500})]));
			submittedAt.set(number, fleet.now);
			fleet.run(62);
			note();
		}

		for (let waited = 0; waited < 15_000; waited += 50) {
			fleet.run(50);
			note();
		}

		const inTime = [...finishedAt].filter(([number, at]) => at - submittedAt.get(number)! <= 1900).length;
		expect(finishedAt.size).toEqual(64);
		expect(inTime >= 32).toEqual(true);
		expect(fleet.violations).toEqual([]);
	});

	it('starts no job too late to be in time while others could be: two steps of uneven length, far over the room', () => {
		const showMs = 250;
		const fleet = ModelFleet.create({
			seed: 3, hosts: 2, workers: 4, faults: noFaults,
		});
		fleet.run(3000);
		const objectives = new Map<number, number>();
		const shownAt = new Map<number, number>();
		const run = (forMs: number) => {
			for (let spent = 0; spent < forMs; spent += 25) {
				fleet.run(25);
				for (const number of objectives.keys()) {
					if (!shownAt.has(number) && fleet.getPhase(number.toString(16).padStart(16, '0'), 1) === 'completed') {
						shownAt.set(number, fleet.now + showMs);
					}
				}
			}
		};

		// Sixteen slots have room for 20 jobs in eight seconds; 32 come.
		for (let number = 1; number <= 32; number++) {
			const estimates = [fleet.draw(300, 1300), fleet.draw(300, 1300)] as const;
			fleet.submit(createJob(number, [createStep({count: 4, estimateMs: estimates[0]}), createStep({count: 4, estimateMs: estimates[1], dependsOn: [0]})]));
			objectives.set(number, fleet.now + (2 * (estimates[0] + estimates[1])) + 600);
			run(250);
		}

		run(20_000);
		const inTime = [...objectives].filter(([number, objective]) => shownAt.get(number)! <= objective).length;
		expect(shownAt.size).toEqual(32);
		expect(inTime >= 16).toEqual(true);
	});
});
