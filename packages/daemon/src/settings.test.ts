/** Tests of the settings: each error is reported on a line of its own, and flags take precedence over environment variables. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {readSettings} from './settings.js';

const validFlags = {
	'host-id': 'entry-1',
	'availability-zone': 'ee-south-a',
	listen: '127.0.0.1:7000',
	platform: '127.0.0.1:7001',
	'operator-token': 'operator-token',
	'peer-token': 'peer-token',
};

function listErrors(flags: Readonly<Record<string, unknown>>): string[] {
	return readSettings({...validFlags, ...flags}, {}).match(() => [], errors => errors);
}

describe('settings', () => {
	it('prefer flags to environment variables', () => {
		const settings = readSettings(validFlags, {RHUBARBLEVER_HOST_ID: 'entry-2', RHUBARBLEVER_LOG_LEVEL: 'warn'})._unsafeUnwrap();
		expect([settings.self.hostId as string, settings.logLevel]).toEqual(['entry-1', 'warn']);
	});

	for (const listen of ['127.0.0.1', '127.0.0.1:', '127.0.0.1:70000', '127.0.0.1:0', '300.0.0.1:7000', 'localhost:7000', '127.0.0.1:7000:1']) {
		it(`reject '${listen}' as an address`, () => {
			expect(listErrors({listen})).toEqual(['--listen (RHUBARBLEVER_LISTEN) must be IPv4:port']);
		});
	}

	for (const peers of ['entry-2', 'entry-2=a@127.0.0.1', 'entry-2=a@127.0.0.1:99999', '=a@127.0.0.1:1', 'entry-2@127.0.0.1:1']) {
		it(`reject '${peers}' as a peer`, () => {
			expect(listErrors({peers})).toEqual([`--peers (RHUBARBLEVER_PEERS) has '${peers}', which is not host-id=zone@IPv4:port`]);
		});
	}

	it('report all errors at once, including unknown flags', () => {
		expect(listErrors({'log-level': 'loud', colour: 'red'}).map(line => line.split(' ')[0])).toEqual(['--log-level', '--colour']);
	});
});
