/** The scheduler on one entry host: its event loop, what it follows in the store, and its desk for callers. */
import {
	createSchedulerState, reduceScheduler, ReducerLoop, type FleetConfig, type SchedulerEffect, type SchedulerEvent, type SchedulerSettings, type SchedulerState, type WorkerEntry,
} from '@rhubarblever/core/scheduler';
import {readSteadyClock, readWallClock} from './clocks.js';
import {
	decodeIntake, decodeLedger, intakeStream, ledgerStream,
} from './codec.js';
import type {DecisionLog} from './decision-log.js';
import {computeFollowTimes, type FollowTimes} from './follow-times.js';
import {EffectRunner, type UntimedEvent} from './effect-runner.js';
import {IntakeWriter} from './intake-writer.js';
import {JobDesk} from './job-api.js';
import type {SchedulerMetrics} from './metrics.js';
import type {KeyedRecord, SchedulerPorts} from './ports.js';
import {isCompleteWithin, type ViewStatus} from './stream-view.js';
import {Tail, type TailHandlers, type TailOptions} from './stream-reader.js';

const leaderTickMs = 25;
const followerTickMs = 100;
/** A silent connection to the store is noticed after this and a little more. */
const readWaitMs = 1000;
/** How old a follower's view of progress may be; callers ask for it. */
const ledgerPauseMs = 250;
const workerPauseMs = 250;
const millisecondsPerSecond = 1000;
/** Without an answer of the store for this long, callers are better served elsewhere. */
const longestSilenceMs = 2500;
const stopStepMs = 20;
const longestStopMs = 3000;

export type SchedulerHostOptions = {
	readonly ports: SchedulerPorts;
	readonly settings: SchedulerSettings;
	/** How long after its acceptance a job may still be unknown to a host. */
	readonly visibleMs: number;
	/** How long after its confirmation a configuration may not be in force at a host. */
	readonly configApplyMs: number;
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
};

export class SchedulerHost {
	static create(options: SchedulerHostOptions): SchedulerHost {
		return new SchedulerHost(options);
	}

	readonly desk: JobDesk;
	private readonly loop: ReducerLoop<SchedulerState, SchedulerEvent, SchedulerEffect>;
	private readonly tails: {readonly operator: Tail; readonly intake: Tail; readonly ledger: Tail; readonly workers: Tail; readonly status: Tail};
	private readonly entries = new Map<string, WorkerEntry>();
	private readonly completedWaves = new Set<number>();
	private readonly followTimes: FollowTimes;
	private readonly configTimes: FollowTimes;
	private timer: NodeJS.Timeout | undefined;
	private isStopping = false;
	/** A host that has just loaded all jobs has yet to read those that came meanwhile. */
	private hasBeenSure = false;

	private constructor(private readonly options: SchedulerHostOptions) {
		const {
			ports, settings, visibleMs, configApplyMs, log, metrics,
		} = options;
		this.followTimes = computeFollowTimes(visibleMs);
		this.configTimes = computeFollowTimes(configApplyMs);
		const runner = EffectRunner.create({
			ports,
			log,
			metrics,
			pushEvent: event => {
				this.push(event);
			},
			reloadLedger: () => {
				this.tails.ledger.reload();
			},
		});
		this.loop = ReducerLoop.create(createSchedulerState(settings), reduceScheduler, (effect: SchedulerEffect) => {
			runner.run(effect);
		});
		this.tails = this.createTails();
		this.desk = JobDesk.create({
			state: this.loop.state,
			writer: IntakeWriter.create(ports.store),
			log,
			describeIntake: () => this.describeIntake(),
			sureAgeMs: this.followTimes.sureAgeMs,
			describeConfig: () => this.tails.operator.view.describe(readSteadyClock()),
			sureConfigAgeMs: this.configTimes.sureAgeMs,
			noteAccepted: job => {
				this.push({type: 'intake/read', records: [{type: 'job', job}]});
			},
			noteCancelled: jobId => {
				this.push({type: 'intake/read', records: [{type: 'cancel', jobId}]});
			},
		});
	}

	start(): void {
		for (const tail of Object.values(this.tails)) {
			void tail.run();
		}

		this.scheduleTick();
	}

	/** True if callers are well served here. */
	isReady(): boolean {
		const view = this.describeIntake();
		const {answerAgeMs = Number.POSITIVE_INFINITY} = view;
		this.hasBeenSure ||= isCompleteWithin(view, this.followTimes.sureAgeMs);
		return !this.isStopping && this.desk.isOpen() && this.desk.isStoring()
			&& this.hasBeenSure && answerAgeMs < longestSilenceMs && isCompleteWithin(view, this.followTimes.readyAgeMs);
	}

