/** Calls to the platform about workers: the worker list and operations on workers. Failures are returned as faults, not thrown. */
import {
	listedWorkerSchema, operationReportSchema, type EffectOf, type Fault, type ListedWorker, type OperationId, type OperationReport,
} from '@rhubarblever/core';
import {ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {parseAnswer, PlatformHttp} from './platform-http.js';

const callTimeoutMs = 2000;
const connections = 16;
const notFoundStatus = 404;

const workerListSchema = z.object({workers: z.array(listedWorkerSchema)});

/** The state of an operation; `absent` if the platform has no operation with this id. */
export type OperationState = OperationReport['state'] | 'absent';

export class WorkerClient {
	static create(address: string): WorkerClient {
		return new WorkerClient(PlatformHttp.create(address, {callTimeoutMs, connections}));
	}

	private constructor(private readonly http: PlatformHttp) {}

	async listWorkers(): Promise<Result<readonly ListedWorker[], Fault>> {
		const result = await this.http.call({method: 'GET', path: '/v1/workers'});
		return result.andThen(answer => parseAnswer(answer, workerListSchema)).map(list => list.workers);
	}

	/** Starts an operation. After a fault, it may still have been started. */
	async startOperation({hostId, operationId, kind, pool, deadline}: EffectOf<'operation/start'>): Promise<Result<OperationState, Fault>> {
		const result = await this.http.call({
			method: 'POST',
			path: `/v1/workers/${encodeURIComponent(hostId)}/operations`,
			body: {
				operationId, kind, pool, deadline,
			},
		});
		return result.andThen(answer => parseAnswer(answer, operationReportSchema)).map(report => report.state);
	}

	async readOperation(operationId: OperationId): Promise<Result<OperationState, Fault>> {
		const result = await this.http.call({method: 'GET', path: `/v1/operations/${encodeURIComponent(operationId)}`});
		return result.andThen(answer => answer.status === notFoundStatus
			? ok<OperationState>('absent')
			: parseAnswer(answer, operationReportSchema).map(report => report.state));
	}
}
