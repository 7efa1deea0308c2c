/** Entry hosts of two builds on one stand-in platform, under load; every process can be replaced by one of the other build. */
import {Buffer} from 'node:buffer';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	FaultProxy, ProcessGroup, sleep, takeAddress, waitUntil, type RunningProcess,
} from '@rhubarblever/stand-ins';
import {describeSettings} from '../integration/entry-program.js';
import {SeededRandom} from '../mixed-run/seeded-random.js';
import {RunChecker} from '../soak/run-checker.js';
import {SoakFleet, type SoakHost} from '../soak/soak-fleet.js';
import {SoakLoad, type SoakJob} from '../soak/soak-load.js';
import {MachineService} from './machine-service.js';

export type Build = 'old' | 'new';

/** Path of a program in each build. */
export type BuildPrograms = Readonly<Record<Build, string>>;

export type UpgradeFleetOptions = {readonly programs: BuildPrograms; readonly workers: number; readonly seed: number};

const runMs = 800;
const startTimeoutMs = 30_000;
/** All accepted jobs and waves must end within this time after the last restart. */
const waitLimitMs = 60_000;
const settlePollMs = 300;
const waveDeadlineS = 60;
const keptOutputLength = 2000;

export class UpgradeFleet {
	static async create({programs, workers, seed}: UpgradeFleetOptions): Promise<UpgradeFleet> {
		const jobs = new Map<string, SoakJob>();
		// Filled below: the checker is needed before the fleet exists.
		const fleets: SoakFleet[] = [];
		const checker = RunChecker.create({
			findJob: jobId => jobs.get(jobId), readClock: () => performance.now(), readDisturbedUntil: () => fleets[0]?.getDisturbedUntil() ?? performance.now(),
		});
		const fleet = await SoakFleet.start({
			hosts: 0, workers, runMs, observer: checker,
		});
		fleets.push(fleet);
		const machineAddress = takeAddress();
		const machines = await MachineService.create(machineAddress, fleet.platform.workers);
		const load = SoakLoad.create({
			fleet, draws: SeededRandom.create(seed), recentJobDraws: SeededRandom.create(seed + 1), jobs, checker,
		});
		return new UpgradeFleet(programs, {
			fleet, machines, machineAddress, load, jobs, checker,
		});
	}

