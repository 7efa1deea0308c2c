/** Verdicts on pools and waves, from the platform's ledger. */
import {guardedBudget, guardedPool, workers} from './fleet-shape.js';
import {formatTime} from './journal.js';
import {PlannedOutages} from './outages.js';
import {groupBy} from './groups.js';
import {createVerdict, type Evidence, type Verdict} from './verdict.js';

/** Time after which every planner knows of a failed worker. */
const failureNoticeMs = 5000;

/** All verdicts from the platform's ledger. */
export function judgePlatform(evidence: Evidence): Verdict[] {
	return [judgeHostsOut(evidence), judgeHealthyHosts(evidence), judgeOnePool(evidence), judgeCutTasks(evidence), judgeWaves(evidence)];
}

function judgeHostsOut(evidence: Evidence): Verdict {
	const {platformLedger} = evidence;
	const outages = PlannedOutages.create(evidence);
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
	return Math.max(0, ...[...groupBy(names, name => name).values()].map(group => group.length));
}

function judgeHealthyHosts(evidence: Evidence): Verdict {
	const {platformLedger} = evidence;
	const outages = PlannedOutages.create(evidence);
	const cases: string[] = [];
	let least = workers.length;
	for (const entry of platformLedger) {
		outages.note(entry);
		if (entry.event !== 'drain-started' || entry.pool !== guardedPool) {
			continue;
		}

		const members = workers.filter(({hostId}) => outages.pools.get(hostId) === guardedPool);
		const isKnownDown = (hostId: string) => (outages.failedAt.get(hostId) ?? Number.POSITIVE_INFINITY) < entry.at - failureNoticeMs;
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
	const outages = PlannedOutages.create(evidence);
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

function judgeCutTasks({platformLedger}: Evidence): Verdict {
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
