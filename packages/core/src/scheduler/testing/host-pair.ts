/** For tests: two hosts on one store, the first of which leads until it releases the lead or dies. Or one alone, whose appends are stored at once. */
import type {SchedulerEffect} from '../effects.js';
import {createConfig, HandDrivenHost, type EventBody} from './hand-driven.js';
import {ModelStore} from './model-store.js';

const tickMs = 25;
const storeMs = 3;
const settleMs = 100;
const successorSequence = 100_000;

/** How the first host's lead ends. */
export type LeadEnd = 'released' | 'died';

export type PairedHost = {readonly host: HandDrivenHost; readEnd: number; isUp: boolean; handled: number};

export type PairOptions = {
	getNow(): number;
	schedule(inMs: number, act: () => void): void;
	/** Gets all effects but those for the store. */
	handle(from: PairedHost, effect: SchedulerEffect): void;
};

export class HostPair {
	/** The first host leads 100 ms later, when the second has read the ledger. */
	static create(options: PairOptions): HostPair {
		const pair = new HostPair(options, createHost('former', 1), createHost('successor', successorSequence));
		pair.load(pair.first);
		options.schedule(settleMs, () => {
			pair.load(pair.second!);
		});
		return pair;
	}

	/** One host that leads. Its time may have gone on. */
	static createSingle(options: PairOptions): HostPair {
		const first: PairedHost = {
			host: HandDrivenHost.create(), readEnd: 0, isUp: true, handled: 0,
		};
		first.host.takeLeadership();
		return new HostPair(options, first, undefined);
	}

	private readonly store = ModelStore.create();

	private constructor(private readonly options: PairOptions, private readonly first: PairedHost, private readonly second: PairedHost | undefined) {
		options.schedule(tickMs, () => {
			this.tick();
		});
	}

	/** True once the second host leads. */
	get isHandedOver(): boolean {
		return this.second?.host.state.leadership.role === 'leader';
	}

	/** The host that leads, or led last. */
	get leader(): HandDrivenHost {
		return this.second && this.isHandedOver ? this.second.host : this.first.host;
	}

	endLead(how: LeadEnd): void {
		if (how === 'released') {
			this.dispatch(this.first, {type: 'stop/requested'});
		} else {
			this.first.isUp = false;
		}
	}

	dispatchAll(body: EventBody): void {
		for (const host of [this.first, this.second]) {
			if (host) {
				this.dispatch(host, body);
			}
		}
	}

	dispatch(to: PairedHost, body: EventBody): void {
		if (!to.isUp) {
			return;
		}

		to.host.now = this.options.getNow();
		to.host.dispatch(body);
		const {effects} = to.host;
		while (to.handled < effects.length) {
			this.handle(to, effects[to.handled++]!);
		}
	}

	private tick(): void {
		this.dispatchAll({type: 'clock/ticked'});
		this.options.schedule(tickMs, () => {
			this.tick();
		});
	}

	private load(host: PairedHost): void {
		const {ledger} = this.store;
		this.dispatch(host, {type: 'config/read', config: createConfig()});
		this.dispatch(host, {type: 'ledger/loaded', entries: [...ledger], nextOffset: ledger.length});
		host.readEnd = ledger.length;
	}

	private handle(from: PairedHost, effect: SchedulerEffect): void {
		if (from.host.isConfirmingAppends || (effect.type !== 'ledger/claim' && effect.type !== 'ledger/commit')) {
			this.options.handle(from, effect);
			return;
		}

		this.options.schedule(storeMs, () => {
			if (effect.type === 'ledger/claim') {
				const {at, token, sequence, holder} = effect;
				const outcome = this.store.claim(at, token, sequence, holder);
				this.dispatch(from, {type: 'claim/ended', outcome, claimedAt: at});
			} else {
				const {token, sequence, records} = effect;
				const outcome = this.store.append(token, sequence, records);
				this.dispatch(from, {
					type: 'commit/ended', outcome, sequence, token,
				});
			}

			this.options.schedule(storeMs, () => {
				this.passRecords();
			});
		});
	}

	/** Has the second host read the records that are new, until it leads. */
	private passRecords(): void {
		const {second, store: {ledger}} = this;
		if (!second?.host.state.leadership.hasLoadedLedger || this.isHandedOver || second.readEnd >= ledger.length) {
			return;
		}

		const entries = ledger.slice(second.readEnd);
		second.readEnd = ledger.length;
		this.dispatch(second, {type: 'ledger/read', entries, nextOffset: ledger.length});
	}
}

function createHost(holder: string, firstSequence: number): PairedHost {
	const host = HandDrivenHost.create({holder, firstSequence});
	host.isConfirmingAppends = false;
	return {
		host, readEnd: 0, isUp: true, handled: 0,
	};
}
