/** The test double of the users' store: pages, deleted history and delayed reads. */
import {Buffer} from 'node:buffer';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {takeAddress} from '../harness/addresses.js';
import {sleep} from '../harness/process-group.js';
import {JobPlatform} from './job-platform.js';
import {KeyedLog, type NewestPage, type ReadAnswer} from './keyed-log.js';
import {delayNothing, type ReadDelay} from './read-delays.js';

const topic = 'keyed.tests';
const headBytes = 16;
/** Much longer than a call takes on a busy machine. */
const delayMs = 1500;
const timerSlackMs = 20;

type Page = {readonly end: number; readonly first: number; readonly keys: readonly string[]};

function decodePage(bytes: Uint8Array): Page {
	const body = Buffer.from(bytes);
	const keys: string[] = [];
	for (let position = headBytes; position < body.length; position += 4 + body.readUInt32BE(position)) {
		const keyLength = body[position + 4]!;
		keys.push(body.subarray(position + 5, position + 5 + keyLength).toString('utf8'));
	}

	return {end: Number(body.readBigUInt64BE()), first: Number(body.readBigUInt64BE(8)), keys};
}

function expectPage(answer: ReadAnswer): Page {
	if (answer.type !== 'read') {
		throw new Error('the records were deleted');
	}

	return decodePage(answer.bytes);
}

function createFilledLog(records: number, value: unknown = 'v'): KeyedLog {
	const log = KeyedLog.create();
	for (let number = 0; number < records; number++) {
		log.put(topic, `k${number}`, value);
	}

	return log;
}

describe('reads from the store', () => {
	it('answers with one page whose header gives the end of the stream, which may lie beyond the last record of the page', async () => {
		const log = createFilledLog(10, 'x'.repeat(400));
		const page = expectPage(await log.read(topic, {from: 2, waitMs: 0, maxKb: 1}));
		expect(page).toEqual({end: 10, first: 0, keys: ['k2', 'k3']});
	});

	it('limits a page to 1,024 KB without max-kb, and to its own limit whatever max-kb asks for', async () => {
		const log = createFilledLog(20, 'x'.repeat(100_000));
		const whole = expectPage(await log.read(topic, {from: 0, waitMs: 0}));
		log.pageLimits.readBytes = 250_000;
		const small = expectPage(await log.read(topic, {from: 0, waitMs: 0, maxKb: 1024}));
		expect([whole.keys.length, small.keys.length, small.end]).toEqual([10, 2, 20]);
	});

	it('returns a record that is larger than a page on its own, so that a reader can continue', async () => {
		const log = createFilledLog(3, 'x'.repeat(5000));
		const page = expectPage(await log.read(topic, {from: 1, waitMs: 0, maxKb: 1}));
		expect(page.keys).toEqual(['k1']);
	});

	it('reads page by page to the end, each record once and in order', async () => {
		const log = createFilledLog(30, 'x'.repeat(300));
		const keys: string[] = [];
		let end: number | undefined;
		while (end !== keys.length) {
			// eslint-disable-next-line no-await-in-loop
			const page = expectPage(await log.read(topic, {from: keys.length, waitMs: 0, maxKb: 1}));
			keys.push(...page.keys);
			end = page.end;
		}

		expect(keys).toEqual(Array.from({length: 30}, (_, number) => `k${number}`));
	});

	it('waits for a record, and answers with an empty page when the wait times out', async () => {
		const log = createFilledLog(1);
		const empty = expectPage(await log.read(topic, {from: 1, waitMs: 30}));
		const waiting = log.read(topic, {from: 1, waitMs: 2000});
		log.put(topic, 'new', 1);
		expect([empty.keys, expectPage(await waiting).keys]).toEqual([[], ['new']]);
	});

	it('answers a read of deleted records with the first offset that is left', async () => {
		const log = createFilledLog(5);
		log.dropHistory(topic);
		log.put(topic, 'k1', 'later');
		const before = await log.read(topic, {from: 4, waitMs: 0});
		const page = expectPage(await log.read(topic, {from: 5, waitMs: 0}));
		expect(before).toEqual({type: 'deleted', first: 5});
		expect(page).toEqual({end: 6, first: 5, keys: ['k1']});
	});
});

