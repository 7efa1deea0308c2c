/** The scheduler on one entry host: its event loop, the readers of its streams in the store, and its job API for callers. */
import {randomInt} from 'node:crypto';
import {
	createSchedulerState, getNextLeadershipCheck, listAccountShares, reduceScheduler, ReducerLoop, type ClientLimits, type SchedulerEffect, type SchedulerEvent, type SchedulerSettings, type SchedulerState, type SteadyMs,
} from '@rhubarblever/core/scheduler';
import {AdmissionGate} from './admission-gate.js';
import {readMoment, readSteadyClock, readWallClock} from './clocks.js';
import type {DecisionLog} from './decision-log.js';
import {computeFollowTimes, type FollowTimes} from './follow-times.js';
import {EffectRunner, type UntimedEvent} from './effect-runner.js';
import {IntakeCheck} from './intake-check.js';
import {IntakeWriter} from './intake-writer.js';
import {JobApi} from './job-api.js';
import {KeyCheck, type KeySettings} from './key-check.js';
import {LoadMetrics} from './load-metrics.js';
import {updateCalibration, type SchedulerMetrics} from './metrics.js';
import type {SchedulerPorts} from './ports.js';
import {RecordEvents} from './record-events.js';
import {RefusalMemory} from './refusal-memory.js';
import {isCompleteWithin, type ViewStatus} from './stream-view.js';
import {createStreamReaders, type StreamReaders} from './stream-readers.js';

const leaderTickMs = 25;
/** A follower's clock ticks when it may have to claim leadership, but within these bounds. */
const minFollowerTickMs = 25;
const maxFollowerTickMs = 500;
/** A host claims leadership only if it has read the ledger this short a time ago. */
const maxAgeBeforeClaimMs = 200;
/** What was read this short a time ago is shown to callers without asking the store again. */
const maxAnswerAgeMs = 50;
const millisecondsPerSecond = 1000;
/** Without a response of the store for this long, the host is not ready, so that callers use other hosts. */
const maxStoreSilenceMs = 2500;
const drawSteps = 1_000_000;
const stopPollMs = 20;
const maxStopMs = 3000;
const noKeys: KeySettings = {isRequired: false, revokeMs: undefined};

export type SchedulerHostOptions = {
	readonly ports: SchedulerPorts;
	readonly settings: SchedulerSettings;
	/** How long after its acceptance a job may still be unknown to a host. */
	readonly visibleMs: number;
	/** How long after its acknowledgement a configuration may not yet be in force at a host. */
	readonly configApplyMs: number;
	/** Absent if the host's settings require no API keys; the configuration may still do. */
	readonly keys?: KeySettings;
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
};

export class SchedulerHost {
	static create(options: SchedulerHostOptions): SchedulerHost {
		return new SchedulerHost(options);
	}

	readonly jobApi: JobApi;
	readonly keyCheck: KeyCheck;
	private readonly refusals: RefusalMemory;
	private readonly loadMetrics: LoadMetrics;
	private readonly loop: ReducerLoop<SchedulerState, SchedulerEvent, SchedulerEffect>;
	private readonly readers: StreamReaders;
	private readonly events: RecordEvents;
	private readonly intakeTimes: FollowTimes;
	private readonly configTimes: FollowTimes;
	private timer: NodeJS.Timeout | undefined;
	/** When the next clock event is due. */
	private tickDueAt = 0;
	private isStopping = false;
	private isClosed = false;
	private wasLeader = false;
	/** Whether the view of the jobs was ever fresh enough. A host that has just loaded all jobs still has to read those submitted meanwhile. */
	private hasBeenFresh = false;

	private constructor(private readonly options: SchedulerHostOptions) {
		const {
			ports, settings, visibleMs, configApplyMs, keys = noKeys, log, metrics,
		} = options;
		this.intakeTimes = computeFollowTimes(visibleMs, 'batched');
		this.configTimes = computeFollowTimes(Math.min(configApplyMs, keys.revokeMs ?? configApplyMs), 'prompt');
		const runner = EffectRunner.create({
			ports,
			log,
			metrics,
			pushEvent: event => {
				this.push(event);
			},
			reloadLedger: () => {
				this.readers.ledger.reload();
			},
			expireViews: () => {
				for (const reader of Object.values(this.readers)) {
					reader.expire();
				}
			},
		});
		this.loop = ReducerLoop.create(createSchedulerState(settings), reduceScheduler, (effect: SchedulerEffect) => {
			runner.run(effect);
		});
		metrics.followAccounts(most => listAccountShares(this.loop.state, most));
		this.events = RecordEvents.create({
			codec: ports.codec, log, metrics, getConfigVersion: () => this.loop.state.config?.version, pushEvent: event => {
				this.push(event);
			},
		});
		this.readers = createStreamReaders({
			ports, log, events: this.events, intakeTimes: this.intakeTimes, configTimes: this.configTimes, capacityShortfall: settings.capacityShortfall, isLeader: () => this.isLeader(),
		});
		this.loadMetrics = LoadMetrics.create(this.loop.state, metrics);
		const writer = IntakeWriter.create(ports.store, {getStoreAnsweredAt: () => this.getStoreAnsweredAt()});
		this.refusals = RefusalMemory.create({
			writer, holder: settings.holder, log, handleStored: record => {
				this.push({type: 'intake/read', records: [record]});
			},
		});
		const draw = () => randomInt(drawSteps) / drawSteps;
		const gate = AdmissionGate.create({
			state: this.loop.state,
			log,
			metrics,
			intakeCheck: IntakeCheck.create({refresh: async () => this.readers.intake.refresh(0), getCompleteAt: () => this.loop.state.intakeCompleteAt}),
			getLedgerAgeMs: () => this.readers.ledger.view.describe(readMoment()).completeAgeMs,
			draw,
		});
		this.jobApi = JobApi.create({
			state: this.loop.state,
			writer,
			refusals: this.refusals,
			gate,
			draw,
			log,
			describeIntake: () => this.describeIntake(),
			maxStalenessMs: this.intakeTimes.maxStalenessMs,
			describeConfig: () => this.describeConfig(),
			maxConfigStalenessMs: this.configTimes.maxStalenessMs,
			refreshIntake: async () => this.readers.intake.refresh(maxAnswerAgeMs),
			refreshProgress: async () => this.readers.ledger.refresh(maxAnswerAgeMs),
			refreshConfig: async () => this.readers.operator.refresh(this.configTimes.maxStalenessMs),
			handleAccepted: job => {
				this.push({type: 'intake/read', records: [{type: 'job', job}]});
			},
			handleCancelled: jobId => {
				this.push({type: 'intake/read', records: [{type: 'cancel', jobId}]});
			},
		});
		this.keyCheck = KeyCheck.create({
			settings: keys,
			getConfig: () => this.loop.state.config,
			describeConfig: () => this.describeConfig(),
			hasStoredConfig: () => this.events.hasStoredConfig(),
			maxDenialAgeMs: this.configTimes.maxStalenessMs,
			refreshConfig: async maxAgeMs => this.readers.operator.refresh(maxAgeMs),
			log,
			metrics,
		});
	}