	/** The build of each host's current process. */
	readonly builds = new Map<SoakHost, Build>();
	/** Number of process starts by build. */
	readonly processStarts: Record<Build, number> = {old: 0, new: 0};
	private readonly group = ProcessGroup.create();
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'rhubarblever-upgrade-'));

	private constructor(
		private readonly programs: BuildPrograms,
		readonly parts: {
			readonly fleet: SoakFleet; readonly machines: MachineService; readonly machineAddress: string; readonly load: SoakLoad; readonly jobs: Map<string, SoakJob>; readonly checker: RunChecker;
		},
	) {}

	get hosts(): readonly SoakHost[] {
		return this.parts.fleet.hosts;
	}

	/** Adds a host and starts its first process with the given build; does not wait until it is ready. */
	async addHost(build: Build): Promise<SoakHost> {
		const {fleet, machineAddress} = this.parts;
		const index = fleet.hosts.length;
		const addresses = {front: takeAddress(), ready: takeAddress(), metrics: takeAddress()};
		const storeAddress = takeAddress();
		await fleet.platform.openEndpoint(storeAddress);
		const storeLink = await FaultProxy.create({listenAddress: takeAddress(), targetAddress: storeAddress});
		const settingsPath = path.join(this.folder, `front-${index}.json`);
		const settings = describeSettings(index, storeLink.listenAddress, addresses) as Record<string, unknown>;
		writeFileSync(settingsPath, JSON.stringify({...settings, cloud: {address: machineAddress}}));
		// `faults: 1`: the host counts as under a fault until it is ready.
		const host: SoakHost = {
			...addresses, index, settingsPath, storeLink, storeAddress, process: this.startProgram(index, settingsPath, build), isEnding: false, faults: 1, calmSince: 0,
		};
		fleet.hosts.push(host);
		this.trackProcess(host, build);
		return host;
	}

	/** Ends a host's process; one that gets SIGTERM must exit with code 0. */
	async endHost(host: SoakHost, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		host.isEnding = true;
		host.faults = 1;
		host.process.sendSignal(signal);
		const {code} = await host.process.waitForEnd();
		if (signal === 'SIGTERM' && code !== 0) {
			this.parts.checker.report(`front-${host.index} exited with code ${code ?? 'none'} after SIGTERM`);
		}
	}

	/** Starts a new process of a host with the given build. */
	startHost(host: SoakHost, build: Build): void {
		host.process = this.startProgram(host.index, host.settingsPath, build);
		host.isEnding = false;
		this.trackProcess(host, build);
	}

	/** Resolves once the given hosts are ready. */
	async waitForReady(hosts: readonly SoakHost[] = this.hosts): Promise<void> {
		await Promise.all(hosts.map(async host => {
			await waitUntil(`front-${host.index} is ready`, async () => this.parts.fleet.isReady(host), startTimeoutMs);
			host.faults = 0;
			host.calmSince = performance.now();
		}));
	}

	async findLeader(): Promise<SoakHost | undefined> {
		return this.parts.fleet.findLeader();
	}

	/** Publishes a wave over all machines, one down at a time. */
	publishWave(wave: number): void {
		const {fleet, machines} = this.parts;
		fleet.platform.log.put('keyed.op', `wave/${wave}`, {
			wave, machines: machines.listIds(), 'deadline-s': waveDeadlineS, cap: 1,
		});
	}

	/** The state of a wave that operators read. */
	readWaveState(wave: number): string | undefined {
		const item = this.parts.fleet.platform.log.listNewest('keyed.status').items.find(({key}) => key === `wave/${wave}`);
		return item && (JSON.parse(Buffer.from(item.value, 'base64').toString('utf8')) as {state: string}).state;
	}

	/** Accepted jobs that are neither completed at the workers nor cancelled. */
	listOpenJobs(): SoakJob[] {
		const {jobs, checker} = this.parts;
		return [...jobs.values()].filter(job => job.acceptedAt !== undefined && job.cancelSentAt === undefined && !checker.isDone(job.jobId, job.tasks));
	}

	/** Cancels an open job at the first host that answers. */
	async cancelOpenJob(): Promise<string | undefined> {
		for (const job of this.listOpenJobs()) {
			for (const host of this.hosts) {
				job.cancelSentAt = performance.now();
				// eslint-disable-next-line no-await-in-loop
				const {status} = await this.parts.fleet.call(host, 'DELETE', job.jobId);
				if (status === 200) {
					job.cancelledAt = performance.now();
					return job.jobId;
				}
			}
		}

		return undefined;
	}

	/** Waits until every accepted job is finished at every host; reports those that are not in time, and cancelled jobs whose tasks still run. */
	async waitForJobs(): Promise<void> {
		const {jobs, checker} = this.parts;
		const deadline = performance.now() + waitLimitMs;
		for (const host of this.hosts) {
			let open = [...jobs.values()].filter(job => job.acceptedAt !== undefined);
			while (open.length > 0 && performance.now() < deadline) {
				// eslint-disable-next-line no-await-in-loop
				open = await this.listUnfinished(host, open);
				// eslint-disable-next-line no-await-in-loop
				await sleep(open.length > 0 ? settlePollMs : 0);
			}

			for (const job of open) {
				checker.report(`${job.jobId} is accepted and unfinished at front-${host.index}`);
			}
		}

		for (const job of jobs.values()) {
			if (job.cancelledAt !== undefined && checker.countRunning(job.jobId) > 0) {
				checker.report(`${job.jobId} is cancelled and still runs`);
			}
		}
	}

	/** Waits until a wave is shown to operators as completed, then checks that every machine had exactly one upkeep. */
	async waitForWave(wave: number): Promise<void> {
		const {checker, machines} = this.parts;
		await waitUntil(`wave ${wave} is completed`, async () => this.readWaveState(wave) === 'completed', waitLimitMs).catch(() => {
			checker.report(`wave ${wave} is ${this.readWaveState(wave) ?? 'not reported'}, upkeeps ${machines.countUpkeeps(wave).join(' ')}`);
		});
		if (machines.countUpkeeps(wave).some(count => count !== 1)) {
			checker.report(`wave ${wave}: upkeeps per machine ${machines.countUpkeeps(wave).join(' ')}, instead of 1 each`);
		}
	}

	async close(): Promise<void> {
		for (const host of this.hosts) {
			host.isEnding = true;
		}

		await this.group.endAll();
		this.parts.machines.close();
		await this.parts.fleet.close();
		rmSync(this.folder, {recursive: true});
	}

	private startProgram(index: number, settingsPath: string, build: Build): RunningProcess {
		this.processStarts[build]++;
		return this.group.start(`front-${index}-${build}`, this.programs[build], [], {RHUBARBLEVER_SETTINGS: settingsPath});
	}

	private trackProcess(host: SoakHost, build: Build): void {
		this.builds.set(host, build);
		const tracked = host.process;
		void tracked.waitForEnd().then(({code, signal}) => {
			if (host.process === tracked && !host.isEnding) {
				this.parts.checker.report(`front-${host.index} (${build}) exited by itself (${code ?? signal ?? 'unknown'}): ${tracked.output.slice(-keptOutputLength)}`);
			}
		});
	}

	private async listUnfinished(host: SoakHost, jobs: readonly SoakJob[]): Promise<SoakJob[]> {
		const answers = await Promise.all(jobs.map(async job => ({job, answer: await this.parts.fleet.call(host, 'GET', job.jobId)})));
		return answers
			.filter(({job, answer}) => answer.state !== 'completed' && !(answer.state === 'cancelled' && job.cancelSentAt !== undefined))
			.map(({job}) => job);
	}
}
