/** Routes of workers, of operations on workers, and of tasks. */
import {z} from 'zod';
import {operationStartSchema, type Operation} from './operations.js';
import {
	acceptBody, answerError, answerOk, type Route, type RouteAnswer, type RouteCall,
} from './route.js';
import {applyActualValues, taskStartSchema} from './tasks.js';
import type {Task, Worker} from './worker.js';

const attempt = z.number().int().positive().optional();

/** Finds the running task given by the path and the body; an unknown task is answered with status 404, an ended one with 409. */
function acceptTaskCall<Body extends {readonly attempt?: number | undefined}>(schema: z.ZodType<Body>, change: (task: Task, body: Body, call: RouteCall) => void): Route['handle'] {
	return acceptBody(schema, (call, body) => {
		const task = call.platform.workers.tasks.findTask(call.parameters[0] ?? '', body.attempt);
		if (!task) {
			return answerError(404, 'no such task or attempt');
		}

		if (task.state !== 'running') {
			return {status: 409, body: {detail: `the task is ${task.state}`, ...describeTask(task)}};
		}

		change(task, body, call);
		return answerOk(describeTask(task));
	});
}

function acceptWorkerCall<Body>(schema: z.ZodType<Body>, handle: (call: RouteCall, worker: Worker, body: Body) => RouteAnswer): Route['handle'] {
	return acceptBody(schema, (call, body) => {
		const worker = call.platform.workers.get(call.parameters[0] ?? '');
		return worker ? handle(call, worker, body) : answerError(404, 'no such worker');
	});
}

function describeTask({
	taskId, attempt: number, hostId, state, leaseUntil, checkpointMs,
}: Task) {
	return {
		taskId, attempt: number, hostId, state, leaseUntil, checkpointMs,
	};
}

function describeOperation({
	operationId, hostId, kind, state,
}: Operation) {
	return {
		operationId, hostId, kind, state,
	};
}

export const workerRoutes: readonly Route[] = [
	{
		method: 'GET',
		pattern: /^\/v1\/workers$/,
		handle: ({platform}) => answerOk({workers: platform.workers.report(platform.faults.settings.reportLagMs).workers}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/workers\/([^/]+)\/operations$/,
		handle: acceptWorkerCall(operationStartSchema, ({platform}, worker, start) => {
			const operation = platform.workers.operations.start(worker, start);
			return operation ? answerOk(describeOperation(operation)) : answerError(409, 'this operation id names another operation');
		}),
	},
	{
		method: 'GET',
		pattern: /^\/v1\/operations\/([^/]+)$/,
		handle({platform, parameters}) {
			const operation = platform.workers.operations.get(parameters[0] ?? '');
			return operation ? answerOk(describeOperation(operation)) : answerError(404, 'no such operation');
		},
	},
	{
		method: 'POST',
		pattern: /^\/v1\/workers\/([^/]+)\/tasks$/,
		handle: acceptWorkerCall(taskStartSchema, ({platform}, worker, start) => {
			const task = platform.workers.tasks.start(worker, applyActualValues(start, platform.faults.settings.taskTruths));
			return task ? answerOk(describeTask(task)) : answerError(409, 'the worker takes no task now, or the lease has ended');
		}),
	},
	{
		method: 'GET',
		pattern: /^\/v1\/tasks$/,
		handle: ({platform}) => answerOk({tasks: platform.workers.report(platform.faults.settings.reportLagMs).tasks}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/tasks\/([^/]+)\/renew$/,
		handle: acceptTaskCall(z.strictObject({attempt, leaseUntil: z.number().nonnegative()}), (task, body) => {
			task.leaseUntil = body.leaseUntil;
		}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/tasks\/([^/]+)\/stop$/,
		handle: acceptTaskCall(z.strictObject({attempt}), (task, _body, {platform}) => {
			const worker = platform.workers.get(task.hostId);
			if (worker) {
				platform.workers.tasks.end(worker, task, 'stopped');
			}
		}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/tasks\/([^/]+)\/checkpoint$/,
		handle: acceptTaskCall(z.strictObject({attempt}), (task, _body, {platform}) => {
			const worker = platform.workers.get(task.hostId);
			if (worker) {
				platform.workers.tasks.writeCheckpoint(worker, task);
			}
		}),
	},
	{
		method: 'POST',
		pattern: /^\/v1\/tasks\/([^/]+)\/throttle$/,
		handle: acceptTaskCall(z.strictObject({attempt, share: z.number().positive().max(1)}), (task, {share}, {platform}) => {
			const worker = platform.workers.get(task.hostId);
			if (worker) {
				platform.workers.tasks.throttle(worker, task, share);
			}
		}),
	},
];
