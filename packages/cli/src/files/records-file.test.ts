/** Tests of records files: each error is reported with file, record and field. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseRecords} from './records-file.js';

const validText = `
records:
  - recordId: pool-trucks-1
    schema: pool
    version: 1
    body: {pool: trucks, minimumHealthyHosts: 2}
`;

function listErrors(text: string): readonly string[] {
	return parseRecords('pools.yaml', text).match(() => [], failure => failure.lines);
}

describe('records files', () => {
	it('are read as YAML and as JSON', () => {
		const fromYaml = parseRecords('pools.yaml', validText)._unsafeUnwrap();
		const fromJson = parseRecords('pools.json', JSON.stringify({records: fromYaml}))._unsafeUnwrap();
		expect(fromJson).toEqual(fromYaml);
	});

	it('generate a new id for a record without one each time they are read', () => {
		const text = validText.replace('recordId: pool-trucks-1\n    ', '');
		const first = parseRecords('pools.yaml', text)._unsafeUnwrap();
		const second = parseRecords('pools.yaml', text)._unsafeUnwrap();
		expect(first[0]?.recordId === second[0]?.recordId).toEqual(false);
	});

	it('report file, record and field of an error in a body', () => {
		const errors = listErrors(validText.replace('minimumHealthyHosts: 2', 'minimumHealthyHosts: -2'));
		expect(errors.length).toEqual(1);
		expect(errors[0] ?? '').toMatchRegex(/^pools\.yaml: records\.0: body: minimumHealthyHosts: /);
	});

	it('report an unknown version, an unknown field and a missing list', () => {
		expect(listErrors(validText.replace('version: 1', 'version: 9'))[0] ?? '').toMatchRegex(/version 9 is unknown/);
		expect(listErrors(validText.replace('version: 1', 'version: 1\n    colour: red'))[0] ?? '').toMatchRegex(/records\.0: .*colour/);
		expect(listErrors('pools: []')[0] ?? '').toMatchRegex(/must have a list 'records'/);
	});

	it('report the position of a YAML syntax error', () => {
		expect(listErrors('records: [')[0] ?? '').toMatchRegex(/^pools\.yaml: .*line 1/);
	});
});
