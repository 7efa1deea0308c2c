/** `status`: shows each entry host, its next log offset and whether it answers. */
import {ok, type Result} from 'neverthrow';
import type {Failure} from '../failure.js';
import {fetchAnswer} from '../hosts/entry-host-client.js';
import {listEntryHosts, type KnownEntryHost} from '../hosts/entry-hosts.js';
import {fleetAnswerSchema} from '../hosts/fleet-answer.js';
import {formatTable} from '../output/table.js';
import type {Settings} from '../settings.js';

type HostStatus = {readonly hostId: string; readonly address: string; readonly state: string; readonly nextOffset: string};

/** Fetches the status of every entry host that the one in the settings knows. */
export async function describeStatus(settings: Settings): Promise<Result<string, Failure>> {
	const hosts = await listEntryHosts(settings);
	if (hosts.isErr()) {
		return hosts.map(() => '');
	}

	const statuses = await Promise.all(hosts.value.map(async host => fetchStatus(settings, host)));
	return ok(settings.isJson
		? JSON.stringify(statuses, undefined, '\t')
		: formatTable(['entry host', 'address', 'state', 'next offset'], statuses.map(status => [status.hostId, status.address, status.state, status.nextOffset])));
}

async function fetchStatus(settings: Settings, host: KnownEntryHost): Promise<HostStatus> {
	const fleet = await fetchAnswer({host: host.address, token: settings.token, path: '/v1/fleet'}, fleetAnswerSchema);
	return fleet.match(
		answer => ({
			hostId: host.hostId, address: host.address, state: 'answers', nextOffset: String(answer.nextOffset),
		}),
		failure => ({
			hostId: host.hostId, address: host.address, state: failure.lines.join('; '), nextOffset: '-',
		}),
	);
}
