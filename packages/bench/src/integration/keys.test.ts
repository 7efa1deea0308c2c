/** The entry host program with client accounts: API keys as the operators publish them, on hosts that are paused or restarted. */
import {Buffer} from 'node:buffer';
import {after, before, it} from 'node:test';
import {sleep, standInQueue, waitUntil} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {request} from 'undici';
import {
	createJobId, EntryHosts, startTimeoutMs, type EntryHost,
} from './entry-hosts.js';

const applyMs = 2000;
const revokeMs = 2000;
const deniedStatus = 401;
const key = 'key-that-is-removed';
const otherKey = 'key-that-stays';

let fleet: EntryHosts;
let nextJob = 1;

before(async () => {
	fleet = await EntryHosts.start({
		hosts: 2, workers: 1, runMs: 50, settings: {contracts: ['tenants'], bounds: {'strict-revoke': true, 'revoke-ms': revokeMs, 'config-apply-ms': applyMs}},
	});
});

after(async () => {
	await fleet.close();
});

async function submitWith(host: EntryHost, usedKey?: string): Promise<number> {
	const answer = await request(`http://${host.front}${standInQueue.pathPrefix}${createJobId(nextJob++)}`, {
		method: 'POST', headers: {host: standInQueue.host, ...(usedKey !== undefined && {key: usedKey})}, body: JSON.stringify({steps: [{count: 1, cpu: 1}]}),
	});
	await answer.body.dump();
	return answer.statusCode;
}

/** Guards against a key that works after its removal, also at a host that was paused meanwhile, against one that does not work in time, and against malformed accounts that change either. */
it('keys work as long as the operators publish them', async () => {
	const {platform, hosts: [host, pausedHost]} = fleet;
	expect(await submitWith(host!, key)).toEqual(deniedStatus);
	platform.publishConfig(2, [{name: 'lab', 'api-keys': [key]}]);
	await sleep(applyMs);
	for (const each of [host!, pausedHost!]) {
		// eslint-disable-next-line no-await-in-loop
		expect([await submitWith(each), await submitWith(each, key)]).toEqual([deniedStatus, 200]);
	}

	pausedHost!.process.sendSignal('SIGSTOP');
	platform.publishConfig(3, [{name: 'lab', 'api-keys': [otherKey]}]);
	await sleep(revokeMs);
	const whilePaused = submitWith(pausedHost!, key);
	expect([await submitWith(host!, key), await submitWith(host!, otherKey)]).toEqual([deniedStatus, 200]);
	pausedHost!.process.sendSignal('SIGCONT');
	expect(await whilePaused === 200).toEqual(false);
	await fleet.waitForReady(pausedHost!);
	expect([await submitWith(pausedHost!, key), await submitWith(pausedHost!, otherKey)]).toEqual([deniedStatus, 200]);

	platform.publishConfig(4, [{name: 'lab', 'api-keys': [key]}, {name: 'shop', 'api-keys': [key]}]);
	await sleep(applyMs);
	expect([await submitWith(host!, key), await submitWith(host!, otherKey)]).toEqual([deniedStatus, 200]);
	expect(host!.process.output).toEqual(expect.includes('record-unusable'));
});

/** Guards against keys in what the hosts store or log. */
it('keys are neither stored nor logged', async () => {
	await waitUntil('the ledger holds the configuration', async () => fleet.platform.log.listNewest('keyed.ledger').items.some(item => item.key === 'config:'), startTimeoutMs);
	const stored = ['keyed.ledger', 'keyed.intake'].flatMap(topic => fleet.platform.log.listNewest(topic).items.map(({value}) => Buffer.from(value, 'base64').toString('latin1')));
	const texts = [...stored, ...fleet.hosts.map(host => host.process.output)].join('\n');
	expect([texts.includes('lab'), texts.includes(key), texts.includes(otherKey)]).toEqual([true, false, false]);
});
