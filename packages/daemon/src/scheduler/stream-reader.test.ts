/** A reader of a stream whose store falls silent and comes back. */
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {BoundedOutput} from './bounded-output.js';
import {DecisionLog} from './decision-log.js';
import {StreamReader} from './stream-reader.js';
import {createLoad, createRead, ScriptedStore} from './testing/scripted-store.js';
import {intakeStream} from './codec.js';

const waitMs = 50;
const hangMs = 5000;
const record = {offset: 0, key: 'k', value: new Uint8Array(1)};

describe('a reader whose store was silent', () => {
	const readers: StreamReader[] = [];

	afterEach(() => {
		for (const reader of readers.splice(0)) {
			reader.stop();
		}
	});

	/** Starts a reader of a store whose continuous reads hang after a failed one; returns the keys that it reads, and the reads that do not wait. */
	function start(isUrgent: boolean): {readonly keys: string[]; readonly probes: number[]} {
		const store = ScriptedStore.create();
		const keys: string[] = [];
		const probes: number[] = [];
		let reads = 0;
		store.loadIntake = async () => createLoad([]);
		store.readIntake = async (fromOffset, forMs) => {
			if (forMs === 0) {
				probes.push(fromOffset);
				return createRead([record].slice(fromOffset), fromOffset, 1);
			}

			reads++;
			await (reads > 1 ? sleep(hangMs, undefined, {ref: false}) : undefined);
			return {type: 'unavailable'};
		};

		const log = DecisionLog.create({
			host: 'h', output: BoundedOutput.create((_chunk, done) => {
				done();
			}),
		});
		const reader = StreamReader.create(store, {
			stream: intakeStream, waitMs: () => waitMs, pauseMs: () => 0, isEnabled: () => true, isUrgent: () => isUrgent, log,
		}, {
			handleLoaded() {
				// The stream is empty at first.
			},
			handleRead(records) {
				keys.push(...records.map(({key}) => key));
			},
		});
		readers.push(reader);
		void reader.run();
		return {keys, probes};
	}

	/** Guards against a leader that learns of the jobs only when a read gives up that was sent while the store was silent. */
	it('reads an urgent stream as soon as the store is back, and each record once', async () => {
		const {keys} = start(true);
		await sleep(1500);
		expect(keys).toEqual(['k']);
	});

	/** Guards against all hosts asking a store that is away several times a second. */
	it('does not ask more often for another stream', async () => {
		const {probes} = start(false);
		await sleep(1500);
		expect(probes).toEqual([]);
	});
});
