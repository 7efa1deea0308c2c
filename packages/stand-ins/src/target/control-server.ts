/** Control server of a target process, for tests: serves ledgers and takes faults, even while a target is down. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {describeIssues} from '@rhubarblever/core';
import {listen, readJson, sendJson} from '../http.js';
import type {TargetServer} from './target-server.js';
import {targetSettingsSchema} from './work.js';

type ControlHandler = (target: TargetServer, request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

const pathPattern = /^\/targets\/([^/]+)\/(\w+)$/;

const controlHandlers: Readonly<Record<string, ControlHandler>> = {
	'GET ledger'(target, _request, response) {
		sendJson(response, 200, target.ledger.report());
	},
	async 'PUT settings'(target, request, response) {
		const parsed = targetSettingsSchema.safeParse(await readJson(request));
		if (!parsed.success) {
			sendJson(response, 400, {detail: describeIssues(parsed.error)});
			return;
		}

		target.setSettings(parsed.data);
		sendJson(response, 200, {});
	},
	'POST crash'(target, _request, response) {
		target.crash();
		sendJson(response, 200, {});
	},
	async 'POST start'(target, _request, response) {
		await target.start();
		sendJson(response, 200, {});
	},
};

/** Listens on `ip:port` and serves `/targets/<ip:port of a target>/{ledger,settings,crash,start}`. */
export async function startControlServer(address: string, targets: readonly TargetServer[]): Promise<void> {
	const [ip = '', port = ''] = address.split(':');
	const server = createServer((request, response) => {
		void answer(targets, request, response);
	});
	await listen(server, ip, Number(port));
}

async function answer(targets: readonly TargetServer[], request: IncomingMessage, response: ServerResponse): Promise<void> {
	const [, targetAddress, action] = pathPattern.exec(request.url ?? '') ?? [];
	const target = targets.find(candidate => candidate.options.address === targetAddress);
	const handle = controlHandlers[`${request.method} ${action}`];
	if (!target || !handle) {
		sendJson(response, 404, {detail: 'no such target or action'});
		return;
	}

	try {
		await handle(target, request, response);
	} catch (error) {
		sendJson(response, 400, {detail: (error as Error).message});
	}
}
