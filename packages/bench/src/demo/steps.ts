/** The steps of the demo. Each has a title, returns what it observed, and throws if that is not what it expects. */
import {
	describeLoadRun, waitUntil, type LoadOutcome,
} from '@rhubarblever/stand-ins';
import {
	changeRecord, firstRecords, guardedPool, minimumAfterChange, services,
} from './demo-fleet.js';
import type {Demo} from './demo.js';
import {verify, type Step} from './step.js';

type FleetView = {
	readonly pools: ReadonlyArray<{readonly body: {readonly pool: string; readonly budget: {readonly minimumHealthyHosts: number}}}>;
	readonly services: ReadonlyArray<{readonly body: {readonly service: string}}>;
};

const timeoutMs = 15_000;
const awaitedAnswers = 100;

/** Waits until the fleet view of every callable entry host passes a check; returns the time this took, in milliseconds. */
async function waitForAll(demo: Demo, what: string, check: (fleet: FleetView) => boolean): Promise<number> {
	const startedAt = Date.now();
	await Promise.all(demo.listCallable().map(async host => waitUntil(`${host.hostId}: ${what}`, async () => {
		const answer = await demo.fleet.fetchFleet(host) as FleetView;
		return check(answer);
	}, timeoutMs)));
	return Date.now() - startedAt;
}

async function waitForGood(demo: Demo, count: number): Promise<LoadOutcome[]> {
	const first = demo.outcomes.length;
	const listGood = () => demo.outcomes.slice(first).filter(outcome => outcome.result === 'good');
	await waitUntil(`${count} requests have been answered completely`, async () => listGood().length >= count, timeoutMs);
	return demo.outcomes.slice(first);
}

export const publishStep: Step = {
	title: 'An operator publishes pools, services and hosts through one entry host; pools come in two schema versions',
	async run(demo) {
		await demo.publish(firstRecords);
		const tookMs = await waitForAll(demo, 'all services in force', fleet =>
			services.every(service => fleet.services.some(inForce => inForce.body.service === service)) && fleet.pools.length === 2);
		return `in force on all ${demo.listCallable().length} entry hosts ${tookMs} ms after the answer`;
	},
};

export const requestsStep: Step = {
	title: 'Dispatchers ask for route checks and replans, through all entry hosts',
	async run(demo) {
		demo.startRequests();
		const outcomes = await waitForGood(demo, awaitedAnswers);
		const {results, classes} = describeLoadRun(outcomes);
		verify(results.wrong === 0, `${results.wrong} answers were not the callers' own`);
		const quick = classes.find(summary => summary.workClass === 'quick');
		return `${results.good} of ${outcomes.length} requests got their own whole answer in time; half of the quick ones within ${quick?.latency.p50Ms.toFixed(0)} ms`;
	},
};

export const changeStep: Step = {
	title: `An operator raises the healthy hosts that pool ${guardedPool} must keep to ${minimumAfterChange}`,
	async run(demo) {
		await demo.publish([changeRecord]);
		const tookMs = await waitForAll(demo, 'the change in force', fleet =>
			fleet.pools.some(({body}) => body.pool === guardedPool && body.budget.minimumHealthyHosts === minimumAfterChange));
		return `in force on all ${demo.listCallable().length} entry hosts ${tookMs} ms after the answer`;
	},
};

export const replaceStep: Step = {
	title: 'An entry host is replaced while requests flow: it stops gracefully, a new one starts',
	async run(demo) {
		const first = demo.outcomes.length;
		const [leaving] = demo.listCallable();
		verify(leaving !== undefined, 'no entry host is left');
		if (!leaving) {
			return '';
		}

		demo.removeCallable(leaving);
		const code = await demo.fleet.stopEntryHost(demo.fleet.entryHosts.indexOf(leaving));
		verify(code === 0, `${leaving.hostId} ended with code ${code}`);
		await demo.fleet.removeListedHost(leaving.hostId);
		const added = await demo.fleet.addEntryHost(leaving.availabilityZone);
		await demo.fleet.waitForReady(added);
		demo.addCallable(added);
		await waitForGood(demo, awaitedAnswers);
		const {results, reasons} = describeLoadRun(demo.outcomes.slice(first));
		verify(results.broken + results.failed + results.unknown + results.wrong === 0, `requests were interrupted or answered wrongly: ${JSON.stringify(reasons)}`);
		return `${leaving.hostId} ended with code 0, ${added.hostId} took over; of ${demo.outcomes.length - first} requests meanwhile ${results.good} were answered and none was cut`;
	},
};

export const endStep: Step = {
	title: 'The requests end, and the targets\' own ledgers are read',
	async run(demo) {
		await demo.finishRequests();
		const {sent, results} = describeLoadRun(demo.outcomes);
		const ledgers = await demo.fleet.readLedgers();
		const started = ledgers.flatMap(ledger => ledger.entries.map(entry => entry.requestId));
		const heavy = new Set(demo.outcomes.filter(outcome => !outcome.planned.isIdempotent).map(outcome => outcome.planned.requestId));
		const heavyStarts = started.filter(id => heavy.has(id));
		const twice = heavyStarts.length - new Set(heavyStarts).size;
		verify(twice === 0, `${twice} replans ran twice`);
		verify(results.wrong === 0, `${results.wrong} answers were not the callers' own`);
		return `${sent} requests: ${results.good} answered in time, ${results.refused} refused, ${sent - results.good - results.refused} other; no replan of ${heavy.size} ran twice`;
	},
};
