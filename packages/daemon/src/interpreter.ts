/** Runs effects, with one handler per effect type. */
import {
	type Effect, type EffectOf, type EffectType, type Event, type Fault, type Offset, type OperationId,
} from '@rhubarblever/core';
import type {StatsD} from 'hot-shots';
import type {Result} from 'neverthrow';
import type {Logger} from 'winston';
import {readClock} from './clock.js';
import type {CallTable} from './http/call-table.js';
import {sendMetric} from './metrics.js';
import type {PeerLinks} from './peers/peer-links.js';
import type {PlatformClient} from './platform/platform-client.js';
import type {OperationState, WorkerClient} from './platform/worker-client.js';
import type {TaskClient} from './platform/task-client.js';
import {readSnapshots, writeSnapshot} from './platform/snapshots.js';
import type {TargetClient} from './targets/target-client.js';
import type {EventSink} from './types.js';

const fleetStream = 'fleet';
const logReadRetryDelayMs = 300;

/** The components that effect handlers use. */
export type InterpreterContext = {
	readonly calls: CallTable;
	readonly targets: TargetClient;
	readonly platform: PlatformClient;
	readonly workers: WorkerClient;
	readonly tasks: TaskClient;
	readonly peers: PeerLinks;
	readonly logger: Logger;
	readonly metrics: StatsD;
	readonly push: EventSink;
	readonly areInvariantsFatal: boolean;
	/** Ends the process with an exit code. */
	readonly exit: (code: number) => void;
};

type EffectHandler<Type extends EffectType> = (context: InterpreterContext, effect: EffectOf<Type>) => void;

const effectHandlers: {readonly [Type in EffectType]: EffectHandler<Type>} = {
	'line/write'({logger}, effect) {
		logger.log(effect.level, effect.event, effect.fields);
	},
	'metric/send'({metrics}, effect) {
		sendMetric(metrics, effect);
	},
	'invariant/violated'({logger, metrics, areInvariantsFatal, exit}, effect) {
		logger.error('invariant violated', {name: effect.name, detail: effect.detail});
		metrics.increment('invariant.violated', 1, {name: effect.name});
		if (areInvariantsFatal) {
			exit(70);
		}
	},
	'process/exit'({exit}) {
		exit(0);
	},
	'caller/refuse'({calls}, effect) {
		calls.refuse(effect.callerKey, effect.fault, effect.retryAt);
	},
	'callers/drain'({calls}) {
		calls.closeConnectionsAfterAnswers();
	},
	'attempt/dispatch'({targets}, effect) {
		void targets.dispatch(effect);
	},
	'log/schedule-flush'({push}, effect) {
		setTimeout(() => {
			push({type: 'log/flush-due', at: readClock()});
		}, Math.max(0, effect.at - readClock()));
	},
	'log/append'(context, effect) {
		void appendRecords(context, effect);
	},
	'log/read'(context, effect) {
		void readLog(context, effect.from);
	},
	'snapshot/write'({platform, push}, effect) {
		void writeSnapshot(platform, push, effect);
	},
	'snapshot/read'({platform, push}, effect) {
		void readSnapshots(platform, push, effect.from);
	},
	'publish/answer'({calls}, effect) {
		calls.answer(effect.callerKey, {published: effect.published});
	},
	'peer/send'({peers}, effect) {
		peers.send(effect.peer, effect.message);
	},
	'operation/start'(context, effect) {
		void reportOperation(context, effect.operationId, context.workers.startOperation(effect));
	},
	'operation/read'(context, effect) {
		void reportOperation(context, effect.operationId, context.workers.readOperation(effect.operationId));
	},
	'tasks/list'(context) {
		void listTasks(context);
	},
	'task/start'(context, effect) {
		void startTask(context, effect);
	},
	'task/renew'({tasks}, effect) {
		void tasks.updateTask(effect);
	},
	'task/stop'(context, effect) {
		void updateTask(context, effect);
	},
	'task/checkpoint'(context, effect) {
		void updateTask(context, effect);
	},
	'task/throttle'({tasks}, effect) {
		void tasks.updateTask(effect);
	},
	'peer/keep-links'({peers}, effect) {
		peers.keepLinks(effect.peers);
	},
};

/** Runs one effect. */
export function runEffect(context: InterpreterContext, effect: Effect): void {
	const run = effectHandlers[effect.type] as EffectHandler<EffectType>;
	run(context, effect);
}

async function appendRecords({platform, push}: InterpreterContext, effect: EffectOf<'log/append'>): Promise<void> {
	const result = await platform.appendRecords(fleetStream, effect.records);
	const recordIds = effect.records.map(record => record.recordId);
	push(result.match(
		() => ({type: 'log/appended' as const, at: readClock(), recordIds}),
		fault => ({
			type: 'log/append-failed' as const, at: readClock(), recordIds, fault,
		}),
	));
}

async function readLog({platform, push}: InterpreterContext, from: Offset): Promise<void> {
	const result = await platform.readLog(fleetStream, from);
	if (result.isOk()) {
		push({type: 'log/read', at: readClock(), ...result.value});
		return;
	}

	setTimeout(() => {
		push({type: 'log/read-failed', at: readClock(), fault: result.error});
	}, logReadRetryDelayMs);
}

async function reportOperation({push}: InterpreterContext, operationId: OperationId, call: Promise<Result<OperationState, Fault>>): Promise<void> {
	const result = await call;
	push(result.match<Event>(
		state => ({
			type: 'operation/reported', at: readClock(), operationId, state,
		}),
		fault => ({
			type: 'operation/call-failed', at: readClock(), operationId, fault,
		}),
	));
}

async function listTasks({tasks, push}: InterpreterContext): Promise<void> {
	const result = await tasks.listTasks();
	if (result.isOk()) {
		push({type: 'tasks/listed', at: readClock(), tasks: result.value});
	}
}

async function updateTask({tasks, push}: InterpreterContext, effect: EffectOf<'task/stop' | 'task/checkpoint'>): Promise<void> {
	const task = await tasks.updateTask(effect);
	if (task) {
		push({
			type: 'task/told', at: readClock(), jobId: effect.jobId, task,
		});
	}
}

async function startTask({tasks, push}: InterpreterContext, effect: EffectOf<'task/start'>): Promise<void> {
	const answer = await tasks.startTask(effect);
	push({
		type: 'task/start-answered', at: readClock(), jobId: effect.jobId, attempt: effect.attempt, answer,
	});
}
