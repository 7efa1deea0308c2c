/** Verdicts on pools, waves and jobs, by the platform's own ledger. */
import type {PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import type {Journal} from './journal.js';
import type {FleetAnswer} from './operator.js';
import {guardedBudget, guardedPool, workers} from './fleet-shape.js';
import {formatTime} from './request-verdicts.js';
import {sortIntoGroups} from './groups.js';
import {createVerdict, type Evidence, type Verdict} from './verdict.js';

/** A failed worker is known to all planners so long after. */
const failureNewsMs = 5000;
const endedSteps = new Set(['succeeded', 'failed', 'cancelled', 'parked']);

/** All verdicts by the platform's ledger. */
export function judgePlatform(evidence: Evidence): Verdict[] {
	return [judgeMostOut(evidence), judgeLeastHealthy(evidence), judgeOnePool(evidence), judgeCuts(evidence), judgeWaves(evidence), ...judgeJobs(evidence)];
}

/** Workers that are out of service by plan, as the ledger goes on. */
class Outages {
	static create({releasedAt}: Evidence): Outages {
		return new Outages(releasedAt);
	}

	/** The drain that took each of them out. */
	readonly out = new Map<string, PlatformLedgerEntry>();
	readonly failedAt = new Map<string, number>();
	readonly pools = new Map<string, string>(workers.map(worker => [worker.hostId, guardedPool]));
	private at = 0;

	private constructor(private readonly releasedAt: Evidence['releasedAt']) {}

	note(entry: PlatformLedgerEntry): void {
		const {event, hostId, pool, at} = entry;
		this.at = at;
		if (event === 'drain-started') {
			this.out.set(hostId, entry);
		} else if (event === 'undrained' || (event === 'drain-failed' && !this.failedAt.has(hostId))) {
			this.out.delete(hostId);
		} else if (event === 'worker-failed') {
			this.failedAt.set(hostId, at);
		} else if (event === 'worker-healed') {
			this.failedAt.delete(hostId);
		} else if (event === 'pool-set' && pool !== undefined) {
			this.pools.set(hostId, pool);
		}
	}

	/** The hosts that are out, each with the drain that took it out, in words. */
	describeOut(): string {
		return this.listOut().map(hostId => {
			const {operationId, at} = this.out.get(hostId)!;
			return `${operationId} since ${formatTime(at)}`;
		}).join(', ');
	}

	/** Hosts of the guarded pool that are out. */
	listOut(): string[] {
		return [...this.out.keys()].filter(hostId => this.pools.get(hostId) === guardedPool && !this.isReleased(hostId));
	}

	private isReleased(hostId: string): boolean {
		const [chainId = ''] = this.out.get(hostId)?.operationId?.split('.drain.') ?? [];
		return (this.releasedAt.get(chainId) ?? Number.POSITIVE_INFINITY) <= this.at;
	}
}

function judgeMostOut(evidence: Evidence): Verdict {
	const {platformLedger} = evidence;
	const outages = Outages.create(evidence);
	const cases: string[] = [];
	const most = {all: 0, zone: 0, rack: 0};
	for (const entry of platformLedger) {
		outages.note(entry);
		const out = workers.filter(({hostId}) => outages.listOut().includes(hostId));
		const counts = {
			all: out.length,
			zone: findLargest(out.map(({availabilityZone}) => availabilityZone)),
			rack: findLargest(out.map(({rack}) => rack ?? '')),
		};
		const isOver = counts.all > guardedBudget.maximumHostsOut || counts.zone > guardedBudget.maximumHostsOutPerZone || counts.rack > guardedBudget.maximumHostsOutPerRack;
		if (isOver && entry.event === 'drain-started') {
			cases.push(`${formatTime(entry.at)} ${outages.describeOut()}`);
		}

		most.all = Math.max(most.all, counts.all);
		most.zone = Math.max(most.zone, counts.zone);
		most.rack = Math.max(most.rack, counts.rack);
	}

	const drains = platformLedger.filter(({event}) => event === 'drain-started').length;
	return createVerdict('most hosts out by plan: in all, per zone and per rack', `${drains} drains; most out ${most.all}, ${most.zone} in a zone, ${most.rack} in a rack`, cases);
}

function findLargest(names: readonly string[]): number {
	return Math.max(0, ...[...sortIntoGroups(names, name => name).values()].map(group => group.length));
}

function judgeLeastHealthy(evidence: Evidence): Verdict {
	const {platformLedger} = evidence;
	const outages = Outages.create(evidence);
	const cases: string[] = [];
	let least = workers.length;
	for (const entry of platformLedger) {
		outages.note(entry);
		if (entry.event !== 'drain-started' || entry.pool !== guardedPool) {
			continue;
		}

		const members = workers.filter(({hostId}) => outages.pools.get(hostId) === guardedPool);
		const isKnownDown = (hostId: string) => (outages.failedAt.get(hostId) ?? Number.POSITIVE_INFINITY) < entry.at - failureNewsMs;
		const healthy = members.filter(({hostId}) => !outages.out.has(hostId) && !isKnownDown(hostId)).length;
		least = Math.min(least, healthy);
		if (healthy < guardedBudget.minimumHealthyHosts) {
			cases.push(`${formatTime(entry.at)} ${entry.hostId} ${entry.operationId ?? ''}: ${healthy} healthy of ${members.length}`);
		}
	}

	return createVerdict('no drain begins that leaves fewer healthy hosts than the pool must keep', `least ${least}, to keep ${guardedBudget.minimumHealthyHosts}`, cases);
}

function judgeOnePool(evidence: Evidence): Verdict {
	const {states, platformLedger} = evidence;
	const outages = Outages.create(evidence);
	for (const entry of platformLedger) {
		outages.note(entry);
	}

	const cases = states.flatMap(({hostId: entryHost, state}) => workers.flatMap(({hostId}) => {
		const pools = state?.poolHosts.filter(member => member.hostId === hostId).map(member => member.pool) ?? [];
		const isRight = pools.length === 1 && pools[0] === outages.pools.get(hostId);
		return isRight || !state ? [] : [`${entryHost}: ${hostId} is in [${pools.join(', ')}], on the platform in ${outages.pools.get(hostId)}`];
	}));
	const moves = platformLedger.filter(({event}) => event === 'pool-set').length;
	return createVerdict('each host is in one pool, the same for all entry hosts and the platform', `${moves} moves`, cases);
}

function judgeCuts({platformLedger}: Evidence): Verdict {
	const cut = platformLedger.filter(({event}) => event === 'task-cut');
	return createVerdict(
		'no planned reboot cuts a running task',
		`${platformLedger.filter(({event}) => event === 'reboot-started').length} reboots`,
		cut.map(({at, hostId, taskId}) => `${formatTime(at)} ${taskId} on ${hostId}`),
	);
}

function judgeWaves({states}: Evidence): Verdict {
	const state = states.find(candidate => candidate.state)?.state;
	const waves = state?.waves ?? [];
	const pools = new Map(state?.poolHosts.map(({hostId, pool}) => [hostId, pool]));
	const describeLeft = (hosts: typeof waves[number]['hosts']) => hosts
		.filter(host => host.state !== 'rebooted')
		.map(host => `${host.hostId} ${host.state} in ${pools.get(host.hostId)}`)
		.join(', ');
	return createVerdict(
		'maintenance waves finish',
		waves.map(({waveId, status}) => `${waveId} ${status}`).join(', ') || 'none',
		waves.filter(({status}) => status !== 'done').map(({waveId, status, hosts}) => `${waveId} is ${status}: ${describeLeft(hosts)}`),
	);
}

/** Accepted jobs that have not ended, or are unknown to the fleet. */
export function listUnendedJobs(journal: Journal, {jobs}: FleetAnswer): string[] {
	const ended = new Set(jobs.filter(({step}) => endedSteps.has(step)).map(({jobId}) => jobId));
	return [...journal.jobs.keys()].filter(jobId => !ended.has(jobId));
}

function judgeJobs({journal, states, platformLedger}: Evidence): Verdict[] {
	const starts = sortIntoGroups(platformLedger.filter(({event}) => event === 'task-started'), ({taskId}) => taskId);
	const state = states.find(candidate => candidate.state)?.state;
	const steps = new Map(state?.jobs.map(({jobId, step}) => [jobId, step]));
	const unended = state ? listUnendedJobs(journal, state) : [...journal.jobs.keys()];
	const tooOften = [...journal.jobs].filter(([jobId, allowedRuns]) => (starts.get(jobId)?.length ?? 0) > allowedRuns);
	const counts = [...sortIntoGroups(steps.values(), step => step)].map(([step, group]) => `${step} ${group.length}`).join(', ');
	return [
		createVerdict('every accepted job ends', `${journal.jobs.size} accepted; ${counts}`, unended.map(jobId => `${jobId} is ${steps.get(jobId) ?? 'gone'}`)),
		createVerdict(
			'no job starts more often than it may',
			`${[...starts.values()].flat().length} starts`,
			tooOften.map(([jobId, allowedRuns]) => `${jobId}: ${starts.get(jobId)?.map(({at, hostId, attempt}) => `${attempt} on ${hostId} at ${formatTime(at)}`).join(', ')}; allowed ${allowedRuns}`),
		),
	];
}
