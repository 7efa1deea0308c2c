/** Gauges of client accounts: as of the moment in which the metrics are read. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createMetrics} from './metrics.js';

describe('metrics of client accounts', () => {
	// Guards against: shares of a former leader shown for ever, and figures as old as the last change.
	it('show what is listed when they are read, and nothing of before', async () => {
		const metrics = createMetrics();
		let accounts = ['a', 'b'];
		const counts: number[] = [];
		metrics.followAccounts(most => {
			counts.push(most);
			return accounts.map(account => ({account, use: {cpu: 2000, memoryMb: 100, gpu: 0}, share: 0.25}));
		});
		const first = await metrics.registry.metrics();
		expect(first.includes('rhubarblever_account_use{account="b",resource="cpu"} 2000')).toEqual(true);
		expect(first.includes('rhubarblever_account_share{account="a"} 0.25')).toEqual(true);
		accounts = [];
		const second = await metrics.registry.metrics();
		expect(second.includes('account="')).toEqual(false);
		expect(counts.every(most => most === 50)).toEqual(true);
	});
});
