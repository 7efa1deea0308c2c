/** The scheduler on one entry host: its event loop, what it follows in the store, and its desk for callers. */
import {
	createSchedulerState, reduceScheduler, ReducerLoop, type FleetConfig, type SchedulerEffect, type SchedulerEvent, type SchedulerSettings, type SchedulerState, type WorkerEntry,
} from '@rhubarblever/core/scheduler';
import {readSteadyClock, readWallClock} from './clocks.js';
import {
	decodeIntake, decodeLedger, intakeStream, ledgerStream,
} from './codec.js';
import type {DecisionLog} from './decision-log.js';
import {EffectRunner, type UntimedEvent} from './effect-runner.js';
import {IntakeWriter} from './intake-writer.js';
import {JobDesk} from './job-desk.js';
import type {SchedulerMetrics} from './metrics.js';
import type {KeyedRecord, SchedulerPorts} from './ports.js';
import {Tail, type TailHandlers} from './tail.js';

const leaderTickMs = 25;
const followerTickMs = 100;
/** A silent connection to the store is noticed after this and a little more. */
const readWaitMs = 1000;
/** How old a follower's view of progress may be; callers ask for it. */
const ledgerPauseMs = 250;
/** The same of jobs and cancels of other hosts: only repeats of calls and later questions need it. */
const intakePauseMs = 300;
/** A leader without processor or link to spare reads jobs in batches. */
const weakIntakePauseMs = 100;
const workerPauseMs = 250;
/** Without an answer of the store for this long, callers are better served elsewhere. */
const readyAgeMs = 2500;
const stopStepMs = 20;
/** A clock event that comes later than this tells that the process has no processor to spare. */
const lateTickMs = 250;
const longestStopMs = 3000;

export type SchedulerHostOptions = {
	readonly ports: SchedulerPorts;
	readonly settings: SchedulerSettings;
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
	private readonly runner: EffectRunner;
	private readonly entries = new Map<string, WorkerEntry>();
	private readonly completedWaves = new Set<number>();
	private timer: NodeJS.Timeout | undefined;
	private isStopping = false;

	private constructor(private readonly options: SchedulerHostOptions) {
		const {ports, settings, log, metrics} = options;
		this.runner = EffectRunner.create({
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
			this.runner.run(effect);
		});
		this.tails = this.createTails();
		this.desk = JobDesk.create({
			state: this.loop.state,
			writer: IntakeWriter.create(ports.store),
			log,
			getIntakeAgeMs: () => this.tails.intake.lastAnswerAt === 0 ? undefined : readSteadyClock() - this.tails.intake.lastAnswerAt,
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
		const age = readSteadyClock() - this.tails.intake.lastAnswerAt;
		return !this.isStopping && this.desk.isOpen() && this.desk.isStoring() && age < readyAgeMs;
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

	private push(event: UntimedEvent): void {
		this.loop.push({...event, at: readSteadyClock(), wallAt: readWallClock()});
	}

	private scheduleTick(): void {
		const tickMs = this.isLeader() ? leaderTickMs : followerTickMs;
		const dueAt = readSteadyClock() + tickMs;
		this.timer = setTimeout(() => {
			this.noteLateness(readSteadyClock() - dueAt);
			this.push({type: 'clock/ticked'});
			const {metrics} = this.options;
			metrics.leads.set(this.isLeader() ? 1 : 0);
			metrics.liveJobs.set(this.loop.state.liveJobs.size);
			this.scheduleTick();
		}, tickMs);
	}

	/** Tells of a late event loop, and of what was sent since the last time that it was told. */
	private noteLateness(lateMs: number): void {
		const {metrics, log} = this.options;
		metrics.loopLateSeconds.observe(lateMs / 1000);
		if (lateMs > lateTickMs) {
			log.warn('loop-late', {
				lateMs: Math.round(lateMs), isLeader: this.isLeader(), liveJobs: this.loop.state.liveJobs.size, ...this.runner.takeSentCounts(),
			});
		}
	}

	private createTails() {
		const {ports: {feed}, settings} = this.options;
		return {
			operator: this.createTail(feed.operatorStream, {
				handleLoaded: records => {
					this.readOperator(records);
				},
				handleRead: records => {
					this.readOperator(records);
				},
			}),
			intake: this.createTail(intakeStream, {
				handleLoaded: records => {
					this.readIntake(records);
				},
				handleRead: records => {
					this.readIntake(records);
				},
			}, {pauseMs: () => this.isLeader() ? settings.weakness * weakIntakePauseMs : intakePauseMs}),
			ledger: this.createTail(ledgerStream, {
				handleLoaded: (records, nextOffset) => {
					this.readLedger('ledger/loaded', records, nextOffset);
				},
				handleRead: (records, nextOffset) => {
					this.readLedger('ledger/read', records, nextOffset);
				},
			}, {pauseMs: () => ledgerPauseMs, isWanted: () => !this.isLeader() && this.tails.intake.lastAnswerAt > 0}),
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
		handlers: Omit<TailHandlers, 'handleReach'>,
		options: {readonly pauseMs?: () => number; readonly isWanted?: () => boolean} = {},
	): Tail {
		const {ports, log} = this.options;
		return Tail.create(ports.store, {
			stream, waitMs: () => readWaitMs, pauseMs: options.pauseMs ?? (() => 0), isWanted: options.isWanted ?? (() => true),
		}, {
			...handlers,
			handleReach(isReached) {
				log[isReached ? 'note' : 'warn'](isReached ? 'store-regained' : 'store-lost', {stream});
			},
		});
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
		}
	}

	private readIntake(records: readonly KeyedRecord[]): void {
		const decoded = records.map(record => decodeIntake(record)).filter(record => record !== undefined);
		if (decoded.length > 0) {
			this.push({type: 'intake/read', records: decoded});
		}
	}

	private readLedger(type: 'ledger/loaded' | 'ledger/read', records: readonly KeyedRecord[], nextOffset: number): void {
		const entries = records.flatMap(record => {
			const decoded = decodeLedger(record);
			return decoded ? [{offset: record.offset, record: decoded}] : [];
		});
		this.push({type, entries, nextOffset});
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
