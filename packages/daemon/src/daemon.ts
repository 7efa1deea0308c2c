/** The process of an entry host: creates its components and runs them until a stop is requested. */
import {randomInt, randomUUID} from 'node:crypto';
import type {Server} from 'node:net';
import {
	createState, EventLoop, isWorkerListNeeded, listStartEffects, tickIntervalMs, type Effect, type Event, type Incarnation, type State,
} from '@rhubarblever/core';
import type {StatsD} from 'hot-shots';
import type {Logger} from 'winston';
import {selectFaults, type RefusalCountsByReason} from './clients/index.js';
import {readClock} from './clock.js';
import {CallTable} from './http/call-table.js';
import {createHttpServer, startListening} from './http/http-server.js';
import {runEffect, type InterpreterContext} from './interpreter.js';
import {createLogger} from './logger.js';
import {createMetrics} from './metrics.js';
import {PauseWatch} from './pause-watch.js';
import {PeerLinks} from './peers/peer-links.js';
import {HostListPoll} from './platform/host-list-poll.js';
import {PlatformClient} from './platform/platform-client.js';
import {TaskClient} from './platform/task-client.js';
import {WorkerClient} from './platform/worker-client.js';
import type {Settings} from './settings.js';
import {TargetClient} from './targets/target-client.js';

const hostListIntervalMs = 1000;
const workerListIntervalMs = 1000;
/** How often a host that does not poll the worker list checks whether it needs to. */
const workerNeedCheckIntervalMs = 100;
/** Time before exit for the last log lines and metrics to be sent. */
const exitDelayMs = 50;

export class Daemon {
	static create(settings: Settings, exit: (code: number) => void): Daemon {
		return new Daemon(settings, exit);
	}

	readonly logger: Logger;
	private readonly state: State;
	private readonly loop: EventLoop;
	private readonly server: Server;
	private readonly context: InterpreterContext;
	private readonly metrics: StatsD;
	private readonly hostList: HostListPoll;
	private readonly pauses = PauseWatch.create(readClock());
	private stopRequests = 0;
	private isExiting = false;

	private constructor(private readonly settings: Settings, private readonly exit: (code: number) => void) {
		this.logger = createLogger(settings.logLevel, settings.self.hostId);
		this.metrics = createMetrics(settings.metrics, settings.self.hostId);
		this.state = createState({
			self: settings.self,
			incarnation: randomUUID() as Incarnation,
			peers: settings.peers,
			routingPolicy: settings.routingPolicy,
			logRetentionMs: settings.logRetentionMs,
			seed: settings.seed === 0 ? randomInt(1, 2 ** 31) : settings.seed,
			jobLeaseMs: settings.jobLeaseMs,
		});
		this.loop = EventLoop.create(this.state, effect => {
			this.run(effect);
		});
		const push = this.push.bind(this);
		const calls = CallTable.create(settings.self.hostId);
		this.context = {
			calls,
			push,
			targets: TargetClient.create(calls, push),
			platform: PlatformClient.create(settings.platform),
			workers: WorkerClient.create(settings.platform),
			tasks: TaskClient.create(settings.platform),
			peers: PeerLinks.create(settings, push),
			logger: this.logger,
			metrics: this.metrics,
			areInvariantsFatal: settings.areInvariantsFatal,
			exit: this.closeAndExit.bind(this),
		};
		this.hostList = HostListPoll.create({
			push, intervalMs: hostListIntervalMs, listHosts: async () => this.context.platform.listHosts(),
		});
		this.server = createHttpServer({
			settings, state: this.state, calls, push,
		}, {
			handleUpgrade: (request, socket, head) => {
				this.context.peers.acceptUpgrade(request, socket, head);
			},
			refusalSink: {
				report: (_server, counts) => {
					this.reportRefusals(counts);
				},
			},
		});
	}

	/** Starts the HTTP server, the event clock and the polling of the platform. */
	async start(): Promise<void> {
		await startListening(this.server, this.settings.listen);
		this.logger.info('listening', {address: this.settings.self.address, availabilityZone: this.settings.self.availabilityZone});
		for (const effect of listStartEffects(this.state)) {
			this.run(effect);
		}

		setInterval(() => {
			const at = readClock();
			this.push({type: 'clock/ticked', at});
			this.pauses.noteTick(at);
		}, tickIntervalMs);
		this.hostList.start();
		void this.pollWorkerList();
	}

	/** The first call starts a graceful shutdown, the second exits immediately. */
	requestStop(): void {
		this.stopRequests += 1;
		if (this.stopRequests > 1) {
			this.closeAndExit(1);
			return;
		}

		this.logger.info('stopping');
		this.push({type: 'stop/requested', at: readClock()});
	}

	/** Pushes an event, and before it that this process did not run for a while, if so. */
	private push(event: Event): void {
		const stoppedAt = this.pauses.takePause(event.at);
		if (stoppedAt !== undefined) {
			this.loop.push({type: 'process/resumed', at: event.at, stoppedAt});
		}

		this.loop.push(event);
	}

	private run(effect: Effect): void {
		runEffect(this.context, effect);
	}

	private async pollWorkerList(): Promise<void> {
		const isNeeded = isWorkerListNeeded(this.state);
		if (isNeeded) {
			await this.fetchWorkerList();
		}

		setTimeout(() => {
			void this.pollWorkerList();
		}, isNeeded ? workerListIntervalMs : workerNeedCheckIntervalMs);
	}

	private async fetchWorkerList(): Promise<void> {
		const result = await this.context.workers.listWorkers();
		if (result.isOk()) {
			this.push({type: 'workers/listed', at: readClock(), workers: result.value});
		}
	}

	private reportRefusals(counts: RefusalCountsByReason): void {
		for (const [reason, count] of Object.entries(counts)) {
			this.metrics.increment('client.refused', count, {reason});
		}

		const faults = selectFaults(counts);
		if (Object.keys(faults).length > 0) {
			this.logger.warn('clients refused', faults);
		}
	}

	private closeAndExit(code: number): void {
		if (this.isExiting) {
			return;
		}

		this.isExiting = true;
		this.logger.info('stopped', {code});
		this.metrics.close();
		setTimeout(() => {
			this.exit(code);
		}, exitDelayMs);
	}
}
