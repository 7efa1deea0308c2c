/** Tests of the sum of idle slots on small cases. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {sumIdleSlotMs} from './idle-slots.js';

describe('sumIdleSlotMs', () => {
	it('counts idle slots only while requests wait', () => {
		expect(sumIdleSlotMs(2, [], [{startedAt: 0, endedAt: 100}])).toEqual(0);
		expect(sumIdleSlotMs(2, [{from: 0, until: 60}], [{startedAt: 0, endedAt: 100}])).toEqual(50);
	});

	it('counts no more slots than requests wait, and no slot that is in use', () => {
		expect(sumIdleSlotMs(4, [{from: 0, until: 60}], [])).toEqual(50);
		expect(sumIdleSlotMs(1, [{from: 0, until: 60}], [{startedAt: 0, endedAt: 100}])).toEqual(0);
	});

	it('ignores waits that are only the transfer to the target', () => {
		expect(sumIdleSlotMs(1, [{from: 0, until: 8}], [])).toEqual(0);
	});
});
