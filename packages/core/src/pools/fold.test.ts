/** The state machine alone: whatever several planners and operators propose, no outage or move is accepted beyond a pool's availability budget, a host changes its pool only by a completed move, and one log always gives the same state. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {applyRecord, type RecordOutcome} from '../fleet/apply-record.js';
import {createFleetState, type FleetState} from '../fleet/state.js';
import type {HostId, PoolId, RecordId} from '../types/ids.js';
import type {LoggedRecord, LogRecord} from '../types/records.js';
import type {Instant, Offset} from '../types/time.js';

const pools = ['trucks', 'spare'];
const hostIds = Array.from({length: 24}, (_, index) => `worker-${index + 1}` as HostId);
/** Places four hosts of each pool in each availability zone, two of them in one rack, so that every limit can be reached. */
function describePlace(index: number): {pool: string; availabilityZone: string; rack: string} {
	const inPool = Math.floor(index / 2);
	return {pool: pools[index % 2]!, availabilityZone: `zone-${inPool % 3}`, rack: `rack-${Math.floor(inPool / 3) % 3}`};
}

const leaseMs = 5000;
const drainDeadline = 9_000_000;

type Proposal = {schema: string; version: number; body: unknown};
type Command = {
	readonly kind: string;
	readonly host: number;
	readonly pool: number;
	readonly planner: number;
	readonly number: number;
	/** Whether the proposer uses an earlier term. */
	readonly isStale: boolean;
	readonly delivery: 'once' | 'twice' | 'lost' | 'later';
	readonly elapsedMs: number;
};

const kinds = [
	'grant', 'grant', 'grant', 'step', 'step', 'step', 'end', 'return', 'lend', 'lend', 'move', 'move', 'health', 'lease', 'lease', 'pool', 'wave', 'wave-cancel', 'host',
];
const commandArbitrary: fc.Arbitrary<Command> = fc.record({
	kind: fc.constantFrom(...kinds),
	host: fc.nat(hostIds.length - 1),
	pool: fc.nat(1),
	planner: fc.nat(2),
	number: fc.nat(8),
	isStale: fc.boolean(),
	delivery: fc.constantFrom('once', 'once', 'once', 'twice', 'lost', 'later'),
	elapsedMs: fc.constantFrom(0, 100, 3000, 6000),
});

const stepSchemas: Readonly<Record<string, string>> = {
	granted: 'host-drained',
	drained: 'host-rebooted',
	rebooted: 'outage-end',
	lent: 'move-drained',
	released: 'move-joined',
};

function planStep(fleet: FleetState, command: Command, term: number): Proposal {
	const hostId = hostIds[command.host]!;
	const chain = fleet.hosts.get(hostId)?.chain;
	const isReleasing = chain?.kind === 'move' && chain.step === 'drained';
	const schema = isReleasing ? 'move-released' : stepSchemas[chain?.step ?? 'granted'] ?? '';
	const body = {hostId, term, operationId: chain?.operationId ?? 'none'};
	return {schema, version: 1, body: schema === 'outage-end' ? {...body, outcome: 'rebooted'} : body};
}

function createEnd(schema: string, outcome: {readonly outcome?: string}) {
	return (fleet: FleetState, {host}: Command, term: number): Proposal =>
		({
			schema, version: 1, body: {
				hostId: hostIds[host], term, operationId: fleet.hosts.get(hostIds[host]!)?.chain?.operationId ?? 'none', ...outcome,
			},
		});
}

