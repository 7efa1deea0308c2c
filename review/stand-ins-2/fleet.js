/** A small deployment on loopback addresses: the entry hosts with the command of the deploy file, and stand-ins of the platform and the runners. */
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {callHttp, isTrueWithin, sleep} from './http.js';
import {Machines} from './machines.js';
import {Proxy} from './proxy.js';
import {Store} from './store.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const runnerProgram = fileURLToPath(new URL('runner.js', import.meta.url));
const heartbeatMs = 1500;
/** A runner's entry is removed after so many intervals of silence. */
const silentIntervals = 3;
const startTimeoutMs = 20_000;
const callTimeoutMs = 3000;
const clientRetryMs = 500;
const clientRetries = 4;
const exitBroken = 1;
const exitHeld = 0;
const exitCouldNotRun = 2;

/** The figures of the example in DEPLOY.md. */
const figures = JSON.parse(readFileSync(new URL('settings.json', import.meta.url), 'utf8'));
export const {bounds} = figures;

/** False for a run without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

async function findFreePort(ip) {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, ip, () => {
			const {port} = server.address();
			server.close(() => {
				resolve(port);
			});
		});
	});
}

function readEntryCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/m.exec(text).groups.command.split(' ');
}

export class Fleet {
	/**
	 * `runners`: rows of `{service, rack, count, kind}`. `services`: names, the spare one with `isSpare`. `route`: the queue of
	 * the case's jobs, unless they name one of `otherRoutes`. `answerMs`: how long a runner takes to answer a call.
	 */
	static async start({folder, hosts = 3, services, runners, route, otherRoutes = [], answerMs = 2}) {
		const fleet = new Fleet(folder, {route, otherRoutes, answerMs});
		try {
			await fleet.startAll({hosts, services, runners});
		} catch (error) {
			await fleet.stop();
			throw error;
		}

		return fleet;
	}

	hosts = [];
	runners = new Map();
	/** The link of each runner, by the runner's id. */
	proxies = new Map();
	machines = undefined;
	store = undefined;
	isStopping = false;
	/** Called with each event of a runner. */
	handleRunnerEvent = () => {};
	/** All events of the runners: `{runner, event, at, ...}`. */
	runnerEvents = [];

	constructor(folder, {route, otherRoutes, answerMs}) {
		this.recordPath = path.join(folder, 'record.txt');
		this.temporary = mkdtempSync(path.join(tmpdir(), 'rhubarblever-review-'));
		this.route = route;
		this.otherRoutes = otherRoutes;
		this.answerMs = answerMs;
		this.origin = performance.now();
		// Addresses of this process alone.
		this.network = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 256}`;
		this.nextIp = 1;
		writeFileSync(this.recordPath, '');
		process.once('exit', () => {
			this.killAll();
			rmSync(this.temporary, {recursive: true, force: true});
		});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				process.exit(exitCouldNotRun);
			});
		}
	}

	/** Writes a line to the record: what was sent, answered and run. */
	note(entry) {
		const seconds = ((performance.now() - this.origin) / 1000).toFixed(3);
		appendFileSync(this.recordPath, `${seconds.padStart(8)} ${typeof entry === 'string' ? entry : JSON.stringify(entry)}\n`);
	}

	async takeAddress() {
		const ip = `${this.network}.${this.nextIp++}`;
		return `${ip}:${await findFreePort(ip)}`;
	}

	async startAll({hosts, services, runners}) {
		const storeAddress = await this.takeAddress();
		const machinesAddress = await this.takeAddress();
		this.store = await Store.start(storeAddress);
		this.machines = await Machines.start(machinesAddress, {
			runners: {
				endLife: machine => {
					this.crashRunner(machine.runner);
				},
				startLife: machine => {
					const isOff = services.find(({name}) => name === machine.pool).isSpare ?? false;
					this.restartRunner(machine.runner, {service: machine.pool, isOff});
				},
			},
			upkeepMs: bounds['upkeep-s'] * 1000,
			moveMs: bounds['move-s'] * 1000,
			note: entry => {
				this.note(entry);
			},
		});
		this.publishConfig(services);
		await this.addRunners(runners, services);
		this.registryTimer = setInterval(() => {
			this.publishRunners();
		}, heartbeatMs);
		for (let index = 0; index < hosts; index++) {
			// eslint-disable-next-line no-await-in-loop
			await this.addHost(index, storeAddress, machinesAddress);
		}

		const areReady = await isTrueWithin(startTimeoutMs, async () => {
			const answers = await Promise.all(this.hosts.map(async ({ready}) => callHttp({
				address: ready, method: 'GET', path: '/v1/ready', timeoutMs: 1000,
			})));
			return answers.every(({status}) => status === 200) && await this.findLeader() !== undefined;
		});
		if (!areReady) {
			throw new Error('the entry hosts did not become ready');
		}
	}

	publishConfig(services) {
		this.store.put('keyed.op', 'config', {
			version: 1,
			routes: [this.route, ...this.otherRoutes],
			services: services.map(({name, isSpare = false}) => ({
				name, 'health-path': '/health', 'max-conns': 64, protocol: 'h1', tls: false, 'admission-check': true, spare: isSpare,
			})),
			limits: {
				'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 5000, 'idle-timeout-ms': 60_000,
			},
		});
	}

	async addRunners(rows, services) {
		let index = 0;
		for (const {service, rack, count, kind = 'a'} of rows) {
			for (let i = 0; i < count; i++) {
				const number = String(index++).padStart(2, '0');
				const zone = ['zone-a', 'zone-b', 'zone-c'][index % 3];
				// eslint-disable-next-line no-await-in-loop
				const [address, ownAddress] = [await this.takeAddress(), await this.takeAddress()];
				// eslint-disable-next-line no-await-in-loop
				const proxy = await Proxy.start(address, ownAddress);
				const runner = {
					id: `i-runner-${number}`, machine: `m-${number}`, address, ownAddress, service, zone, labels: [kind, rack], cpu: 8000, memMb: 32_768, stopMs: bounds['stop-ms'], holdMaxMs: bounds['hold-max-ms'], answerMs: this.answerMs, isOff: services.find(({name}) => name === service).isSpare ?? false,
				};
				this.proxies.set(runner.id, proxy);
				this.machines.add({
					machine: runner.machine, pool: service, zone, labels: runner.labels, capacity: {cpu: runner.cpu, 'mem-mb': runner.memMb, gpu: 0}, runner: runner.id,
				});
				this.runners.set(runner.id, runner);
			}
		}

		await Promise.all([...this.runners.values()].filter(({isOff}) => !isOff).map(async runner => this.startRunner(runner)));
	}

	/** Starts a life of a runner, as a process; resolves once it serves. */
	async startRunner(runner) {
		if (this.isStopping || runner.isOff) {
			this.runners.set(runner.id, {...runner, child: undefined, born: undefined});
			return;
		}

		const {child: _former, ...options} = runner;
		const child = spawn(process.execPath, [runnerProgram, JSON.stringify(options)], {stdio: ['ignore', 'pipe', 'inherit']});
		const life = {
			...runner, child, born: undefined, sequence: 0, lastBeatAt: 0,
		};
		this.runners.set(runner.id, life);
		await new Promise((resolve, reject) => {
			child.once('error', reject);
			child.once('exit', () => {
				resolve();
			});
			createInterface({input: child.stdout}).on('line', line => {
				const event = JSON.parse(line);
				if (event.event === 'up') {
					life.born = event.born;
					setTimeout(() => {
						this.publishRunner(life);
					}, life.firstBeatMs ?? 0);
					resolve();
				}

				this.note({runner: runner.id, ...event});
				this.runnerEvents.push({runner: runner.id, ...event});
				this.handleRunnerEvent({runner: runner.id, ...event});
			});
		});
	}

	/** Starts the next life of a runner, with changes if given. */
	restartRunner(id, changes = {}) {
		this.startRunner({...this.runners.get(id), ...changes}).catch(error => {
			this.note(`${id} did not start: ${error.message}`);
		});
	}

	/** Kills a runner's process: it says nothing any more, and all that it ran is over. */
	crashRunner(id) {
		const runner = this.runners.get(id);
		if (runner?.child) {
			runner.child.kill('SIGKILL');
			runner.born = undefined;
			this.note({runner: id, event: 'killed'});
			this.runnerEvents.push({runner: id, event: 'killed', at: Date.now()});
		}
	}

	/** Cuts a runner off from the entry hosts and the store; it runs on. */
	cutRunner(id) {
		this.proxies.get(id).cut();
		this.note({runner: id, event: 'cut off'});
	}

	healRunner(id) {
		this.proxies.get(id).heal();
		this.note({runner: id, event: 'no longer cut off'});
	}

	publishRunner(runner) {
		if (this.proxies.get(runner.id).isCut) {
			return;
		}

		runner.sequence++;
		runner.lastBeatAt = performance.now();
		this.store.put('keyed.servers', runner.id, {
			service: runner.service,
			address: runner.address,
			zone: runner.zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			'cold-left-ms': 0,
			capacity: {cpu: runner.cpu, 'mem-mb': runner.memMb, gpu: 0},
			labels: runner.labels,
			machine: runner.machine,
			'clock-ms': 0,
			sequence: runner.sequence,
			born: runner.born,
		});
	}

	publishRunners() {
		for (const runner of this.runners.values()) {
			if (runner.born !== undefined && runner.sequence > 0) {
				this.publishRunner(runner);
			} else if (runner.sequence > 0 && performance.now() - runner.lastBeatAt > silentIntervals * heartbeatMs) {
				runner.sequence = 0;
				this.store.put('keyed.servers', runner.id);
			}
		}
	}

	async addHost(index, storeAddress, machinesAddress) {
		const ip = `${this.network}.${this.nextIp++}`;
		const ports = await Promise.all([findFreePort(ip), findFreePort(ip), findFreePort(ip), findFreePort(ip)]);
		const host = {
			name: `front-zone-a-${index}`, front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}`, metrics: `${ip}:${ports[2]}`, settings: path.join(this.temporary, `boot-${index}.json`), child: undefined,
		};
		writeFileSync(host.settings, JSON.stringify({
			'node-name': host.name,
			role: 'entry-host',
			'machine-class': 'front',
			serves: ['front'],
			ip,
			zone: 'zone-a',
			region: 'region',
			zones: {'zone-a': 'region', 'zone-b': 'region', 'zone-c': 'region'},
			listen: {front: host.front, ready: host.ready, control: `${ip}:${ports[3]}`},
			'internal-ports': [ports[2], ports[2] + 15],
			seeds: [],
			bootstrap: true,
			'in-tolerance': false,
			limits: figures.limits,
			'data-dir': null,
			discovery: 'platform',
			entry: 'vip',
			'heartbeat-ms': heartbeatMs,
			contracts: figures.contracts,
			'fault-tolerance': figures['fault-tolerance'],
			bounds,
			orders: 'call',
			platform: {address: storeAddress, ...figures.platform},
			cloud: {address: machinesAddress, ...figures.cloud},
		}));
		this.hosts.push(host);
		this.startHost(host);
	}

	startHost(host) {
		const [command, ...words] = readEntryCommand();
		host.child = spawn(command === 'node' ? process.execPath : command, words, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '', RHUBARBLEVER_SETTINGS: host.settings}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [host.child.stdout, host.child.stderr]) {
			createInterface({input: stream}).on('line', line => {
				if (process.env.LOGS !== undefined) {
					appendFileSync(process.env.LOGS, `${((performance.now() - this.origin) / 1000).toFixed(3)} ${host.name} ${line}\n`);
				}
			});
		}
	}

	/** Kills an entry host's process. */
	killHost(host) {
		host.child.kill('SIGKILL');
		this.note({host: host.name, event: 'killed'});
	}

	/** The entry host whose metrics say that it schedules. */
	async findLeader() {
		for (const host of this.hosts) {
			// eslint-disable-next-line no-await-in-loop
			const {text} = await callHttp({
				address: host.metrics, method: 'GET', path: '/metrics', timeoutMs: 500,
			});
			if (/^rhubarblever_leads 1$/m.test(text)) {
				return host;
			}
		}

		return undefined;
	}

	/** One call of a client; the next call goes to the next host. */
	async call(method, jobId, {body, route = this.route} = {}) {
		this.turn = ((this.turn ?? -1) + 1) % this.hosts.length;
		const host = this.hosts[this.turn];
		const answer = await callHttp({
			address: host.front, method, path: `${route['path-prefix']}${jobId}`, headers: {host: route.host, 'deadline-ms': String(callTimeoutMs)}, body, timeoutMs: callTimeoutMs,
		});
		this.note({
			client: method, jobId, host: host.name, status: answer.status, text: answer.text,
		});
		return answer;
	}

	/** Hands a job in, as a client with retries does; returns whether it was accepted. */
	async submit(jobId, body, route = this.route) {
		this.note({client: 'hands in', jobId, ...(body.steps.length > 1 ? {steps: body.steps.length} : {body})});
		for (let attempt = 0; attempt <= clientRetries; attempt++) {
			// eslint-disable-next-line no-await-in-loop
			const {status} = await this.call('POST', jobId, {body, route});
			if (status >= 200 && status < 300) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(clientRetryMs);
		}

		return false;
	}

	/** The state of a job as a client learns it; undefined without an answer that tells it. */
	async fetchState(jobId) {
		for (let attempt = 0; attempt <= clientRetries; attempt++) {
			// eslint-disable-next-line no-await-in-loop
			const {status, text} = await this.call('GET', jobId);
			if (status === 200) {
				return JSON.parse(text).state;
			}

			if (status === 410) {
				return 'no such job';
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(clientRetryMs);
		}

		return undefined;
	}

	killAll() {
		this.isStopping = true;
		for (const {child} of [...this.hosts, ...this.runners.values()]) {
			child?.kill('SIGKILL');
		}
	}

	async stop() {
		clearInterval(this.registryTimer);
		const children = [...this.hosts, ...this.runners.values()].map(({child}) => child).filter(child => child !== undefined && child.exitCode === null && child.signalCode === null);
		const ends = children.map(async child => new Promise(resolve => {
			child.once('exit', resolve);
		}));
		this.killAll();
		await Promise.all(ends);
		this.store?.close();
		this.machines?.close();
		for (const proxy of this.proxies.values()) {
			proxy.close();
		}
	}
}

/** Runs a case: `run` returns what breaks the rule, or nothing. Ends this process with the exit code of the issue. */
export async function runCase(start, run) {
	let fleet;
	try {
		fleet = await start();
		const broken = await run(fleet);
		fleet.note(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
		process.stdout.write(`${broken === undefined ? 'held' : `BROKEN: ${broken}`}\n`);
		process.exitCode = broken === undefined ? exitHeld : exitBroken;
	} catch (error) {
		fleet?.note(`could not run: ${error.stack}`);
		process.stderr.write(`could not run: ${error.stack}\n`);
		process.exitCode = exitCouldNotRun;
	} finally {
		await fleet?.stop();
	}
}
