/** Which of several hosts claims leadership first when there has been no leader yet. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost} from './testing/hand-driven.js';
import {shortfallClaimDelayMs} from './timing.js';

const capacityShortfall = 0.8;
/** The configuration arrives long after the ledger was found empty. */
const configAfterMs = 1000;

function startHost(settings: {readonly capacityShortfall: number}): HandDrivenHost {
	const host = HandDrivenHost.create(settings);
	host.dispatch({type: 'ledger/loaded', entries: [], nextOffset: 0});
	host.tick(configAfterMs);
	host.dispatch({type: 'config/read', config: createConfig()});
	return host;
}

function hasClaimed(host: HandDrivenHost): boolean {
	return host.effects.some(({type}) => type === 'ledger/claim');
}

describe('the first claim of leadership', () => {
	/** Guards against: a host of low capacity becomes the leader because it read the configuration slightly earlier than larger hosts. */
	it('is delayed on a host of low capacity, counted from the moment at which it could claim', () => {
		const small = startHost({capacityShortfall});
		small.tick(capacityShortfall * shortfallClaimDelayMs / 2);
		expect(hasClaimed(small)).toEqual(false);
		small.tick(shortfallClaimDelayMs);
		expect(hasClaimed(small)).toEqual(true);
	});

	it('is sent at once by a host of ample capacity', () => {
		const large = startHost({capacityShortfall: 0});
		large.tick();
		expect(hasClaimed(large)).toEqual(true);
	});
});
