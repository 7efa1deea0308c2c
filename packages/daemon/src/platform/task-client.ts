/** Calls to the platform about tasks on workers. The id of a task is the id of its job. */
import {
	listedTaskSchema, taskAnswerSchema, type EffectOf, type Fault, type ListedTask, type TaskAnswer,
} from '@rhubarblever/core';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {parseAnswer, PlatformHttp, type PlatformAnswer} from './platform-http.js';

const callTimeoutMs = 2000;
const connections = 16;
const firstClientErrorStatus = 400;
const firstServerErrorStatus = 500;

const taskListSchema = z.object({tasks: z.array(listedTaskSchema)});

/** Outcome of a start call. `refused`: this call started nothing. `unknown`: it may have started the task. */
export type StartOutcome = 'started' | 'refused' | 'unknown';

export class TaskClient {
	static create(address: string): TaskClient {
		return new TaskClient(PlatformHttp.create(address, {callTimeoutMs, connections}));
	}

	private constructor(private readonly http: PlatformHttp) {}

	async listTasks(): Promise<Result<readonly ListedTask[], Fault>> {
		const answer = await this.http.call({method: 'GET', path: '/v1/tasks'});
		return answer.andThen(found => parseAnswer(found, taskListSchema)).map(list => list.tasks);
	}

	async startTask(effect: EffectOf<'task/start'>): Promise<StartOutcome> {
		const {jobId, attempt, worker, leaseUntil, cores, memoryBytes, runMs, checkpointMs} = effect;
		const answer = await this.http.call({
			method: 'POST',
			path: `/v1/workers/${encodeURIComponent(worker)}/tasks`,
			body: {
				taskId: jobId, attempt, leaseUntil, cores, memoryBytes, runMs, checkpointMs,
			},
		});
		return answer.match(found => getStartOutcome(found), () => 'unknown');
	}

	/** Changes a running task; returns its state after the change if the platform reports it. */
	async updateTask(effect: EffectOf<'task/renew' | 'task/stop' | 'task/checkpoint' | 'task/throttle'>): Promise<TaskAnswer | undefined> {
		const {type, jobId, ...body} = effect;
		const answer = await this.http.call({method: 'POST', path: `/v1/tasks/${encodeURIComponent(jobId)}/${type.slice('task/'.length)}`, body});
		return answer.match(found => taskAnswerSchema.safeParse(found.body).data, () => undefined);
	}
}

function getStartOutcome({status}: PlatformAnswer): StartOutcome {
	if (status >= firstServerErrorStatus) {
		return 'unknown';
	}

	return status >= firstClientErrorStatus ? 'refused' : 'started';
}