	/** Gives the lead back; resolves once that is stored, or after a while. */
	async stop(): Promise<void> {
		this.isStopping = true;
		this.push({type: 'stop/requested'});
		const deadline = readSteadyClock() + longestStopMs;
		while (this.isLeader() && readSteadyClock() < deadline) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, stopStepMs);
			});
		}
	}

	/** Ends following the store. */
	close(): void {
		clearTimeout(this.timer);
		for (const tail of Object.values(this.tails)) {
			tail.stop();
		}
	}

	isLeader(): boolean {
		return this.loop.state.leadership.role === 'leader';
	}

	private describeIntake(): ViewStatus {
		return this.tails.intake.view.describe(readSteadyClock());
	}

	private push(event: UntimedEvent): void {
		this.loop.push({...event, at: readSteadyClock(), wallAt: readWallClock()});
	}

	private scheduleTick(): void {
		this.timer = setTimeout(() => {
			this.push({type: 'clock/ticked'});
			const {metrics} = this.options;
			metrics.leads.set(this.isLeader() ? 1 : 0);
			metrics.liveJobs.set(this.loop.state.liveJobs.size);
			this.measureViews();
			this.scheduleTick();
		}, this.isLeader() ? leaderTickMs : followerTickMs);
	}

	private measureViews(): void {
		const now = readSteadyClock();
		for (const [stream, {view}] of Object.entries(this.tails)) {
			const {completeAgeMs} = view.describe(now);
			if (completeAgeMs !== undefined) {
				this.options.metrics.viewAgeSeconds.set({stream}, completeAgeMs / millisecondsPerSecond);
			}
		}
	}

	private createTails() {
		const {feed} = this.options.ports;
		return {
			operator: this.createTail(feed.operatorStream, {
				handleLoaded: records => {
					this.readOperator(records);
				},
				handleRead: records => {
					this.readOperator(records);
				},
			}, {waitMs: () => this.configTimes.waitMs}),
			intake: this.createTail(intakeStream, {
				handleLoaded: records => {
					this.readIntake(records);
				},
				handleRead: records => {
					this.readIntake(records);
				},
			}, {waitMs: () => this.followTimes.waitMs, pauseMs: () => this.isLeader() ? 0 : this.followTimes.pauseMs}),
			ledger: this.createTail(ledgerStream, {
				handleLoaded: (records, nextOffset) => {
					this.readLedger('ledger/loaded', records, nextOffset);
				},
				handleRead: (records, nextOffset) => {
					this.readLedger('ledger/read', records, nextOffset);
				},
			}, {pauseMs: () => ledgerPauseMs, isWanted: () => !this.isLeader() && this.tails.intake.view.hasAnswer()}),
			workers: this.createTail(feed.workerStream, {
				handleLoaded: records => {
					this.entries.clear();
					this.readWorkers(records, true);
				},
				handleRead: records => {
					this.readWorkers(records, false);
				},
			}, {pauseMs: () => workerPauseMs, isWanted: () => this.isLeader()}),
			status: this.createTail(feed.statusStream, {
				handleLoaded: records => {
					this.readStatus(records);
				},
				handleRead: records => {
					this.readStatus(records);
				},
			}, {isWanted: () => this.isLeader(), pauseMs: () => readWaitMs}),
		};
	}

	private createTail(
		stream: string,
		handlers: TailHandlers,
		options: Partial<Pick<TailOptions, 'waitMs' | 'pauseMs' | 'isWanted'>> = {},
	): Tail {
		const {ports, log} = this.options;
		return Tail.create(ports.store, {
			stream, waitMs: () => readWaitMs, pauseMs: () => 0, isWanted: () => true, log, ...options,
		}, handlers);
	}

	private readOperator(records: readonly KeyedRecord[]): void {
		const {feed} = this.options.ports;
		for (const record of records) {
			const config: FleetConfig | undefined = feed.decodeConfig(record);
			if (config) {
				this.push({type: 'config/read', config});
			}

			const definition = feed.decodeWave(record);
			if (definition) {
				this.push({type: 'wave/published', definition, isCompleted: this.completedWaves.has(definition.wave)});
			}

			if (record.value && !config && !definition) {
				this.options.log.warn('record-unusable', {stream: feed.operatorStream, key: record.key, offset: record.offset});
			}
		}
	}

	private readIntake(records: readonly KeyedRecord[]): void {
		const decoded = records.flatMap(record => this.decodeRecord(intakeStream, record, decodeIntake) ?? []);
		this.push({type: 'intake/read', records: decoded, completeAt: this.tails.intake.view.completeAt});
	}

	private readLedger(type: 'ledger/loaded' | 'ledger/read', records: readonly KeyedRecord[], nextOffset: number): void {
		const entries = records.flatMap(record => {
			const decoded = this.decodeRecord(ledgerStream, record, decodeLedger);
			return decoded ? [{offset: record.offset, record: decoded}] : [];
		});
		this.push({type, entries, nextOffset});
	}

	/** Undefined for a record that says nothing to this version, or cannot be unpacked. */
	private decodeRecord<Decoded>(stream: string, record: KeyedRecord, decode: (record: KeyedRecord) => Decoded | undefined): Decoded | undefined {
		try {
			return decode(record);
		} catch (error) {
			this.options.log.warn('record-unusable', {
				stream, key: record.key, offset: record.offset, reason: error instanceof Error ? error.message : 'unknown error',
			});
			return undefined;
		}
	}

	private readWorkers(records: readonly KeyedRecord[], isReloaded: boolean): void {
		if (records.length === 0) {
			return;
		}

		for (const record of records) {
			const entry = this.options.ports.feed.decodeWorker(record);
			if (entry) {
				this.entries.set(record.key, entry);
			} else {
				this.entries.delete(record.key);
			}
		}

		this.push({type: 'workers/listed', workers: [...this.entries.values()], isReloaded});
	}

	private readStatus(records: readonly KeyedRecord[]): void {
		for (const record of records) {
			const status = this.options.ports.feed.decodeWaveStatus(record);
			if (status?.isCompleted) {
				this.completedWaves.add(status.wave);
			}
		}
	}
}