const proposers: Readonly<Record<string, (fleet: FleetState, command: Command, term: number, at: number) => Proposal>> = {
	grant: (_fleet, command, term) => ({
		schema: 'outage-grant',
		version: 1,
		body: {
			hostId: hostIds[command.host], waveId: `wave-${command.number % 3}`, term, operationId: `op-${command.host}-${term}-${command.number}`, drainDeadline,
		},
	}),
	step: planStep,
	end: createEnd('outage-end', {outcome: 'failed'}),
	return: createEnd('outage-return', {}),
	lend(fleet, command, term) {
		const host = fleet.hosts.get(hostIds[command.host]!);
		return {
			schema: 'move-lend',
			version: 1,
			body: {
				hostId: hostIds[command.host], from: host?.pool ?? pools[0], to: host?.requestedPool ?? pools[command.pool], term, operationId: `move-${command.host}-${command.number}`, drainDeadline,
			},
		};
	},
	move: (_fleet, command) => ({schema: 'move', version: 1, body: {hostId: hostIds[command.host], to: pools[command.pool]}}),
	health: (_fleet, command, term) => ({schema: 'host-health', version: 1, body: {hostId: hostIds[command.host], isDown: command.number < 3, term}}),
	lease(fleet, command, _term, at) {
		const lease = fleet.plannerLease;
		const isRenewal = lease?.holder === `entry-${command.planner}`;
		return {
			schema: 'planner-lease',
			version: 1,
			body: {
				holder: `entry-${command.planner}`, incarnation: 'incarnation-1', term: (lease?.term ?? 0) + (isRenewal ? 0 : 1), deadline: at + leaseMs,
			},
		};
	},
	pool: (_fleet, command) => command.number % 2 === 0
		? {schema: 'pool', version: 1, body: {pool: pools[command.pool], minimumHealthyHosts: command.number}}
		: {
			schema: 'pool',
			version: 3,
			body: {
				pool: pools[command.pool],
				budget: {
					minimumHealthyHosts: 4 + (command.number % 8), maximumHostsOut: 3, maximumHostsOutPerZone: 1 + (command.number % 2), maximumHostsOutPerRack: 1,
				},
			},
		},
	wave: (_fleet, command) => ({
		schema: 'wave',
		version: 1,
		body: {
			waveId: `wave-${command.number % 3}`, pool: pools[command.pool], finishBy: 10_000_000, drainLimitMs: 1000, weights: {rollOutTime: 1, bufferCost: 1},
		},
	}),
	'wave-cancel': (_fleet, command) => ({schema: 'wave-cancel', version: 1, body: {waveId: `wave-${command.number % 3}`}}),
	host: (_fleet, command) => ({
		schema: 'host',
		version: 1,
		body: {
			...describePlace(command.host), hostId: hostIds[command.host], pool: pools[command.pool],
		},
	}),
};

/** A log under construction, the state built from it, and the pool of each host so far. */
class LogBuilder {
	static create(): LogBuilder {
		const builder = new LogBuilder();
		builder.append({
			schema: 'planner-lease', version: 1, body: {
				holder: 'entry-0', incarnation: 'incarnation-1', term: 1, deadline: leaseMs,
			},
		});
		for (const pool of pools) {
			builder.append({
				schema: 'pool', version: 3, body: {
					pool, budget: {
						minimumHealthyHosts: 8, maximumHostsOut: 3, maximumHostsOutPerZone: 1, maximumHostsOutPerRack: 1,
					},
				},
			});
		}

		for (const [index, hostId] of hostIds.entries()) {
			builder.append({
				schema: 'host', version: 1, body: {
					hostId, ...describePlace(index),
				},
			});
		}

		for (const [index, pool] of pools.entries()) {
			builder.append(proposers.wave!(builder.fleet, {number: index, pool: pools.indexOf(pool)} as Command, 1, 0));
		}

		return builder;
	}

	readonly fleet = createFleetState();
	readonly log: LoggedRecord[] = [];
	at = 0;
	acceptedGrants = 0;
	private readonly poolByHost = new Map<HostId, PoolId>();
	private readonly delayedRecords: LogRecord[] = [];
	private staleTerm = 1;

	private constructor() {}

	run(command: Command): void {
		this.at += command.elapsedMs;
		const term = command.isStale ? this.staleTerm : this.fleet.plannerLease?.term ?? 1;
		this.staleTerm = command.number === 0 ? this.fleet.plannerLease?.term ?? 1 : this.staleTerm;
		const proposal = proposers[command.kind]!(this.fleet, command, term, this.at);
		this.send(this.createRecord(proposal), command.delivery);
	}

	append(proposal: Proposal): void {
		this.appendRecord(this.createRecord(proposal));
	}

	private createRecord(proposal: Proposal): LogRecord {
		return {recordId: `record-${this.log.length}-${this.delayedRecords.length}` as RecordId, ...proposal};
	}

	private send(record: LogRecord, delivery: Command['delivery']): void {
		if (delivery === 'later') {
			this.delayedRecords.push(record);
		} else if (delivery !== 'lost') {
			this.appendRecord(record);
		}

		if (delivery === 'twice') {
			this.appendRecord(record);
		}

		if (this.delayedRecords.length > 3) {
			this.appendRecord(this.delayedRecords.shift()!);
		}
	}

	private appendRecord(record: LogRecord): void {
		const logged = {offset: this.log.length as Offset, at: this.at as Instant, record};
		this.log.push(logged);
		const outcome = applyRecord(this.fleet, logged);
		this.checkInvariants(record, outcome);
	}

