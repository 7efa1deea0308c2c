/** Claims of leadership around an outage of the store: a host that cannot read the ledger cannot tell whether there is a leader. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost, type EffectOf} from './testing/hand-driven.js';
import {leaderSilenceMs, leaderSilenceAtStartMs, shortfallClaimDelayMs} from './timing.js';
import type {ClaimOutcome, LedgerEntry} from './events.js';

const outageMs = 4000;

function createLease(offset: number): LedgerEntry {
	return {offset, record: {type: 'lease', lease: {holder: 'other', token: 1, isReleased: false}}};
}

function listClaims(host: HandDrivenHost): Array<EffectOf<'ledger/claim'>> {
	return host.effects.filter(effect => effect.type === 'ledger/claim');
}

/** A follower that has heard nothing of the leader, and whose claims the store does not take, until the store answers again. */
function startInOutage(outcome: ClaimOutcome, capacityShortfall = 0): HandDrivenHost {
	const host = HandDrivenHost.create({capacityShortfall});
	host.dispatch({type: 'config/read', config: createConfig()});
	host.dispatch({type: 'ledger/loaded', entries: [createLease(0)], nextOffset: 1});
	host.dispatch({type: 'ledger/read', entries: [createLease(1)], nextOffset: 2});
	while (host.now < outageMs) {
		for (const effect of host.tick()) {
			if (effect.type === 'ledger/claim') {
				host.dispatch({type: 'claim/ended', outcome, claimedAt: effect.at});
			}
		}
	}

	expect(listClaims(host).length > 0).toEqual(true);
	host.effects.length = 0;
	host.dispatch({type: 'ledger/read', entries: [], nextOffset: 2});
	return host;
}

for (const outcome of ['refused', 'unknown'] as const) {
	describe(`a host whose claim of leadership was ${outcome} by a store that does not answer`, () => {
		/** Guards against a change of the leader after each outage of the store although the leader is well. */
		it('lets a leader that is well go on once the store answers', () => {
			const host = startInOutage(outcome);
			host.tick(leaderSilenceAtStartMs / 2);
			host.dispatch({type: 'ledger/read', entries: [createLease(2)], nextOffset: 3});
			host.tick(leaderSilenceMs / 2);
			expect(listClaims(host)).toEqual([]);
		});

		/** Guards against a weak leader: after an outage the delay of weak hosts has long passed on all of them. */
		it('claims again if there is no leader, later if its capacity is low', () => {
			const large = startInOutage(outcome);
			const small = startInOutage(outcome, 0.8);
			for (const host of [large, small]) {
				host.tick(leaderSilenceAtStartMs + 100);
			}

			expect(listClaims(large).length).toEqual(1);
			expect(listClaims(small).length).toEqual(0);
			small.tick(shortfallClaimDelayMs);
			expect(listClaims(small).length).toEqual(1);
		});
	});
}
