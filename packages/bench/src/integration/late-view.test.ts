/** A host whose view of the store is stale, for whatever reason, must not tell callers that an accepted job does not exist. */
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {
	createPageLimits, sleep, waitUntil, type StoreRead,
} from '@rhubarblever/stand-ins';
import {createJobId, EntryHosts, type EntryHost} from './entry-hosts.js';

const intakeStream = 'keyed.intake';
const hostCount = 3;
const workerCount = 3;
const finishedCount = 320;
const submittersAtOnce = 16;
/** Every host must know an accepted job after this time. */
const visibleMs = 3000;
/** The state of a job is queried up to this time after its acceptance. */
const queriedUntilMs = 7000;
const submitIntervalMs = 60;
const queryIntervalMs = 80;
const loadMs = 8000;
const minimumAccepted = 101;
const jobTimeoutMs = 60_000;
const pageItems = 20;
const pageDelayMs = 300;
const dropIntervalMs = 400;
const defaultPageLimits = createPageLimits();

type AcceptedJob = {readonly id: string; readonly acceptedAt: number};
type WrongDenial = {readonly id: string; readonly acceptedMsBefore: number};

describe('a host with a stale view of the jobs', () => {
	let fleet: EntryHosts;
	let staleHost: EntryHost;
	let others: EntryHost[];
	let nextJob: number;
	let timer: NodeJS.Timeout | undefined;

	before(async () => {
		nextJob = 0;
		fleet = await EntryHosts.start({hosts: hostCount, workers: workerCount, runMs: 20});
		await finishJobs();
		await waitUntil('a host leads', async () => await fleet.findLeader() !== undefined, jobTimeoutMs);
		const leader = await fleet.findLeader();
		staleHost = fleet.hosts.find(host => host !== leader)!;
		others = fleet.hosts.filter(host => host !== staleHost);
	});

	afterEach(() => {
		endFaults();
	});

	after(async () => {
		await fleet.close();
	});

	/** Fills the job stream with completed jobs. */
	async function finishJobs(): Promise<void> {
		const ids = Array.from({length: finishedCount}, () => createJobId(nextJob++));
		const pending = [...ids];
		await Promise.all(Array.from({length: submittersAtOnce}, async () => {
			for (let id = pending.pop(); id !== undefined; id = pending.pop()) {
				// eslint-disable-next-line no-await-in-loop
				const {status} = await fleet.callJob(fleet.hosts[0]!, 'POST', id);
				expect(status).toEqual(200);
			}
		}));
		for (const id of ids) {
			// eslint-disable-next-line no-await-in-loop
			await waitForCompletion(id);
		}
	}

	async function waitForCompletion(id: string): Promise<void> {
		await waitUntil(`${id} is completed`, async () => await getState(fleet.hosts[0]!, id) === 'completed', jobTimeoutMs);
	}

	async function waitUntilKnown(id: string): Promise<void> {
		await waitUntil(`the stale host knows ${id}`, async () => await getState(staleHost, id) !== undefined, jobTimeoutMs);
	}

	async function getState(host: EntryHost, id: string): Promise<string | undefined> {
		const {state} = await fleet.callJob(host, 'GET', id);
		return state;
	}

	/** Delays chosen reads of the stale host: `beforeMs` before the content is read, `afterMs` between the read and the answer. */
	function delayReads(afterMs: number, choose: (read: StoreRead) => boolean = () => true, beforeMs = 0): void {
		fleet.platform.drawReadDelay = read => read.endpoint === staleHost.storeAddress && choose(read) ? {beforeMs, afterMs} : {beforeMs: 0, afterMs: 0};
	}

	/** Drops the history of the job stream periodically. */
	function dropHistories(): void {
		timer = setInterval(() => {
			fleet.platform.log.dropHistory(intakeStream);
		}, dropIntervalMs);
	}

	function endFaults(): void {
		clearInterval(timer);
		fleet.platform.drawReadDelay = () => ({beforeMs: 0, afterMs: 0});
		Object.assign(fleet.platform.log.pageLimits, defaultPageLimits);
	}

	/** Submits jobs to the other hosts and queries them at the stale one. `wrong`: accepted jobs that it denied. `statusCounts`: number of its answers by status. */
	async function runLoad(): Promise<{wrong: WrongDenial[]; accepted: AcceptedJob[]; statusCounts: Record<number, number>}> {
		const accepted: AcceptedJob[] = [];
		const wrong: WrongDenial[] = [];
		const statusCounts: Record<number, number> = {};
		const deadline = performance.now() + loadMs;
		const latestDeadline = deadline + jobTimeoutMs;
		// Submitting takes longer on a busy machine.
		const isRunning = () => performance.now() < (accepted.length < minimumAccepted ? latestDeadline : deadline);
		const inFlight: Array<Promise<void>> = [];
		const query = async ({id, acceptedAt}: AcceptedJob): Promise<void> => {
			const acceptedMsBefore = Math.round(performance.now() - acceptedAt);
			const status = await fleet.callJob(staleHost, 'GET', id).then(answer => answer.status).catch(() => 0);
			statusCounts[status] = (statusCounts[status] ?? 0) + 1;
			if (status === 410) {
				wrong.push({id, acceptedMsBefore});
			}
		};

		const submit = async (): Promise<void> => {
			while (isRunning()) {
				const id = createJobId(nextJob++);
				// eslint-disable-next-line no-await-in-loop
				const {status} = await fleet.callJob(others[nextJob % others.length]!, 'POST', id);
				if (status === 200) {
					accepted.push({id, acceptedAt: performance.now()});
				}

				// eslint-disable-next-line no-await-in-loop
				await sleep(submitIntervalMs);
			}
		};

		const queryAll = async (): Promise<void> => {
			while (isRunning()) {
				const now = performance.now();
				inFlight.push(...accepted.filter(({acceptedAt}) => acceptedAt < now - visibleMs && acceptedAt > now - queriedUntilMs).map(async job => query(job)));
				// eslint-disable-next-line no-await-in-loop
				await sleep(queryIntervalMs);
			}
		};

		await Promise.all([submit(), queryAll()]);
		await Promise.all(inFlight);
		return {wrong, accepted, statusCounts};
	}

	async function expectNothingWrong(): Promise<void> {
		const {wrong, accepted, statusCounts} = await runLoad();
		endFaults();
		expect(accepted.length >= minimumAccepted).toEqual(true);
		// The stale host has answered queries, whether with a state or with 503.
		expect((statusCounts[200] ?? 0) + (statusCounts[503] ?? 0) > 0).toEqual(true);
		const message = `${wrong.length} of ${JSON.stringify(statusCounts)} answers denied an accepted job; time since acceptance in ms: ${wrong.map(({acceptedMsBefore}) => acceptedMsBefore).toSorted((a, b) => a - b).slice(0, 12).join(', ')}`;
		expect(wrong.length === 0 ? 'none wrong' : message).toEqual('none wrong');
		for (const {id} of accepted) {
			// eslint-disable-next-line no-await-in-loop
			await waitUntilKnown(id);
		}
	}

	it('knows accepted jobs without faults, which shows that the load alone causes no denials in the other tests', async () => {
		const {wrong, accepted, statusCounts} = await runLoad();
		expect([wrong, accepted.length >= minimumAccepted]).toEqual([[], true]);
		expect((statusCounts[200] ?? 0) > (statusCounts[503] ?? 0)).toEqual(true);
	});

	it('never denies an accepted job after a start in which loading the pages of all jobs was slow', async () => {
		staleHost.process.sendSignal('SIGKILL');
		await staleHost.process.waitForEnd();
		fleet.platform.log.pageLimits.newestItems = pageItems;
		delayReads(pageDelayMs);
		fleet.restartHost(staleHost);
		await expectNothingWrong();
	});

	it('never denies an accepted job while each read returns content that is 1.7 s old', async () => {
		delayReads(1700);
		await expectNothingWrong();
	});

	it('never denies an accepted job while each read returns content that is 3.5 s old', async () => {
		delayReads(3500);
		await expectNothingWrong();
	});

	it('never denies an accepted job while each read returns only one of many small pages', async () => {
		fleet.platform.log.pageLimits.readBytes = 400;
		delayReads(pageDelayMs, ({operation, topic}) => operation === 'log-read' && topic === intakeStream);
		await expectNothingWrong();
	});

	it('never denies an accepted job after history that the host had not yet read was dropped', async () => {
		fleet.platform.log.pageLimits.newestItems = pageItems;
		delayReads(0, () => true, 1500);
		dropHistories();
		await expectNothingWrong();
	});
});
