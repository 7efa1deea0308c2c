/** State of jobs and their tasks, and of the workers that run them. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {AccountCharge} from './account-use.js';
import type {OccurrenceSet} from './occurrence-ranges.js';
import type {ReportedBirth} from './reported-births.js';
import type {
	JobDefinition, JobPhase, JobProgress, MachineId, PoolName, Resources, StepDefinition, SteadyMs, TaskCrash, TaskName, WorkerId,
} from './types.js';

/** `stopping`: a stop was requested, because the run must end or because it is unknown whether its start was carried out. */
export type TaskStatus = 'waiting' | 'placed' | 'running' | 'stopping' | 'done';

export type Task = {
	readonly name: TaskName;
	readonly step: StepRun;
	readonly index: number;
	status: TaskStatus;
	/** Number of the latest run; 0 before the first. */
	run: number;
	failures: number;
	worker: Worker | undefined;
	checkpoint: string;
	/** The start was sent by this host, or may have been sent by an earlier leader. */
	isSent: boolean;
	/** The worker's known incarnation has listed the run, or its clock in the answer to the start shows that it has carried it out. Otherwise its next incarnation may have, or may still. */
	isReported: boolean;
	/** When the start of the latest run was sent by this leader. */
	sentAt: SteadyMs;
	/** An earlier start that might still be carried out kept the latest run from being placed on any other worker. */
	wasBound: boolean;
	/** How often the start of the latest run was sent, and whether it is to be sent again. */
	startAttempts: number;
	isRepeatDue: boolean;
	/** Starts without an answer, and the workers that may still carry them out; also some for which it is too late by now. */
	lateStarts: ReadonlyArray<{readonly worker: Worker; readonly late: LateStart}>;
	/** When the answer to its start was found to be lost; `never` while none was. */
	unansweredAt: SteadyMs;
	/** A poll sent after this instant is conclusive: if it does not list the run, the run is gone. */
	conclusiveAfter: SteadyMs;
	/** When an unconfirmed stop is sent again. */
	stopDueAt: SteadyMs;
	percent: number;
	percentChangedAt: SteadyMs;
	startedAt: SteadyMs;
	/** `startedAt` tells when the run began: this leader sent the start. */
	isStartKnown: boolean;
	/** The run began from a checkpoint. */
	isResumed: boolean;
	/** The latest run that was logged as past the tail of the runs of its key; 0 before the first. */
	overTailRun: number;
	/** The latest measurement of the run: tail latency in ms of a serving task, processor use of any other task; 0 if there is none. */
	reading: number;
	/** Share of the processor that a filler may use, 0 to 100. */
	pacePercent: number;
	readyAt: SteadyMs;
	/** Workers where the task failed recently. */
	failedOn: ReadonlySet<WorkerId>;
	/** Losses of workers that may be blamed on the task, oldest first. */
	crashes: readonly TaskCrash[];
	/** After this run the task was held back, because it crashes its workers; it does not start again before `heldBackUntil`. */
	heldBackRun: number;
	heldBackUntil: SteadyMs;
};

/** One step of one occurrence. */
export type StepRun = {
	readonly occurrence: Occurrence;
	readonly number: number;
	readonly definition: StepDefinition;
	/** The tasks that have been built, in the order of their indexes, without gaps; the others wait for their first placement. */
	readonly tasks: Task[];
	doneCount: number;
	/** Answers of the advice service; undefined before the first request. */
	advice: StepAdvice | undefined;
};

export type StepAdvice = {
	nextRequestAt: SteadyMs;
	/** Maximum number of workers that one request names. */
	maxWorkersPerRequest: number;
	/** Worker incarnations that the service has answered for; those without a ticket must not run the step. */
	readonly answeredIncarnations: Map<WorkerId, number>;
	readonly tickets: Map<WorkerId, {readonly ticket: string; readonly bornAt: number; readonly validUntil: SteadyMs}>;
};

