/**
 * Several entry hosts on a fake network and log: no request id runs twice under dropped, duplicated and delayed messages,
 * partitions, pauses, crashes and repeats.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {createState, listStartEffects, reduce} from '../engine/reduce.js';
import type {Effect, EffectOf, EffectType} from '../types/effects.js';
import type {Event} from '../types/events.js';
import {listedHostSchema} from '../types/hosts.js';
import type {
	AvailabilityZone, CallerKey, HostId, Incarnation, RequestId, ServiceId, TeamId,
} from '../types/ids.js';
import type {LoggedRecord, LogRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';

const stepMs = 10;
const hourMs = 3_600_000;
const zones = ['a', 'b', 'c'];
const service = 'replans' as ServiceId;
const targets = zones.map(zone => listedHostSchema.parse({
	hostId: `runner-${zone}`, role: 'runner', availabilityZone: zone, address: '127.0.0.1:1', service, state: 'live',
}));
const startRecords = [
	{
		recordId: 'pool', schema: 'pool', version: 1, body: {pool: 'trucks', minimumHealthyHosts: 1},
	},
	{
		recordId: 'service',
		schema: 'service',
		version: 1,
		body: {
			service, pool: 'trucks', slotsPerRunner: 8, connectionsPerRunner: 64,
		},
	},
] as LogRecord[];

type ScheduledEvent = {readonly at: number; readonly from: HostId | undefined; readonly event: Event};
type FakeHost = {
	readonly hostId: HostId; readonly zone: string; incarnationCount: number; state: State | undefined; inbox: ScheduledEvent[]; pausedUntil: number; readFrom: number | undefined;
};
type Faults = {
	readonly dropPercent: number; readonly kills: number; readonly pauses: number; readonly cuts: number; readonly logOutages: number; readonly isRolling: boolean;
};

class FakeFleet {
	static create(seed: number, hostsPerZone: number): FakeFleet {
		return new FakeFleet(seed, hostsPerZone);
	}

	now = 1_700_000_000_000;
	dropPercent = 0;
	busyPercent = 0;
	isLogDown = false;
	cutZone = '';
	readonly hosts: FakeHost[];
	/** Dispatches that the target ran, by request id. */
	readonly runs = new Map<RequestId, number>();
	readonly answers: Array<EffectOf<'caller/refuse'>> = [];
	readonly violations: string[] = [];
	private readonly log: LoggedRecord[] = [];
	private readonly random;
	private callCount = 0;

	private readonly runners: {readonly [Type in EffectType]?: (host: FakeHost, effect: EffectOf<Type>) => void} = {
		'peer/send': (host, {peer, message}) => {
			const to = this.hosts.find(({hostId}) => hostId === peer);
			const copies = to ? 1 + Number(this.draw(100) < 5) : 0;
			for (let copy = 0; copy < copies && this.draw(100) >= this.dropPercent; copy++) {
				this.deliver(to!, this.draw(20) === 0 ? this.draw(800) : 1 + this.draw(5), {
					type: 'peer/message', at: 0 as Instant, peer: host.hostId, message,
				}, host.hostId);
			}
		},
		'log/append': (host, {records}) => {
			if (!this.isLogDown) {
				this.append(records);
			}

			const recordIds = records.map(record => record.recordId);
			this.deliver(host, 5, this.isLogDown || this.draw(10) === 0
				? {
					type: 'log/append-failed', at: 0 as Instant, recordIds, fault: {kind: 'log-unavailable', detail: ''},
				}
				: {type: 'log/appended', at: 0 as Instant, recordIds});
		},
		'log/schedule-flush': (host, {at}) => {
			this.deliver(host, Math.max(0, at - this.now), {type: 'log/flush-due', at: 0 as Instant});
		},
		'snapshot/read': host => {
			this.deliver(host, 5, {
				type: 'snapshot/read', at: 0 as Instant, records: [], firstOffset: 0 as Offset, nextOffset: 0 as Offset,
			});
		},
		'snapshot/write': (host, {nextOffset}) => {
			this.deliver(host, 5, {type: 'snapshot/written', at: 0 as Instant, nextOffset});
		},
		'log/read'(host, {from}) {
			host.readFrom = from;
		},
		'attempt/dispatch': (host, {attemptId, requestId}) => {
			const wasRefused = this.draw(100) < this.busyPercent;
			this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + (wasRefused ? 0 : 1));
			this.deliver(host, this.draw(300), wasRefused
				? {
					type: 'attempt/failed', at: 0 as Instant, attemptId, fault: {kind: 'target-busy', detail: ''}, wasSent: true, wasRefused, hasAnswerBegun: false,
				}
				: {
					type: 'attempt/answered', at: 0 as Instant, attemptId, status: 200,
				});
		},
		'caller/refuse': (_, effect) => {
			this.answers.push(effect);
		},
		'invariant/violated': (_, {name, detail}) => {
			this.violations.push(`${name}: ${detail}`);
		},
	};

	private constructor(private readonly seed: number, hostsPerZone: number) {
		this.random = xoroshiro128plus(seed);
		this.append(startRecords);
		this.hosts = Array.from({length: hostsPerZone * zones.length}, (_, index) => ({
			hostId: `entry-${index}` as HostId, zone: zones[index % zones.length] ?? '', incarnationCount: 0, state: undefined, inbox: [], pausedUntil: 0, readFrom: undefined,
		}));
	}

	draw(below: number): number {
		return unsafeUniformIntDistribution(0, below - 1, this.random);
	}

	pickHost(): FakeHost {
		return this.hosts[this.draw(this.hosts.length)]!;
	}

	start(host: FakeHost): void {
		if (host.state) {
			return;
		}

		host.incarnationCount += 1;
		host.inbox = [];
		host.readFrom = undefined;
		const describeHost = (one: FakeHost) => ({hostId: one.hostId, availabilityZone: one.zone as AvailabilityZone, address: '127.0.0.1:1'});
		host.state = createState({
			self: describeHost(host),
			incarnation: `${host.hostId}-life-${host.incarnationCount}` as Incarnation,
			peers: this.hosts.filter(one => one !== host).map(one => describeHost(one)),
			routingPolicy: this.seed % 2 === 0 ? 'steward' : 'least-outstanding',
			seed: 1,
		});
		this.run(host, listStartEffects(host.state));
		for (const one of this.hosts) {
			this.deliver(host, 1, {type: 'peer/linked', at: 0 as Instant, peer: one.hostId});
			this.deliver(one, 1, {type: 'peer/linked', at: 0 as Instant, peer: host.hostId});
		}

		this.deliver(host, 1, {type: 'hosts/listed', at: 0 as Instant, hosts: targets});
	}

	kill(host: FakeHost): void {
		host.state = undefined;
		host.inbox = [];
	}

	send(host: FakeHost, requestId: RequestId, deadlineMs = 3000): CallerKey {
		this.callCount += 1;
		const callerKey = `call-${this.callCount}` as CallerKey;
		this.deliver(host, 0, {
			type: 'request/arrived',
			at: 0 as Instant,
			request: {
				callerKey,
				requestId,
				service,
				team: 'dispatchers' as TeamId,
				workClass: 'heavy',
				isIdempotent: false,
				arrivedAt: this.now as Instant,
				deadline: (this.now + deadlineMs) as Instant,
			},
		});
		return callerKey;
	}

	advance(milliseconds: number): void {
		for (const end = this.now + milliseconds; this.now < end; this.now += stepMs) {
			for (const host of this.hosts) {
				this.step(host);
			}
		}
	}

	private step(host: FakeHost): void {
		if (!host.state || host.pausedUntil > this.now) {
			return;
		}

		this.readLog(host);
		const due = host.inbox.filter(({at}) => at <= this.now).toSorted((a, b) => a.at - b.at);
		host.inbox = host.inbox.filter(({at}) => at > this.now);
		for (const {event} of due) {
			this.handleEvent(host, event);
		}

		if (this.now % 50 === 0) {
			this.handleEvent(host, {type: 'clock/ticked', at: 0 as Instant});
		}
	}

	private handleEvent(host: FakeHost, event: Event): void {
		if (host.state) {
			this.run(host, reduce(host.state, {...event, at: this.now as Instant}));
		}
	}

	private run(host: FakeHost, effects: readonly Effect[]): void {
		for (const effect of effects) {
			const run = this.runners[effect.type] as ((one: FakeHost, each: Effect) => void) | undefined;
			run?.(host, effect);
		}
	}

	private deliver(to: FakeHost, delayMs: number, event: Event, from?: HostId): void {
		const sender = this.hosts.find(({hostId}) => hostId === from);
		const isCut = sender !== undefined && (sender.zone === this.cutZone) !== (to.zone === this.cutZone);
		if (to.state && !isCut) {
			to.inbox.push({at: this.now + delayMs, from, event});
		}
	}

	private append(records: readonly LogRecord[]): void {
		for (const record of records) {
			this.log.push({offset: this.log.length as Offset, at: this.now as Instant, record});
		}
	}

	private readLog(host: FakeHost): void {
		const from = host.readFrom;
		if (from === undefined || this.draw(4) > 0 || (!this.isLogDown && from >= this.log.length && this.draw(20) > 0)) {
			return;
		}

		host.readFrom = undefined;
		this.handleEvent(host, this.isLogDown
			? {type: 'log/read-failed', at: 0 as Instant, fault: {kind: 'log-unavailable', detail: ''}}
			: {
				type: 'log/read', at: 0 as Instant, records: this.log.slice(from), firstOffset: 0 as Offset, nextOffset: this.log.length as Offset,
			});
	}
}

