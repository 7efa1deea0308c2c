/** Which of several hosts claims a lead that nobody has had. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDriven} from './testing/hand-driven.js';
import {shortfallClaimDelayMs} from './timing.js';

const capacityShortfall = 0.8;
/** The operators' records come long after the ledger was found empty. */
const configAfterMs = 1000;

function startHost(settings: {readonly capacityShortfall: number}): HandDriven {
	const host = HandDriven.create(settings);
	host.dispatch({type: 'ledger/loaded', entries: [], nextOffset: 0});
	host.tick(configAfterMs);
	host.dispatch({type: 'config/read', config: createConfig()});
	return host;
}

function hasClaimed(host: HandDriven): boolean {
	return host.effects.some(({type}) => type === 'ledger/claim');
}

describe('a lead that nobody has had', () => {
	/** Guards against: a small host leads because it reads the configuration a little earlier than the strong ones. */
	it('is left to strong hosts by a weak one, from the moment on at which it could claim', () => {
		const weak = startHost({capacityShortfall});
		weak.tick(capacityShortfall * shortfallClaimDelayMs / 2);
		expect(hasClaimed(weak)).toEqual(false);
		weak.tick(shortfallClaimDelayMs);
		expect(hasClaimed(weak)).toEqual(true);
	});

	it('is claimed by a strong host at once', () => {
		const strong = startHost({capacityShortfall: 0});
		strong.tick();
		expect(hasClaimed(strong)).toEqual(true);
	});
});