/** The request that the advice service has not answered yet; only one is open at a time. */
export type AdviceRequest = {
	readonly step: StepRun;
	/** The named workers with their incarnations at the time of the request. */
	readonly incarnations: ReadonlyMap<WorkerId, number>;
	readonly requestedAt: SteadyMs;
};

export type Occurrence = {
	readonly job: Job;
	readonly number: number;
	readonly steps: StepRun[];
	readonly createdAt: SteadyMs;
	/** How many of its tasks are assigned to workers. */
	assignedTasks: number;
	/** Its start time has passed on this host's clock; its tasks do not start earlier. */
	isDue: boolean;
	isDone: boolean;
};

export type Job = {
	/** Shortened once the job has ended. */
	definition: JobDefinition;
	/** The stored phase, which callers see. */
	phase: Exclude<JobPhase, 'cancelled'>;
	isCancelled: boolean;
	progress: JobProgress | undefined;
	readonly acceptedAt: SteadyMs;
	/** When its caller is known to have first sent it, by this host's clock; its latency objective counts from here. Never later than `acceptedAt`. */
	sentAt: SteadyMs;
	/** It arrived beyond the rate that is within its account's share: it may only use capacity that nobody else needs. */
	readonly isExcess: boolean;
	/** Its account's quota did not admit it when it arrived: its tasks count as arrived work when they are first placed. */
	isWorkDeferred?: boolean | undefined;
	/** Set only on the leader, and only while the job is active. */
	live: LiveJob | undefined;
	/** When this host learned that the job has ended. */
	endedSince?: SteadyMs | undefined;
};

export type LiveJob = {
	readonly occurrences: Map<number, Occurrence>;
	readonly finishedOccurrences: OccurrenceSet;
	nextOccurrence: number;
	hasStarted: boolean;
	phase: Exclude<JobPhase, 'cancelled'>;
	finishedAt: Instant;
	/** Set once the rows of the job are stored in parts: how many successive tasks of a step share one. */
	rowsPerPart: number | undefined;
	/** Tasks whose rows may have changed since the job was last stored. */
	readonly changedTasks: Set<Task>;
};

/**
 * A start whose answer was lost. It may be carried out late, even by the worker's next incarnation, which has no
 * record of a stop that its predecessor confirmed.
 */
export type LateStart = {
	readonly task: TaskName;
	readonly run: number;
	readonly need: Resources;
	/** Calls that may still be carried out: the start may have been sent again. */
	openCalls: number;
	forgetAt: SteadyMs;
	/** When a stop is sent; `never` as long as the task itself is assigned to the worker, and once the worker has confirmed the stop. */
	stopDueAt: SteadyMs;
	/** What the run would count against the account of its job. */
	readonly charge?: AccountCharge | undefined;
	/** The worker's current incarnation has reported the run or confirmed a stop, so it will not carry out the start. */
	isRuledOut?: boolean | undefined;
};

/** A reading of a worker's clock, and when the call was sent and answered on this host's clock. */
export type WorkerClock = {readonly workerMs: number; readonly sentAt: SteadyMs; readonly at: SteadyMs};

