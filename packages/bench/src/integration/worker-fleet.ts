/** A fleet of workers in one pool for tests of waves and jobs, and the view that its entry hosts show to operators. */
import {listedHostSchema, type ListedHost} from '@rhubarblever/core';
import {
	LocalFleet, waitUntil, type FleetShape, type LocalEntryHost, type PublishableRecord,
} from '@rhubarblever/stand-ins';

export type JobView = {readonly jobId: string; readonly step: string; readonly runs: number; readonly parkedReason?: string};

export type FleetView = {
	readonly plannerLease?: {readonly holder: string; readonly term: number};
	readonly poolHosts: ReadonlyArray<{readonly hostId: string; readonly pool: string}>;
	readonly waves: ReadonlyArray<{readonly waveId: string; readonly status: string}>;
	readonly jobs: readonly JobView[];
};

export type AvailabilityBudget = Readonly<Record<'minimumHealthyHosts' | 'maximumHostsOut' | 'maximumHostsOutPerZone' | 'maximumHostsOutPerRack', number>>;

export const zones = ['attica-a', 'attica-b', 'attica-c'];
export const poolName = 'renders';
const defaultBudget: AvailabilityBudget = {
	minimumHealthyHosts: 1, maximumHostsOut: 1, maximumHostsOutPerZone: 1, maximumHostsOutPerRack: 1,
};
/** Upper bound of waits; only reached by a test that fails. */
export const waitLimitMs = 60_000;
const endedSteps: ReadonlySet<string> = new Set(['succeeded', 'failed', 'cancelled']);

/** Describes those of the given processes that have exited, each with its last output. */
export function listUnexpectedExits(hosts: ReadonlyArray<Pick<LocalEntryHost, 'running'>>): string[] {
	return hosts.filter(({running}) => !running.isRunning).map(({running}) => running.describeEnd());
}

/** Workers spread over the zones in turn, two to a rack. */
export function createWorkers(count: number, cores = 32): ListedHost[] {
	return Array.from({length: count}, (_, index) => listedHostSchema.parse({
		hostId: `worker-${index + 1}`,
		role: 'worker',
		availabilityZone: zones[index % zones.length],
		rack: `rack-${zones[index % zones.length]}-${Math.floor(index / zones.length / 2)}`,
		address: '127.0.0.1:1',
		pool: poolName,
		state: 'live',
		cores,
		memoryBytes: 128e9,
		accelerators: 0,
	}));
}

/** Starts a fleet of three entry hosts and publishes its pool and workers. */
export async function startWorkerFleet(workers: readonly ListedHost[], shape: Partial<FleetShape> = {}, budget: AvailabilityBudget = defaultBudget): Promise<LocalFleet> {
	const fleet = await LocalFleet.create({
		availabilityZones: zones, entryHostsPerZone: 1, targetsPerZone: 0, services: [], hosts: workers, ...shape,
	});
	await fleet.publish([
		{
			recordId: 'pool', schema: 'pool', version: 3, body: {pool: poolName, budget},
		},
		...workers.map(({hostId, availabilityZone, rack}) => ({
			recordId: `host-${hostId}`, schema: 'host', version: 1, body: {
				hostId, pool: poolName, availabilityZone, rack,
			},
		})),
	]);
	return fleet;
}

/** A record that submits a job. */
export function createJob(jobId: string, changes: Record<string, unknown> = {}): PublishableRecord {
	return {
		recordId: `accept-${jobId}`,
		schema: 'job',
		version: 1,
		body: {
			jobId, pool: poolName, team: 'newsroom', jobClass: 'normal', cores: 2, memoryBytes: 1e9, declaredRunMs: 500, allowedRuns: 1, ...changes,
		},
	};
}

/** The fleet view that a running entry host shows to operators. */
export async function fetchFleetView(fleet: LocalFleet, host: LocalEntryHost = findRunningHost(fleet)): Promise<FleetView> {
	return await fleet.fetchFleet(host) as FleetView;
}

/** The entry host that holds the planner's lease, as one entry host sees it. */
export async function findPlanner(fleet: LocalFleet, seenBy: LocalEntryHost = findRunningHost(fleet)): Promise<LocalEntryHost> {
	const {plannerLease} = await fetchFleetView(fleet, seenBy);
	const planner = fleet.entryHosts.find(host => host.hostId === plannerLease?.holder);
	if (!planner) {
		throw new Error('no entry host holds the planner\'s lease');
	}

	return planner;
}

/** Waits until each of the given jobs is at a step. */
export async function waitForStep(fleet: LocalFleet, jobIds: readonly string[], step: string): Promise<void> {
	await waitForJobs(fleet, jobIds, step, job => job.step === step);
}

/** Waits until each of the given jobs has ended, with any outcome. */
export async function waitForEnds(fleet: LocalFleet, jobIds: readonly string[]): Promise<void> {
	await waitForJobs(fleet, jobIds, 'ended', job => endedSteps.has(job.step));
}

async function waitForJobs(fleet: LocalFleet, jobIds: readonly string[], goal: string, isDone: (job: JobView) => boolean): Promise<void> {
	await waitUntil(`${jobIds.length} jobs, ${jobIds[0]} first: ${goal}`, async () => {
		const {jobs} = await fetchFleetView(fleet);
		const known = new Map(jobs.map(job => [job.jobId, job]));
		return jobIds.every(jobId => {
			const job = known.get(jobId);
			return job !== undefined && isDone(job);
		});
	}, waitLimitMs);
}

function findRunningHost(fleet: LocalFleet): LocalEntryHost {
	const host = fleet.entryHosts.find(candidate => candidate.running.isRunning);
	if (!host) {
		throw new Error('no entry host is running');
	}

	return host;
}
