/** The list of entry hosts, as the entry host in the settings knows them. */
import {hostIdSchema} from '@rhubarblever/core';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import type {Failure} from '../failure.js';
import type {Settings} from '../settings.js';
import {fetchAnswer} from './entry-host-client.js';

const entryHostsSchema = z.object({
	entryHosts: z.array(z.object({hostId: hostIdSchema, address: z.string()})),
});

export type KnownEntryHost = z.infer<typeof entryHostsSchema>['entryHosts'][number];

/** Calls GET /v1/entry-hosts of the entry host in the settings. */
export async function listEntryHosts(settings: Settings): Promise<Result<KnownEntryHost[], Failure>> {
	const answer = await fetchAnswer({host: settings.host, token: settings.token, path: '/v1/entry-hosts'}, entryHostsSchema);
	return answer.map(({entryHosts}) => entryHosts);
}