	start(): void {
		for (const reader of Object.values(this.readers)) {
			void reader.run();
		}

		this.scheduleTick();
	}

	/** True if this host can serve callers: its views of the jobs and of the accounts are recent and the store responds. */
	isReady(): boolean {
		const view = this.describeIntake();
		const {answerAgeMs = Number.POSITIVE_INFINITY} = view;
		this.hasBeenFresh ||= isCompleteWithin(view, this.intakeTimes.maxStalenessMs);
		return !this.isStopping && this.jobApi.isInitialized() && this.jobApi.canStoreJobs() && this.keyCheck.canGrant()
			&& this.hasBeenFresh && answerAgeMs < maxStoreSilenceMs && isCompleteWithin(view, this.intakeTimes.maxReadyStalenessMs);
	}

	/** Gives up leadership; resolves once that is stored, or after `maxStopMs`. */
	async stop(): Promise<void> {
		this.isStopping = true;
		this.push({type: 'stop/requested'});
		const deadline = readSteadyClock() + maxStopMs;
		while (this.isLeader() && readSteadyClock() < deadline) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, stopPollMs);
			});
		}
	}

	/** Stops the clock ticks and the readers of the store. */
	close(): void {
		this.isClosed = true;
		clearTimeout(this.timer);
		for (const reader of Object.values(this.readers)) {
			reader.stop();
		}
	}

	/** The limits on clients in the configuration in force; undefined if it sets none. */
	getClientLimits(): ClientLimits | undefined {
		return this.loop.state.config?.clientLimits;
	}

	isLeader(): boolean {
		return this.loop.state.leadership.role === 'leader';
	}

	private getStoreAnsweredAt(): SteadyMs | undefined {
		const times = Object.values(this.readers).flatMap(({view}) => view.answeredAt ?? []);
		return times.length > 0 ? Math.max(...times) : undefined;
	}

	private describeIntake(): ViewStatus {
		return this.readers.intake.view.describe(readMoment());
	}

	private describeConfig(): ViewStatus {
		return this.readers.operator.view.describe(readMoment());
	}

	private push(event: UntimedEvent): void {
		this.loop.push({...event, at: readSteadyClock(), wallAt: readWallClock()});
		if (this.isLeader() !== this.wasLeader) {
			this.wasLeader = this.isLeader();
			this.handleRoleChange();
		} else if (this.computeTickDue() < this.tickDueAt) {
			this.scheduleTick();
		}
	}

	/** A leader reads other streams than a follower, and ticks more often. */
	private handleRoleChange(): void {
		for (const reader of Object.values(this.readers)) {
			reader.wake();
		}

		this.scheduleTick();
	}

	private scheduleTick(): void {
		clearTimeout(this.timer);
		this.tickDueAt = this.computeTickDue();
		this.timer = setTimeout(() => {
			void this.tick();
		}, this.tickDueAt - readSteadyClock());
	}

	private async tick(): Promise<void> {
		if (!this.isLeader() && getNextLeadershipCheck(this.loop.state) <= readSteadyClock() + minFollowerTickMs) {
			// The leader may only seem silent because this host pauses between its reads.
			await this.readers.ledger.refresh(maxAgeBeforeClaimMs);
		}

		if (this.isClosed) {
			return;
		}

		this.push({type: 'clock/ticked'});
		this.refusals.tick();
		this.loadMetrics.tick();
		const {metrics} = this.options;
		metrics.leadership.set(this.isLeader() ? 1 : 0);
		metrics.liveJobs.set(this.loop.state.liveJobs.size);
		updateCalibration(metrics, this.loop.state.runTimes.calibration);
		this.updateViewAges();
		this.scheduleTick();
	}

	private computeTickDue(): SteadyMs {
		const now = readSteadyClock();
		if (this.isLeader()) {
			return now + leaderTickMs;
		}

		return Math.min(now + maxFollowerTickMs, Math.max(now + minFollowerTickMs, getNextLeadershipCheck(this.loop.state)));
	}

	private updateViewAges(): void {
		const now = readMoment();
		for (const [stream, {view}] of Object.entries(this.readers)) {
			const {completeAgeMs} = view.describe(now);
			if (completeAgeMs !== undefined) {
				this.options.metrics.viewAgeSeconds.set({stream}, completeAgeMs / millisecondsPerSecond);
			}
		}
	}
}