	/** Checks budgets and pools by its own counts, independent of the code under test. */
	private checkInvariants(record: LogRecord, outcome: RecordOutcome): void {
		for (const host of this.fleet.hosts.values()) {
			const before = this.poolByHost.get(host.hostId);
			const mayChange = before === undefined || record.schema === 'move-joined';
			expect(before === host.pool || mayChange).toEqual(true);
			this.poolByHost.set(host.hostId, host.pool);
		}

		if (outcome.verdict !== 'accepted' || !['outage-grant', 'move-lend'].includes(record.schema)) {
			return;
		}

		this.acceptedGrants += 1;
		const {hostId} = record.body as {hostId: HostId};
		const grantedHost = this.fleet.hosts.get(hostId)!;
		const {budget} = this.fleet.pools.get(grantedHost.pool)!.body;
		const members = [...this.fleet.hosts.values()].filter(host => host.pool === grantedHost.pool);
		const out = members.filter(host => ['granted', 'drained', 'rebooted', 'lent'].includes(host.chain?.step ?? 'none'));
		const serving = members.filter(host => !host.isDown && !host.chain);
		expect(grantedHost.isDown || serving.length >= budget.minimumHealthyHosts).toEqual(true);
		expect(out.length <= budget.maximumHostsOut).toEqual(true);
		expect(out.filter(host => host.availabilityZone === grantedHost.availabilityZone).length <= budget.maximumHostsOutPerZone).toEqual(true);
		expect(out.filter(host => host.availabilityZone === grantedHost.availabilityZone && host.rack === grantedHost.rack).length <= budget.maximumHostsOutPerRack).toEqual(true);
	}
}

describe('the state machine with pools and waves', () => {
	it('keeps availability budgets and changes pools only by moves under any interleaving, repetition and loss, and gives the same state again', () => {
		let acceptedGrants = 0;
		fc.assert(fc.property(fc.array(commandArbitrary, {minLength: 20, maxLength: 150, size: 'max'}), commands => {
			const builder = LogBuilder.create();
			for (const command of commands) {
				builder.run(command);
			}

			acceptedGrants += builder.acceptedGrants;
			const second = createFleetState();
			for (const logged of builder.log) {
				applyRecord(second, structuredClone(logged));
			}

			expect(second).toEqual(builder.fleet);
		}), {numRuns: 200, seed: 20_261_203});
		expect(acceptedGrants).toBeGreaterThan(200);
	});

	it('rejects records of another term and steps out of order', () => {
		const builder = LogBuilder.create();
		const grant = {
			hostId: 'worker-1', waveId: 'wave-0', operationId: 'op-1', drainDeadline,
		};
		builder.append({schema: 'host-drained', version: 1, body: {hostId: 'worker-1', term: 1, operationId: 'op-1'}});
		builder.append({schema: 'outage-grant', version: 1, body: {...grant, term: 2}});
		expect(builder.fleet.hosts.get('worker-1' as HostId)?.chain).toEqual(undefined);
		builder.append({schema: 'outage-grant', version: 1, body: {...grant, term: 1}});
		builder.append({schema: 'host-rebooted', version: 1, body: {hostId: 'worker-1', term: 1, operationId: 'op-1'}});
		expect(builder.fleet.hosts.get('worker-1' as HostId)?.chain?.step).toEqual('granted');
		builder.at = leaseMs;
		builder.append({
			schema: 'planner-lease', version: 1, body: {
				holder: 'entry-1', incarnation: 'incarnation-1', term: 2, deadline: builder.at + leaseMs,
			},
		});
		builder.append({schema: 'host-drained', version: 1, body: {hostId: 'worker-1', term: 1, operationId: 'op-1'}});
		expect(builder.fleet.hosts.get('worker-1' as HostId)?.chain?.step).toEqual('granted');
		builder.append({schema: 'host-drained', version: 1, body: {hostId: 'worker-1', term: 2, operationId: 'op-1'}});
		expect(builder.fleet.hosts.get('worker-1' as HostId)?.chain?.step).toEqual('drained');
	});

	it('grants no new outage and ends none once a budget is raised above the number of healthy hosts', () => {
		const builder = LogBuilder.create();
		const grant = {term: 1, waveId: 'wave-0', drainDeadline};
		builder.append({schema: 'outage-grant', version: 1, body: {...grant, hostId: 'worker-1', operationId: 'op-1'}});
		builder.append({schema: 'pool', version: 1, body: {pool: 'trucks', minimumHealthyHosts: 12}});
		builder.append({schema: 'outage-grant', version: 1, body: {...grant, hostId: 'worker-3', operationId: 'op-3'}});
		expect(builder.fleet.hosts.get('worker-1' as HostId)?.chain?.step).toEqual('granted');
		expect(builder.fleet.hosts.get('worker-3' as HostId)?.chain).toEqual(undefined);
	});
});
