/** Tests of the records file: each fault is told with file, record and field. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseRecords} from './records-file.js';

const goodText = `
records:
  - recordId: pool-trucks-1
    schema: pool
    version: 1
    body: {pool: trucks, minimumHealthyHosts: 2}
`;

function listFaults(text: string): readonly string[] {
	return parseRecords('pools.yaml', text).match(() => [], failure => failure.lines);
}

describe('records files', () => {
	it('are read as YAML and as JSON', () => {
		const fromYaml = parseRecords('pools.yaml', goodText)._unsafeUnwrap();
		const fromJson = parseRecords('pools.json', JSON.stringify({records: fromYaml}))._unsafeUnwrap();
		expect(fromJson).toEqual(fromYaml);
	});

	it('give a record without an id a new one each time', () => {
		const text = goodText.replace('recordId: pool-trucks-1\n    ', '');
		const first = parseRecords('pools.yaml', text)._unsafeUnwrap();
		const second = parseRecords('pools.yaml', text)._unsafeUnwrap();
		expect(first[0]?.recordId === second[0]?.recordId).toEqual(false);
	});

	it('tell file, record and field of a fault in a body', () => {
		const faults = listFaults(goodText.replace('minimumHealthyHosts: 2', 'minimumHealthyHosts: -2'));
		expect(faults.length).toEqual(1);
		expect(faults[0] ?? '').toMatchRegex(/^pools\.yaml: records\.0: body: minimumHealthyHosts: /);
	});

	it('tell an unknown version, an unknown field and a missing list', () => {
		expect(listFaults(goodText.replace('version: 1', 'version: 9'))[0] ?? '').toMatchRegex(/version 9 is unknown/);
		expect(listFaults(goodText.replace('version: 1', 'version: 1\n    colour: red'))[0] ?? '').toMatchRegex(/records\.0: .*colour/);
		expect(listFaults('pools: []')[0] ?? '').toMatchRegex(/must have a list 'records'/);
	});

	it('tell where YAML is broken', () => {
		expect(listFaults('records: [')[0] ?? '').toMatchRegex(/^pools\.yaml: .*line 1/);
	});
});
