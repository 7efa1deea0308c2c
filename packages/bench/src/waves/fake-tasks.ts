/** The tasks of the fake platform in virtual time: they run, end, lose their lease when it expires, and are checkpointed and stopped on demand. */
import type {
	EffectOf, HostId, Instant, JobId, ListedTask,
} from '@rhubarblever/core';

type FakeTask = {
	readonly jobId: JobId;
	readonly attempt: number;
	readonly hostId: HostId;
	readonly runMs: number;
	leaseUntil: number;
	doneMs: number;
	checkpointMs: number;
	/** When the checkpoint in progress will be written. */
	checkpointAt: number | undefined;
	state: ListedTask['state'];
	endedAt: number | undefined;
};

const checkpointDurationMs = 5000;
const endedRetentionMs = 60_000;

export class FakeTasks {
	static create(): FakeTasks {
		return new FakeTasks();
	}

	/** Number of requested checkpoints, and milliseconds of work lost because a task was stopped after its last checkpoint. */
	checkpoints = 0;
	lostMs = 0;
	/** Jobs whose task succeeded since the trial last emptied this list. */
	readonly succeeded: JobId[] = [];
	private readonly tasks = new Map<JobId, FakeTask>();

	private constructor() {}

	/** Starts an attempt; it replaces any earlier attempt of the job. */
	start(effect: EffectOf<'task/start'>, runMs: number): void {
		const known = this.tasks.get(effect.jobId);
		if (known?.attempt === effect.attempt) {
			return;
		}

		this.tasks.set(effect.jobId, {
			jobId: effect.jobId,
			attempt: effect.attempt,
			hostId: effect.worker,
			runMs,
			leaseUntil: effect.leaseUntil,
			doneMs: effect.checkpointMs,
			checkpointMs: effect.checkpointMs,
			checkpointAt: undefined,
			state: 'running',
			endedAt: undefined,
		});
	}

	renew(effect: EffectOf<'task/renew'>): void {
		const task = this.findRunning(effect);
		if (task) {
			task.leaseUntil = Math.max(task.leaseUntil, effect.leaseUntil);
		}
	}

	writeCheckpoint(effect: EffectOf<'task/checkpoint'>, now: number): void {
		const task = this.findRunning(effect);
		if (task && task.checkpointAt === undefined) {
			task.checkpointAt = now + checkpointDurationMs;
			this.checkpoints += 1;
		}
	}

	stop(effect: EffectOf<'task/stop'>, now: number): void {
		const task = this.findRunning(effect);
		if (task) {
			this.lostMs += task.doneMs - task.checkpointMs;
			endTask(task, 'stopped', now);
		}
	}

	/** Ends all running tasks of a worker as lost; returns their number. */
	removeAll(hostId: HostId, now: number): number {
		const running = this.listRunning().filter(task => task.hostId === hostId);
		for (const task of running) {
			endTask(task, 'lost', now);
		}

		return running.length;
	}

	countRunning(hostId: HostId): number {
		return this.countByWorker().get(hostId) ?? 0;
	}

	countByWorker(): Map<HostId, number> {
		const counts = new Map<HostId, number>();
		for (const {hostId, state} of this.tasks.values()) {
			if (state === 'running') {
				counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** Milliseconds that draining a worker takes if the tasks selected by `isFinishing` run to their end and the others are checkpointed. */
	measureDrain(hostId: HostId, isFinishing: (jobId: JobId) => boolean): number {
		const running = this.listRunning().filter(task => task.hostId === hostId);
		const finishing = running.filter(task => isFinishing(task.jobId)).map(task => task.runMs - task.doneMs);
		return Math.max(0, ...finishing) + (finishing.length < running.length ? checkpointDurationMs : 0);
	}

	tick(elapsedMs: number, now: number): void {
		for (const task of this.listRunning()) {
			task.doneMs += elapsedMs;
			if (task.checkpointAt !== undefined && task.checkpointAt <= now) {
				task.checkpointMs = task.doneMs;
				task.checkpointAt = undefined;
			}

			this.endIfDue(task, now);
		}

		for (const [jobId, task] of this.tasks) {
			if (task.state === 'succeeded' && (task.endedAt ?? now) + endedRetentionMs < now) {
				this.tasks.delete(jobId);
			}
		}
	}

	list(now: number): ListedTask[] {
		return [...this.tasks.values()].map(({jobId, attempt, hostId, state, leaseUntil, checkpointMs}) => ({
			taskId: jobId, attempt, hostId, state, leaseUntil: leaseUntil as Instant, throttle: 1, checkpointMs, usage: {cores: 0, memoryBytes: 0}, reportedAt: now as Instant,
		}));
	}

	private endIfDue(task: FakeTask, now: number): void {
		if (task.doneMs >= task.runMs) {
			endTask(task, 'succeeded', now);
			this.succeeded.push(task.jobId);
		} else if (task.leaseUntil <= now) {
			endTask(task, 'lapsed', now);
		}
	}

	private findRunning({jobId, attempt}: {readonly jobId: JobId; readonly attempt: number}): FakeTask | undefined {
		const task = this.tasks.get(jobId);
		return task?.attempt === attempt && task.state === 'running' ? task : undefined;
	}

	private listRunning(): FakeTask[] {
		return [...this.tasks.values()].filter(task => task.state === 'running');
	}
}

function endTask(task: FakeTask, state: Exclude<ListedTask['state'], 'running'>, now: number): void {
	task.state = state;
	task.endedAt = now;
}