describe('lists of the newest records in the store', () => {
	it('keeps the newest record of each key with its offset when history is deleted', () => {
		const log = createFilledLog(3);
		log.put(topic, 'k0', 'new');
		log.put(topic, 'k1', undefined);
		log.dropHistory(topic);
		const {items, truncated, end} = log.listNewest(topic);
		expect([items.map(({key, offset}) => [key, offset]), truncated, end]).toEqual([[['k0', 3], ['k2', 2]], false, 5]);
	});

	it('returns at most 500 items or 1 MB per page, and continues after a given key', () => {
		const many = createFilledLog(1200);
		const keys: string[] = [];
		const sizes: number[] = [];
		let page: NewestPage;
		do {
			page = many.listNewest(topic, keys.at(-1));
			keys.push(...page.items.map(({key}) => key));
			sizes.push(page.items.length);
		} while (page.truncated);

		const large = createFilledLog(20, 'x'.repeat(100_000)).listNewest(topic);
		expect([sizes, new Set(keys).size]).toEqual([[500, 500, 200], 1200]);
		expect([large.items.length, large.truncated]).toEqual([7, true]);
	});

	it('its pages are not a snapshot: a new key that sorts before the continuation key is missing, and the end has moved', () => {
		const log = createFilledLog(4);
		log.pageLimits.newestItems = 2;
		const first = log.listNewest(topic);
		log.put(topic, 'a', 1);
		const second = log.listNewest(topic, 'k1');
		expect([first.items, second.items].map(items => items.map(({key}) => key))).toEqual([['k0', 'k1'], ['k2', 'k3']]);
		expect([first.end, first.truncated, second.end, second.truncated]).toEqual([4, true, 5, false]);
	});
});

describe('reads through the platform\'s HTTP server', () => {
	let platform: JobPlatform;
	const address = takeAddress();
	const endpoint = takeAddress();

	before(async () => {
		platform = await JobPlatform.start({address, workerAddresses: [], runMs: 100});
		await platform.openEndpoint(endpoint);
	});

	beforeEach(() => {
		platform.drawReadDelay = delayNothing;
	});

	after(async () => {
		await platform.close();
	});

	async function readEnd(at: string): Promise<number> {
		const answer = await request(`http://${at}/v1/log-read?topic=${topic}&part=0&from=0&wait-ms=0`);
		return decodePage(new Uint8Array(await answer.body.arrayBuffer())).end;
	}

	/** Sends a read, and resolves once the store has received it. */
	async function startRead(delay: ReadDelay): Promise<{readonly end: Promise<number>}> {
		return new Promise(resolve => {
			platform.drawReadDelay = () => {
				resolve({end});
				return delay;
			};

			const end = readEnd(address);
		});
	}

	it('a delay after the read makes the answer stale: records written meanwhile are missing', async () => {
		const end = await readEnd(address);
		const read = await startRead({beforeMs: 0, afterMs: delayMs});
		await sleep(100);
		platform.log.put(topic, 'meanwhile', 1);
		expect(await read.end).toEqual(end);
	});

	it('a delay before the read makes the answer late but not stale', async () => {
		const end = await readEnd(address);
		const read = await startRead({beforeMs: delayMs, afterMs: 0});
		platform.log.put(topic, 'meanwhile', 1);
		expect(await read.end).toEqual(end + 1);
	});

	it('delays reads of one endpoint and one operation, and no append', async () => {
		platform.drawReadDelay = read => ({beforeMs: 0, afterMs: read.endpoint === endpoint && read.operation === 'log-newest' ? delayMs : 0});
		const delays: number[] = [];
		for (const call of [
			async () => readEnd(endpoint),
			async () => request(`http://${address}/v1/log-newest?topic=${topic}&part=0`).then(async answer => answer.body.json()),
			async () => request(`http://${endpoint}/v1/log-append?topic=${topic}&part=0`, {method: 'POST', body: ''}).then(async answer => answer.body.json()),
			async () => request(`http://${endpoint}/v1/log-newest?topic=${topic}&part=0`).then(async answer => answer.body.json()),
		]) {
			const startedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await call();
			delays.push(performance.now() - startedAt);
		}

		expect(delays.map(ms => ms > delayMs - timerSlackMs)).toEqual([false, false, false, true]);
	});

	it('passes page size and position as query parameters, and reports deleted history with status 410', async () => {
		for (let number = 0; number < 4; number++) {
			platform.log.put('keyed.pages', `k${number}`, 'x'.repeat(600));
		}

		const page = await request(`http://${address}/v1/log-read?topic=keyed.pages&part=0&from=1&max-kb=1`);
		const {keys} = decodePage(new Uint8Array(await page.body.arrayBuffer()));
		const newest = await request(`http://${address}/v1/log-newest?topic=keyed.pages&part=0&depends-on=k2`);
		const {items} = await newest.body.json() as NewestPage;
		platform.log.dropHistory('keyed.pages');
		const gone = await request(`http://${address}/v1/log-read?topic=keyed.pages&part=0&from=1`);
		expect([keys, items.map(({key}) => key)]).toEqual([['k1'], ['k3']]);
		expect([gone.statusCode, await gone.body.json()]).toEqual([410, {first: 4}]);
	});
});