function createRequestId(fleet: FakeFleet, index: number): RequestId {
	const hex = fleet.now.toString(16).padStart(12, '0');
	return (index % 2 === 0 ? `plain-${index}` : `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${String(index).padStart(12, '0')}`) as RequestId;
}

function startFleet(seed: number, hostsPerZone: number): FakeFleet {
	const fleet = FakeFleet.create(seed, hostsPerZone);
	for (const host of fleet.hosts) {
		fleet.start(host);
	}

	fleet.advance(6000);
	return fleet;
}

/** Starts and ends faults at random. */
function addFault(fleet: FakeFleet, faults: Faults): void {
	const host = fleet.pickHost();
	if (fleet.draw(100) < faults.kills) {
		fleet.kill(host);
	}

	if (fleet.draw(100) < faults.pauses) {
		host.pausedUntil = fleet.now + fleet.draw(6000);
	}

	if (fleet.draw(100) < 50) {
		fleet.start(fleet.pickHost());
	}

	if (fleet.draw(100) < faults.cuts) {
		fleet.cutZone = fleet.cutZone === '' ? fleet.pickHost().zone : '';
	}

	if (fleet.draw(100) < faults.logOutages) {
		fleet.isLogDown = !fleet.isLogDown;
	}
}

function runFaults(seed: number, faults: Faults): FakeFleet {
	const fleet = startFleet(seed, 1 + (Math.abs(seed) % 3));
	fleet.dropPercent = faults.dropPercent;
	fleet.busyPercent = 10;
	const sent: RequestId[] = [];
	for (let round = 0; round < 80; round++) {
		const requestId = createRequestId(fleet, round);
		sent.push(requestId);
		for (let repeat = fleet.draw(4); repeat >= 0; repeat--) {
			fleet.send(fleet.pickHost(), requestId);
		}

		fleet.send(fleet.pickHost(), sent[fleet.draw(sent.length)]!);
		addFault(fleet, faults);
		if (faults.isRolling && round % 4 === 0) {
			const host = fleet.hosts[(round / 4) % fleet.hosts.length]!;
			fleet.kill(host);
			fleet.start(host);
		}

		fleet.advance(fleet.draw(700));
	}

	return fleet;
}

