/** Control routes for tests: faults, host lists, expiry of records, worker failures and the ledger. Injected faults do not affect them. */
import {listedHostSchema, offsetSchema} from '@rhubarblever/core';
import {z} from 'zod';
import {hostListViewSchema} from './host-list.js';
import {
	acceptBody, answerError, answerOk, type Route,
} from './route.js';
import {platformSettingsPatchSchema} from './settings.js';
import type {Worker} from './worker.js';
import type {WorkerTable} from './workers.js';

const hostsSchema = z.strictObject({hosts: z.array(listedHostSchema)});

const streamChangeSchema = z.strictObject({expireBefore: offsetSchema});

const workerChangeSchema = z.strictObject({change: z.enum(['fail', 'heal', 'fail-tasks'])});
type WorkerChange = z.infer<typeof workerChangeSchema>['change'];

const workerChanges: Readonly<Record<WorkerChange, (workers: WorkerTable, worker: Worker) => void>> = {
	fail(workers, worker) {
		workers.markDown(worker);
	},
	heal(workers, worker) {
		workers.heal(worker);
	},
	'fail-tasks'(_workers, worker) {
		worker.failsTasks = true;
	},
};

export const controlRoutes: readonly Route[] = [
	{
		method: 'PUT',
		pattern: /^\/v1\/control\/faults$/,
		handle: acceptBody(platformSettingsPatchSchema, ({platform}, patch) => {
			platform.faults.update(patch);
			return answerOk(platform.faults.settings);
		}),
	},
	{
		method: 'PUT',
		pattern: /^\/v1\/control\/hosts$/,
		handle: acceptBody(hostsSchema, ({platform}, {hosts}) => {
			platform.hostList.set(hosts);
			return answerOk({});
		}),
	},
	{
		method: 'PUT',
		pattern: /^\/v1\/control\/views$/,
		handle: acceptBody(hostListViewSchema, async ({platform, listenOn}, view) => {
			if (platform.hostList.setView(view)) {
				await listenOn(view.listen);
			}

			return answerOk({});
		}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/control\/streams\/([\w-]+)$/,
		handle: acceptBody(streamChangeSchema, ({platform, parameters}, {expireBefore}) => {
			platform.getStream(parameters[0] ?? '').expireBefore(expireBefore);
			return answerOk({});
		}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/control\/workers\/([^/]+)$/,
		handle: acceptBody(workerChangeSchema, ({platform, parameters}, {change}) => {
			const worker = platform.workers.get(parameters[0] ?? '');
			if (!worker) {
				return answerError(404, 'no such worker');
			}

			workerChanges[change](platform.workers, worker);
			return answerOk({});
		}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/control\/racks\/([^/]+)$/,
		handle: acceptBody(workerChangeSchema, ({platform, parameters}, {change}) => {
			const workers = platform.workers.listRack(parameters[0] ?? '');
			for (const worker of workers) {
				workerChanges[change](platform.workers, worker);
			}

			return workers.length > 0 ? answerOk({}) : answerError(404, 'no such rack');
		}),
	},
	{
		method: 'GET',
		pattern: /^\/v1\/control\/ledger$/,
		handle: ({platform}) => answerOk({entries: platform.ledger.entries}),
	},
];
