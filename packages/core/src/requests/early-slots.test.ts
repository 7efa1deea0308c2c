/**
 * Slots requested in parallel with the claim: in any order of the answers, a request runs only once claimed,
 * is refused only if it has not run, and releases an unused slot.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {getFaultAnswer} from '../types/faults.js';
import type {CallerKey} from '../types/ids.js';
import {HostWithFakePeers} from './host-with-fake-peers.js';

describe('a slot requested in parallel with the claim', () => {
	it('is asked for together with the claim, and the request is dispatched once both are granted, in either order', () => {
		for (const order of [['slot', 'claim'], ['claim', 'slot']]) {
			const host = HostWithFakePeers.create();
			host.pushRequest();
			expect([host.listSent('slot-ask').length, host.listSent('claim-ask').length > 0]).toEqual([1, true]);
			for (const [index, answer] of order.entries()) {
				expect(host.list('attempt/dispatch').length).toEqual(0);
				if (answer === 'slot') {
					host.answerAsk(true);
				} else {
					host.answerClaim('granted');
				}

				expect(host.list('attempt/dispatch').length).toEqual(index);
			}

			expect(host.listSent('slot-ask').length).toEqual(1);
		}
	});

	it('is released at once if the id has run on another host, and the request is never refused as not run', () => {
		for (const isGranted of [true, false]) {
			const host = HostWithFakePeers.create();
			host.pushRequest();
			host.answerAsk(isGranted);
			expect(host.list('caller/refuse')).toEqual([]);
			host.answerClaim('taken');
			expect(host.list('caller/refuse').map(({fault}) => fault.kind)).toEqual(['request-in-progress']);
			expect(host.listSent('slot-release').length).toEqual(isGranted ? 1 : 0);
			expect(host.list('attempt/dispatch')).toEqual([]);
		}
	});

	it('is not granted: the claimed request is refused as not run, and a repeat may run', () => {
		const host = HostWithFakePeers.create();
		host.pushRequest();
		host.answerAsk(false);
		host.answerClaim('granted');
		host.answerAsk(false);
		expect(host.list('caller/refuse').map(({fault}) => fault.kind)).toEqual(['queue-full']);
		expect(host.listSent('claim-release').length).toEqual(2);
		host.pushRequest('call-2' as CallerKey);
		host.answerClaim('granted');
		host.answerAsk(true);
		expect(host.list('attempt/dispatch').map(({callerKey}) => callerKey as string)).toEqual(['call-2']);
	});

	it('is released if the votes take long, and asked for again once the id is claimed', () => {
		const host = HostWithFakePeers.create();
		host.pushRequest();
		host.answerAsk(true);
		host.advance(100);
		expect(host.listSent('slot-release').map(({end}) => end)).toEqual(['withdrawn']);
		host.answerClaim('granted');
		expect(host.listSent('slot-ask').length).toEqual(2);
		host.answerAsk(true);
		expect(host.list('attempt/dispatch').length).toEqual(1);
	});

	it('follows these rules in any sequence of answers, ticks and disconnecting callers', () => {
		const step = fc.constantFrom('grant', 'refuse', 'vote', 'taken', 'tick', 'gone', 'repeat');
		fc.assert(fc.property(fc.array(step, {maxLength: 12}), steps => {
			const host = HostWithFakePeers.create();
			const actions: Readonly<Record<string, () => void>> = {
				grant() {
					host.answerAsk(true);
				},
				refuse() {
					host.answerAsk(false);
				},
				vote() {
					host.answerClaim('granted');
				},
				taken() {
					host.answerClaim('taken');
				},
				tick() {
					host.advance(60);
				},
				gone() {
					host.push({type: 'caller/gone', at: host.at, callerKey: 'call-1' as CallerKey});
				},
				repeat() {
					host.pushRequest(`repeat-${host.effects.length}` as CallerKey);
				},
			};
			host.pushRequest();
			for (const one of steps) {
				actions[one]?.();
			}

			for (let passed = 0; passed < 3000; passed += 60) {
				host.advance(60);
			}

			expect(host.list('invariant/violated')).toEqual([]);
			const dispatched = host.list('attempt/dispatch').map(({callerKey}) => callerKey as string);
			expect(dispatched.length).toBeLessThanOrEqual(1);
			const refused = host.list('caller/refuse').filter(({fault}) => getFaultAnswer(fault.kind).family === 'refused');
			expect(refused.filter(({callerKey}) => dispatched.includes(callerKey))).toEqual([]);
			const inUse = [...host.state.requests.grants.keys()] as string[];
			expect(host.listUnreleasedAsks().filter(askId => !inUse.includes(askId))).toEqual([]);
			expect(inUse.length).toEqual(dispatched.length);
		}), {numRuns: 300, seed: 65});
	});
});