function listRepeatedRuns(fleet: FakeFleet): RequestId[] {
	return [...fleet.runs].filter(([, count]) => count > 1).map(([requestId]) => requestId);
}

function expectAtMostOnce(fleet: FakeFleet): void {
	expect(fleet.violations).toEqual([]);
	expect(listRepeatedRuns(fleet)).toEqual([]);
}

const faultMixes: Readonly<Record<string, Faults>> = {
	'repeats alone': {
		dropPercent: 0, kills: 0, pauses: 0, cuts: 0, logOutages: 0, isRolling: false,
	},
	'a rolling replacement of all hosts': {
		dropPercent: 0, kills: 0, pauses: 0, cuts: 0, logOutages: 0, isRolling: true,
	},
	'lost messages and pauses': {
		dropPercent: 20, kills: 0, pauses: 20, cuts: 0, logOutages: 0, isRolling: false,
	},
	'all faults mixed': {
		dropPercent: 5, kills: 15, pauses: 10, cuts: 20, logOutages: 10, isRolling: false,
	},
};

/** Seeds with which a request once ran twice. */
const regressionSeeds = [-404_510_907];

describe('at most once', () => {
	for (const [name, faults] of Object.entries(faultMixes)) {
		it(`no request id runs twice under ${name}`, () => {
			fc.assert(fc.property(fc.integer(), seed => {
				expectAtMostOnce(runFaults(seed, faults));
			}), {numRuns: 15, seed: 4, examples: regressionSeeds.map(seed => [seed])});
		});
	}

	it('one of the repeats that reach all entry hosts at the same time runs', () => {
		fc.assert(fc.property(fc.integer(), seed => {
			const fleet = startFleet(seed, 3);
			for (let index = 0; index < 20; index++) {
				const requestId = createRequestId(fleet, index);
				for (const host of fleet.hosts) {
					fleet.send(host, requestId);
				}

				fleet.advance(200);
			}

			fleet.advance(4000);
			expectAtMostOnce(fleet);
			const kinds = new Set(fleet.answers.map(({fault}) => fault.kind));
			kinds.delete('request-in-progress');
			expect([...kinds]).toEqual([]);
			expect(fleet.runs.size).toEqual(20);
		}), {numRuns: 5, seed: 4});
	});

	it('new requests run while the log is unreachable and two hosts are down', () => {
		const fleet = startFleet(4, 3);
		fleet.isLogDown = true;
		fleet.kill(fleet.hosts[0]!);
		fleet.kill(fleet.hosts[4]!);
		fleet.advance(2000);
		for (let index = 0; index < 20; index++) {
			fleet.send(fleet.hosts[1 + (index % 3)]!, createRequestId(fleet, index));
			fleet.advance(100);
		}

		fleet.advance(4000);
		expectAtMostOnce(fleet);
		expect(fleet.runs.size).toEqual(20);
	});

	it('a host in a partition refuses at once, and the request can run later', () => {
		const fleet = startFleet(4, 1);
		fleet.cutZone = 'a';
		fleet.advance(2000);
		const requestId = createRequestId(fleet, 1);
		const callerKey = fleet.send(fleet.hosts[0]!, requestId);
		fleet.advance(50);
		expect(fleet.answers.map(answer => [answer.callerKey, answer.fault.kind])).toEqual([[callerKey, 'quorum-unreachable']]);
		fleet.cutZone = '';
		fleet.advance(2000);
		fleet.send(fleet.hosts[0]!, requestId);
		fleet.advance(4000);
		expect(fleet.runs.get(requestId) ?? 0).toEqual(1);
	});

	it('a claim is remembered beyond the deadline of its request', () => {
		const fleet = startFleet(4, 1);
		const requestId = createRequestId(fleet, 0);
		fleet.send(fleet.hosts[0]!, requestId, 3 * hourMs);
		fleet.advance(1000);
		fleet.now += 4 * hourMs;
		fleet.advance(4000);
		const callerKey = fleet.send(fleet.hosts[1]!, requestId);
		fleet.advance(1000);
		expect(fleet.answers.filter(answer => answer.callerKey === callerKey).map(({fault}) => fault.kind)).toEqual(['request-in-progress']);
		expect(fleet.runs.get(requestId)).toEqual(1);
	});

	it('after all members have crashed together, old ids are answered as forgotten and new time-ordered ones run', () => {
		const fleet = startFleet(4, 1);
		const old = createRequestId(fleet, 1);
		fleet.send(fleet.hosts[0]!, old);
		fleet.advance(1000);
		for (const host of fleet.hosts) {
			fleet.kill(host);
		}

		for (const host of fleet.hosts) {
			fleet.start(host);
		}

		fleet.advance(12_000);
		fleet.send(fleet.hosts[1]!, old);
		fleet.advance(1000);
		expect(fleet.answers.at(-1)?.fault.kind).toEqual('claim-forgotten');
		const recent = createRequestId(fleet, 3);
		fleet.send(fleet.hosts[1]!, recent);
		fleet.advance(4000);
		expect(fleet.runs.get(recent) ?? 0).toEqual(1);
		expectAtMostOnce(fleet);
	});
});
