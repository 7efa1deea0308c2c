/** Tests of catching up from a peer: by records, by whole states, and with histories that differ. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {listStartEffects, reduce} from '../engine/reduce.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';
import {isReady} from './start.js';
import {
	createPage, createSnapshotPage, createTestHost, createTestLog, createTick, listEffects, startTestHost,
} from './test-fleet.js';

/** Two linked hosts. Their messages are delivered at the next tick, as JSON. */
class TestPair {
	static create(left: State, right: State): TestPair {
		return new TestPair(left, right);
	}

	readonly effects: Effect[] = [];
	private readonly hosts: readonly State[];
	private waiting: Array<{from: State; to: State; text: string}> = [];

	private constructor(left: State, right: State) {
		this.hosts = [left, right];
	}

	run(fromAt: number, untilAt: number): void {
		for (const state of this.hosts) {
			this.take(state, reduce(state, {type: 'peer/linked', at: fromAt as Instant, peer: this.getOther(state).settings.self.hostId}));
		}

		for (let at = fromAt; at <= untilAt; at += 50) {
			this.sendWaiting(at);
			for (const state of this.hosts) {
				this.take(state, reduce(state, createTick(at)));
			}
		}
	}

	private getOther(state: State): State {
		return this.hosts.find(host => host !== state) ?? state;
	}

	private sendWaiting(at: number): void {
		const {waiting} = this;
		this.waiting = [];
		for (const {from, to, text} of waiting) {
			this.take(to, reduce(to, {
				type: 'peer/message', at: at as Instant, peer: from.settings.self.hostId, message: JSON.parse(text) as never,
			}));
		}
	}

	private take(state: State, effects: readonly Effect[]): void {
		this.effects.push(...effects);
		for (const {message} of listEffects(effects, 'peer/send')) {
			this.waiting.push({from: state, to: this.getOther(state), text: JSON.stringify(message)});
		}
	}
}

function reportReadFailures(state: State, at: number): void {
	reduce(state, {type: 'log/read-failed', at: at as Instant, fault: {kind: 'log-unavailable', detail: 'down'}});
	reduce(state, {type: 'snapshot/read-failed', at: at as Instant, fault: {kind: 'log-unavailable', detail: 'down'}});
}

describe('a host that cannot reach the platform', () => {
	const log = createTestLog(300);

	it('catches up with a peer within 10 s', () => {
		const isolated = createTestHost('entry-1', ['entry-2']);
		const current = createTestHost('entry-2', ['entry-1']);
		startTestHost(isolated, log.slice(0, 5), 1000);
		startTestHost(current, log.slice(0, 5), 1000);
		const pair = TestPair.create(isolated, current);
		pair.run(1050, 3000);
		reportReadFailures(isolated, 3000);
		reduce(current, createPage(3000, log.slice(5), 0, 300));
		pair.run(3050, 13_000);
		expect(isolated.fleet.nextOffset as number).toEqual(300);
		expect(isolated.fleet.digest).toEqual(current.fleet.digest);
		expect(listEffects(pair.effects, 'invariant/violated')).toEqual([]);
	});

	it('starts from the state of a peer and gets its host list', () => {
		const starting = createTestHost('entry-1', ['entry-2']);
		const current = createTestHost('entry-2', ['entry-1']);
		startTestHost(current, log, 1000);
		reduce(current, {type: 'hosts/listed', at: 1000 as Instant, hosts: []});
		listStartEffects(starting);
		reportReadFailures(starting, 1000);
		const pair = TestPair.create(starting, current);
		pair.run(2550, 6000);
		expect([isReady(starting), starting.log.startedFrom, starting.fleet.nextOffset as number]).toEqual([true, 'peer', 300]);
		expect(starting.fleet.digest).toEqual(current.fleet.digest);
		expect(starting.membership.hostsListedAt === undefined).toEqual(false);
	});

	it('that reads an outdated log at its start takes the newer state of its peer before it is ready', () => {
		const starting = createTestHost('entry-1', ['entry-2']);
		const current = createTestHost('entry-2', ['entry-1']);
		startTestHost(current, log, 1000);
		listStartEffects(starting);
		reduce(starting, createSnapshotPage(2500));
		reduce(starting, createPage(2500, log.slice(0, 10), 0, 10));
		reduce(starting, createTick(2500));
		expect([isReady(starting), starting.fleet.nextOffset as number]).toEqual([false, 10]);
		const pair = TestPair.create(starting, current);
		pair.run(2550, 5000);
		expect([isReady(starting), starting.fleet.nextOffset as number]).toEqual([true, 300]);
	});

	it('keeps the records that it applied and reports a peer whose history differs', () => {
		const left = createTestHost('entry-1', ['entry-2']);
		const right = createTestHost('entry-2', ['entry-1']);
		const other = log.slice(0, 20).map((logged, index) => index === 3 ? {...logged, record: {...logged.record, body: {pool: 'trucks', minimumHealthyHosts: 99}}} : logged);
		startTestHost(left, log.slice(0, 10), 1000);
		startTestHost(right, other, 1000);
		const {digest} = left.fleet;
		const pair = TestPair.create(left, right);
		pair.run(1050, 4000);
		expect(listEffects(pair.effects, 'invariant/violated').some(effect => effect.name === 'fleet-digest')).toEqual(true);
		expect([left.fleet.nextOffset as number, left.fleet.digest]).toEqual([10, digest]);
	});
});
