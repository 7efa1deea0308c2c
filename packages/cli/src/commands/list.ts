/** `list` and `get`: show what is in force, by kind. */
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '../failure.js';
import {fetchAnswer} from '../hosts/entry-host-client.js';
import {fleetAnswerSchema, type FleetAnswer, type InForceAnswer} from '../hosts/fleet-answer.js';
import {formatTable} from '../output/table.js';
import type {Settings} from '../settings.js';

/** One object that is in force, as printed in a table or as JSON. */
type Item = {readonly id: string; readonly offset: string; readonly detail: unknown};

function createItems(rows: readonly InForceAnswer[], idField: string): Item[] {
	return rows.map(row => ({id: String(row.body[idField]), offset: String(row.offset), detail: row.body}));
}

const listers: Readonly<Record<string, (fleet: FleetAnswer) => Item[]>> = {
	pools: fleet => createItems(fleet.pools, 'pool'),
	services: fleet => createItems(fleet.services, 'service'),
	objectives: fleet => createItems(fleet.objectives, 'service'),
	waves: fleet => fleet.waves.map(wave => ({id: wave.waveId, offset: '-', detail: wave})),
	jobs: fleet => fleet.jobs.map(job => ({id: job.jobId, offset: String(job.offset), detail: job})),
	hosts: fleet => fleet.hosts.map(host => ({id: host.hostId, offset: '-', detail: host})),
};

/** The kinds that can be listed. */
export const listedKinds = Object.keys(listers);

/** Lists all objects of a kind, as text or JSON. */
export async function listKind(settings: Settings, kind: string): Promise<Result<string, Failure>> {
	const items = await fetchItems(settings, kind);
	return items.map(found => settings.isJson
		? JSON.stringify(found, undefined, '\t')
		: formatTable([kind, 'in force since offset', 'content'], found.map(item => [item.id, item.offset, JSON.stringify(item.detail)])));
}

/** Shows one object with all its fields, as JSON. */
export async function getItem(settings: Settings, kind: string, id: string): Promise<Result<string, Failure>> {
	const items = await fetchItems(settings, kind);
	return items.andThen(found => {
		const item = found.find(candidate => candidate.id === id);
		return item ? ok(JSON.stringify(item, undefined, '\t')) : err(createFailure('refused', `no ${id} among the ${kind} in force`));
	});
}

async function fetchItems(settings: Settings, kind: string): Promise<Result<Item[], Failure>> {
	const list = Object.hasOwn(listers, kind) ? listers[kind] : undefined;
	if (!list) {
		return err(createFailure('usage', `'${kind}' is not one of: ${listedKinds.join(', ')}`));
	}

	const fleet = await fetchAnswer({host: settings.host, token: settings.token, path: '/v1/fleet'}, fleetAnswerSchema);
	return fleet.map(answer => list(answer));
}
