/** Calls to the platform about tasks on workers. A task's id is its job's. */
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

/** What is known of a start: a refusal says that this call started nothing. */
export type StartAnswer = 'started' | 'refused' | 'unknown';

export class TaskClient {
	static create(address: string): TaskClient {
		return new TaskClient(PlatformHttp.create(address, {callTimeoutMs, connections}));
	}

	private constructor(private readonly http: PlatformHttp) {}

	async listTasks(): Promise<Result<readonly ListedTask[], Fault>> {
		const answer = await this.http.call({method: 'GET', path: '/v1/tasks'});
		return answer.andThen(found => parseAnswer(found, taskListSchema)).map(list => list.tasks);
	}

	async startTask(effect: EffectOf<'task/start'>): Promise<StartAnswer> {
		const {jobId, attempt, worker, leaseUntil, cores, memoryBytes, runMs, checkpointMs} = effect;
		const answer = await this.http.call({
			method: 'POST',
			path: `/v1/workers/${encodeURIComponent(worker)}/tasks`,
			body: {
				taskId: jobId, attempt, leaseUntil, cores, memoryBytes, runMs, checkpointMs,
			},
		});
		return answer.match(found => judgeStart(found), () => 'unknown');
	}

	/** Changes a running task; how it stands then, if the platform tells. */
	async updateTask(effect: EffectOf<'task/renew' | 'task/stop' | 'task/checkpoint' | 'task/throttle'>): Promise<TaskAnswer | undefined> {
		const {type, jobId, ...body} = effect;
		const answer = await this.http.call({method: 'POST', path: `/v1/tasks/${encodeURIComponent(jobId)}/${type.slice('task/'.length)}`, body});
		return answer.match(found => taskAnswerSchema.safeParse(found.body).data, () => undefined);
	}
}

function judgeStart({status}: PlatformAnswer): StartAnswer {
	if (status >= firstServerErrorStatus) {
		return 'unknown';
	}

	return status >= firstClientErrorStatus ? 'refused' : 'started';
}
