/** Calls to the platform about workers: their list, and operations on them. Faults are values. */
import {
	createFault, listedWorkerSchema, operationReportSchema, type EffectOf, type Fault, type ListedWorker, type OperationId, type OperationReport,
} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request, type Dispatcher} from 'undici';
import {z} from 'zod';

const callTimeoutMs = 2000;
const connectionCount = 16;
const notFoundStatus = 404;
const firstErrorStatus = 300;

const workerListSchema = z.object({workers: z.array(listedWorkerSchema)});

/** An operation's state; `absent` if the platform knows none of its id. */
export type OperationState = OperationReport['state'] | 'absent';

export class WorkerClient {
	static create(address: string): WorkerClient {
		return new WorkerClient(`http://${address}`);
	}

	private readonly agent = new Agent({connections: connectionCount, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs});

	private constructor(private readonly baseUrl: string) {}

	async listWorkers(): Promise<Result<readonly ListedWorker[], Fault>> {
		const result = await this.request('GET', '/v1/workers');
		return result.andThen(answer => parseBody(answer, workerListSchema)).map(list => list.workers);
	}

	/** Starts an operation. A fault does not say that it was not started. */
	async startOperation({hostId, operationId, kind, pool, deadline}: EffectOf<'operation/start'>): Promise<Result<OperationState, Fault>> {
		const result = await this.request('POST', `/v1/workers/${encodeURIComponent(hostId)}/operations`, {
			operationId, kind, pool, deadline,
		});
		return result.andThen(answer => parseBody(answer, operationReportSchema)).map(report => report.state);
	}

	async readOperation(operationId: OperationId): Promise<Result<OperationState, Fault>> {
		const result = await this.request('GET', `/v1/operations/${encodeURIComponent(operationId)}`);
		return result.andThen(answer => answer.status === notFoundStatus
			? ok<OperationState>('absent')
			: parseBody(answer, operationReportSchema).map(report => report.state));
	}

	private async request(method: Dispatcher.HttpMethod, path: string, body?: unknown): Promise<Result<PlatformAnswer, Fault>> {
		try {
			const response = await request(this.baseUrl + path, {
				method,
				body: body === undefined ? undefined : JSON.stringify(body),
				headers: {'content-type': 'application/json'},
				dispatcher: this.agent,
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			return ok({status: response.statusCode, body: await response.body.json()});
		} catch (error) {
			return err(createFault('log-unavailable', (error as Error).message));
		}
	}
}

type PlatformAnswer = {readonly status: number; readonly body: unknown};

function parseBody<Body>(answer: PlatformAnswer, schema: z.ZodType<Body>): Result<Body, Fault> {
	if (answer.status >= firstErrorStatus) {
		return err(createFault('log-unavailable', `the platform answered ${answer.status}`));
	}

	const parsed = schema.safeParse(answer.body);
	return parsed.success ? ok(parsed.data) : err(createFault('log-unavailable', 'the platform answered in an unknown shape'));
}
