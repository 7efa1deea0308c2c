/** TWICE: workers start again under their ids and are cut off soon after, while long tasks run. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults, type ModelFaults,
} from './testing/model-fleet.js';

const hosts = 3;
const workers = 12;
/** The workers that restart and are cut off. */
const struck = [0, 1, 2];
const jobs = 90;
const longMs = 12_000;
const warmUpMs = 3000;
const downMs = 600;
const settleMs = 60_000;
const reportMs = 1500;
const seeds = 12;

type Series = {readonly cutAfterMs: number; readonly cutMs: number; readonly faults: ModelFaults; readonly killsLeader: boolean};

/** Two tasks a job, a third of the jobs long: the workers are struck three times meanwhile. */
function runSeries(seed: number, {cutAfterMs, cutMs, faults, killsLeader}: Series): ModelFleet {
	const fleet = ModelFleet.create({
		seed, hosts, workers, faults, reportMs,
	});
	fleet.run(warmUpMs);
	for (let number = 1; number <= jobs; number++) {
		const estimateMs = number % 3 === 0 ? longMs : fleet.draw(300, 1200);
		fleet.submit(createJob(number, [createStep({count: 2, need: {cpu: 500, memoryMb: 100, gpu: 0}, estimateMs})]));
		fleet.run(fleet.draw(50, 300));
		if (number % 30 === 20) {
			strike(fleet, cutAfterMs, cutMs, killsLeader);
		}
	}

	fleet.faults = noFaults;
	fleet.run(settleMs);
	return fleet;
}

function strike(fleet: ModelFleet, cutAfterMs: number, cutMs: number, killsLeader: boolean): void {
	for (const index of struck) {
		fleet.killWorker(index, downMs);
	}

	if (killsLeader) {
		const leader = fleet.hosts.findIndex(({state}) => state === fleet.findLeader());
		fleet.killHost(leader, downMs);
	}

	fleet.run(downMs + cutAfterMs);
	for (const index of struck) {
		fleet.cutWorker(index, cutMs);
	}
}

function listUnfinished(fleet: ModelFleet): number[] {
	return Array.from({length: jobs}, (_, index) => index + 1).filter(number => fleet.getPhase(createJob(number, []).jobId) !== 'completed');
}

const lossy: ModelFaults = {...noFaults, lostPercent: 3};

const cases: ReadonlyArray<{readonly name: string; readonly series: Series}> = [
	{
		name: 'cut off for 9 s, 2 s later', series: {
			cutAfterMs: 2000, cutMs: 9000, faults: noFaults, killsLeader: false,
		},
	},
	{
		name: 'cut off for 9 s, 0.2 s later', series: {
			cutAfterMs: 200, cutMs: 9000, faults: noFaults, killsLeader: false,
		},
	},
	{
		name: 'cut off for 5.5 s, 2 s later, with lost answers', series: {
			cutAfterMs: 2000, cutMs: 5500, faults: lossy, killsLeader: false,
		},
	},
	{
		name: 'cut off for 9 s, 2 s later, with the leader killed too', series: {
			cutAfterMs: 2000, cutMs: 9000, faults: noFaults, killsLeader: true,
		},
	},
];

describe('workers that start again under their ids', () => {
	for (const {name, series} of cases) {
		/** Guards against a task that is started again although it has ended as done: the new process was sent the former one's acknowledgement. */
		it(`run no task twice: ${name}`, () => {
			for (let seed = 1; seed <= seeds; seed++) {
				const fleet = runSeries(seed, series);
				expect({seed, violations: fleet.violations, unfinished: listUnfinished(fleet)}).toEqual({seed, violations: [], unfinished: []});
			}
		});
	}
});