export type Worker = {
	readonly id: WorkerId;
	bornAt: number;
	/** How many restarts of the worker this leader has seen. */
	restarts: number;
	/** That of the latest report of this incarnation that the registry has told of; 0 before the first. */
	sequence: number;
	address: string;
	pool: PoolName;
	availabilityZone: string;
	rack: string;
	labels: ReadonlySet<string>;
	capacity: Resources;
	machineId: MachineId | undefined;
	isDraining: boolean;
	leavesAt: SteadyMs | undefined;
	isListed: boolean;
	/** Set while the registry lacks the worker; at this instant it becomes unlisted. */
	unlistAt: SteadyMs | undefined;
	/** A later birth that the registry has told and the worker has not confirmed; it gets no new tasks meanwhile. */
	reportedBirth: ReportedBirth | undefined;
	/** The latest reported birth that an answer of the worker has shown to be wrong; 0 for none. */
	rejectedBornAt: number;
	/**
	 * The worker has answered a poll of this leader: it rejects the tokens of earlier leaders, and its runs and run ends were read.
	 * Reset when another poll has to confirm that.
	 */
	isPolledByLeader: boolean;
	/** The latest reading of the clock of the known incarnation. */
	clock: WorkerClock | undefined;
	/** Upper bound, on this host's clock, of the expiry of every lease that any leader granted to the known incarnation. */
	leaseExpiresAt: SteadyMs;
	/** When a call that renews the lease was last sent, or found to be unanswered: until then the next incarnation may have carried it out. */
	leaseCallAt: SteadyMs;
	/** Until when calls that renew the lease and were meant for former incarnations may be carried out, by whichever there is. */
	formerCallsOpenUntil: SteadyMs;
	/** Calls meant for a former incarnation may renew the lease of this one until it has carried out a later call. */
	hasFormerLeases: boolean;
	/** Until when runs may go on that calls meant for the former incarnation began, or whose lease they renewed. */
	longLeaseUntil: SteadyMs;
	/** Expiry of the latest lease requested, on the worker's clock. */
	leaseUntilMs: number;
	/** Highest numbers of the run ends that were read, whose effects were stored, and whose acknowledgement the worker has answered. */
	lastReadEnd: number;
	lastStoredEnd: number;
	lastAckedEnd: number;
	/** The number that the pending poll acknowledges; 0 for none. */
	sentAck: number;
	/** The highest number of acknowledgements without an answer, until when one may be carried out late, and whether one is known to have been late. */
	unansweredAck: {readonly upTo: number; readonly noticedAt: SteadyMs; readonly forgetAt: SteadyMs; isOutstanding: boolean} | undefined;
	/** The incarnation may have been told to forget run ends up to this number: they may come without being listed. No such call can reach it after `settledAt`. */
	hiddenEnds: {readonly upTo: number; settledAt: SteadyMs} | undefined;
	isPollPending: boolean;
	/** The pending poll renews the lease of whichever incarnation carries it out. */
	isLeasePollPending: boolean;
	/** When its latest poll was sent, apart from extra ones. */
	pollSentAt: SteadyMs;
	pollDueAt: SteadyMs;
	lastAnswerAt: SteadyMs;
	/** How long the worker was silent before its latest answer: the ends in that answer may be as old. */
	silentMs: number;
	/** Consecutive polls with another outcome than `held`: unanswered ones and those that were answered with an error. */
	failedPolls: number;
	/** When the first of these polls failed. */
	silentSince: SteadyMs;
	readonly tasks: Map<TaskName, Task>;
	/** How many of `tasks` are long-running. */
	longRunningTasks: number;
	lateStarts: LateStart[];
	/** Runs that the worker reports and this leader did not start or restore; they are stopped. */
	readonly unknownRuns: Map<TaskName, {readonly run: number; readonly reportedAt: SteadyMs}>;
	used: Resources;
	/** Gets no new tasks, because its machine is about to be moved or maintained. */
	isReserved: boolean;
	/** Gets no new tasks until then, after a start that was refused or not answered. */
	pausedUntil: SteadyMs;
	/** Set aside until then, after repeated failures: gets at most a long-running task as a probe. */
	quarantinedUntil: SteadyMs;
	readonly failures: Array<{readonly at: SteadyMs; readonly jobId: JobId}>;
	/** When a run was last seen to succeed here: it ended as done, or is long-running and at work. */
	lastSuccessAt: SteadyMs;
	quarantineCount: number;
	idleSince: SteadyMs;
};

/** The loss of a worker's incarnation, and when it last answered. `isPlain`: a suspect is plainly to blame. */
export type WorkerLoss = {
	readonly workerId: WorkerId;
	readonly bornAt: number;
	readonly pool: PoolName;
	readonly machineId: MachineId | undefined;
	readonly aliveAt: SteadyMs;
	readonly isPlain: boolean;
};
