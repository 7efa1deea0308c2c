/** The command-line tool against real entry hosts: its commands, output and exit codes. */
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	after, before, describe, it,
} from 'node:test';
import {
	cliScript, LocalFleet, operatorToken, waitUntil, type RunningProcess,
} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

const recordsText = `
records:
  - {schema: pool, version: 1, body: {pool: trucks, minimumHealthyHosts: 1}}
  - {schema: service, version: 1, body: {service: routes, pool: trucks, slotsPerRunner: 8, connectionsPerRunner: 64}}
  - {schema: objective, version: 1, body: {service: routes, goodShare: 0.99, latencyBoundMs: 1000, windowMinutes: 60}}
`;

describe('the command-line tool', () => {
	let fleet: LocalFleet;
	let folder: string;
	let file: string;

	before(async () => {
		folder = await mkdtemp(join(tmpdir(), 'rhubarblever-'));
		file = join(folder, 'records.yaml');
		await writeFile(file, recordsText);
		fleet = await LocalFleet.create({
			availabilityZones: ['attica-a', 'attica-b'], entryHostsPerZone: 1, targetsPerZone: 1, services: ['routes'],
		});
	});

	after(async () => {
		await fleet.stop();
		await rm(folder, {recursive: true});
	});

	async function runTool(flags: readonly string[], token = operatorToken): Promise<{running: RunningProcess; code: number | undefined}> {
		const running = fleet.processes.start('tool', cliScript, flags, {
			RHUBARBLEVER_HOST: fleet.entryHosts[0]?.address,
			RHUBARBLEVER_OPERATOR_TOKEN: token,
		});
		const {code} = await running.waitForEnd();
		return {running, code};
	}

	async function runForCode(flags: readonly string[], token = operatorToken): Promise<number | undefined> {
		const {code} = await runTool(flags, token);
		return code;
	}

	it('shows the difference between a new file and the records in force, publishes it, and then finds no difference', async () => {
		expect(await runForCode(['diff', file])).toEqual(4);
		const published = await runTool(['publish', file]);
		expect(published.code).toEqual(0);
		expect(published.running.output).toMatchRegex(/accepted/);
		expect(await runForCode(['diff', file])).toEqual(0);
	});

	it('waits until records are in force on every entry host', async () => {
		const published = await runTool(['publish', file, '--wait']);
		expect(published.code).toEqual(0);
		expect(published.running.output).toMatchRegex(/in force on all 2 entry hosts/);
	});

	it('lists and gets records in force', async () => {
		const pools = await runTool(['list', 'pools']);
		expect(pools.running.output).toMatchRegex(/trucks/);
		expect(await runForCode(['get', 'services', 'routes', '--json'])).toEqual(0);
		expect(await runForCode(['get', 'services', 'nothing'])).toEqual(1);
		expect(await runForCode(['list', 'weather'])).toEqual(2);
	});

	it('changes nothing and shows nothing without a valid token', async () => {
		const listed = await runTool(['list', 'pools'], 'a-wrong-token');
		expect(listed.code).toEqual(1);
		expect(listed.running.output).not.toMatchRegex(/trucks/);
		expect(await runForCode(['publish', file], 'a-wrong-token')).toEqual(1);
	});

	it('publishes no record of a file that contains an invalid one', async () => {
		const bad = join(folder, 'bad.yaml');
		await writeFile(bad, recordsText.replace('goodShare: 0.99', 'goodShare: 99'));
		const published = await runTool(['publish', bad]);
		expect(published.code).toEqual(2);
		expect(published.running.output).toMatchRegex(/bad\.yaml: records\.2: body: goodShare/);
	});

	it('exits with the usage error code for an invalid command line', async () => {
		const wrong = [[], ['nonsense'], ['list', 'pools', '--colour', 'red'], ['publish'], ['publish', file, '--wait', '--timeout', 'soon']];
		const codes = await Promise.all(wrong.map(async flags => runForCode(flags)));
		expect(codes).toEqual([2, 2, 2, 2, 2]);
	});

	it('reports burn over the reachable hosts and names the others', async () => {
		const [first, second] = fleet.entryHosts;
		await waitUntil('a request is answered', async () => {
			const response = await fetch(`http://${first?.address}/v1/services/routes`, {method: 'POST', body: '{}', headers: {'idempotency-key': 'burn-1'}});
			return response.ok;
		}, 20_000);
		second?.running.sendSignal('SIGKILL');
		await second?.running.waitForEnd();
		const published = await runTool(['publish', file, '--wait', '--timeout', '2']);
		expect(published.code).toEqual(3);
		expect(published.running.output).toMatchRegex(/not in force on entry-attica-b-1: unreachable/);
		const page = join(folder, 'burn.html');
		const report = await runTool(['report', 'burn', '--html', page]);
		expect(report.code).toEqual(0);
		expect(report.running.output).toMatchRegex(/could not be asked: entry-attica-b-1/);
		expect(report.running.output).toMatchRegex(/routes +99\.0%/);
		expect(await readFile(page, 'utf8')).toMatchRegex(/<svg/);
	});
});
