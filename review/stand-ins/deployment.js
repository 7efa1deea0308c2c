/** A small deployment: store, list of machines, runners, and the entry hosts as processes of their own, started as the deploy file says. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Cloud} from './cloud.js';
import {
	call, loopback, sleep, takeAddress,
} from './network.js';
import {Runner} from './runner.js';
import {Store} from './store.js';

const repository = fileURLToPath(new URL('../..', import.meta.url));
const zones = ['zone-a', 'zone-b', 'zone-c'];
const readyTimeoutMs = 20_000;
const clientTimeoutMs = 3000;
/** The platform starts a process that has ended again after a short delay. */
const restartMs = 500;
const statusOk = 200;
const exitCouldNotRun = 2;

/** The settings of the page DEPLOY.md; what differs from host to host is filled in. */
const settingsTemplate = fileURLToPath(new URL('settings.json', import.meta.url));

/** The command of the role in the deploy file. */
function readCommand() {
	const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/m.exec(text).groups.command.split(' ');
}

export class Deployment {
	/** `services`: name to a list of the runners' labels; `cpu`: the capacity of each runner; `restarts`: a process that ends by itself is started again. */
	static async start({record, hosts, services, routes, cpu, observer, restarts = false}) {
		const deployment = new Deployment(record);
		deployment.restarts = restarts;
		const storeAddress = await takeAddress();
		deployment.store = await Store.start(storeAddress, record);
		deployment.store.put('keyed.op', 'config', {
			version: 3, routes, services: Object.keys(services).map(name => ({
				name, 'health-path': '/health', 'max-conns': 64, 'admission-check': true,
			})), limits: {},
		});
		await deployment.startRunners(services, cpu, observer);
		const cloudAddress = await takeAddress();
		deployment.cloud = await Cloud.start(cloudAddress, deployment.runners);
		for (let index = 0; index < hosts; index++) {
			// eslint-disable-next-line no-await-in-loop
			await deployment.addHost(index, storeAddress, cloudAddress);
		}

		await Promise.all(deployment.hosts.map(async host => deployment.waitUntilReady(host)));
		return deployment;
	}

	runners = [];
	hosts = [];
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	constructor(record) {
		this.record = record;
		// Processes of the case never outlive its script, also if it is ended itself.
		process.once('exit', () => {
			for (const {child} of this.hosts) {
				child?.kill('SIGKILL');
			}
		});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				process.exit(exitCouldNotRun);
			});
		}
	}

	async startRunners(services, cpu, observer) {
		for (const [service, labelSets] of Object.entries(services)) {
			for (const [index, labels] of labelSets.entries()) {
				const number = this.runners.length;
				// eslint-disable-next-line no-await-in-loop
				const address = await takeAddress();
				// eslint-disable-next-line no-await-in-loop
				const runner = await Runner.start({
					id: `i-${service}-${index}`, machine: `m-${number}`, address, service, zone: zones[number % zones.length], labels, cpu, memoryMb: 262_144, store: this.store, record: this.record, observer,
				});
				this.runners.push(runner);
			}
		}
	}

	async addHost(index, storeAddress, cloudAddress) {
		const [front, ready, metrics] = [await takeAddress(), await takeAddress(), await takeAddress()];
		const metricsPort = Number(metrics.split(':')[1]);
		const zone = zones[index % zones.length];
		const settings = JSON.parse(readFileSync(settingsTemplate, 'utf8'));
		Object.assign(settings, {
			'node-name': `front-${zone}-${index}`, ip: loopback, zone, listen: {front, ready}, 'internal-ports': [metricsPort, metricsPort + 1],
		});
		settings.platform.address = storeAddress;
		settings.cloud.address = cloudAddress;
		const settingsPath = path.join(this.folder, `${settings['node-name']}.json`);
		writeFileSync(settingsPath, JSON.stringify(settings));
		const host = {
			name: settings['node-name'], index, front, ready, metrics, settingsPath, child: undefined, output: '',
		};
		this.hosts.push(host);
		this.startProcess(host);
	}

	/** Starts the process of a host, with no variables from the caller except those of the page. */
	startProcess(host) {
		const [program, ...flags] = readCommand();
		const {PATH, HOME, LANG} = process.env;
		host.child = spawn(program === 'node' ? process.execPath : program, flags, {
			cwd: repository, env: {
				PATH, ...(HOME && {HOME}), ...(LANG && {LANG}), RHUBARBLEVER_SETTINGS: host.settingsPath,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [host.child.stdout, host.child.stderr]) {
			stream.on('data', chunk => {
				host.output += String(chunk);
			});
		}

		const {child} = host;
		child.once('exit', (code, signal) => {
			if (!host.isEnding) {
				host.ownEnds = (host.ownEnds ?? 0) + 1;
				this.scheduleRestart(host);
			}

			this.record.note(`host ${host.name}: its process ended, ${signal ?? `code ${code}`}${host.isEnding ? '' : ', by itself'}`);
		});
	}

	scheduleRestart(host) {
		if (this.restarts) {
			setTimeout(() => {
				if (!host.isEnding) {
					this.startProcess(host);
				}
			}, restartMs);
		}
	}

	async isReady(host) {
		const {status} = await call({
			address: host.ready, method: 'GET', path: '/v1/ready', timeoutMs: 1000,
		});
		return status === statusOk;
	}

	async waitUntilReady(host) {
		const until = performance.now() + readyTimeoutMs;
		// eslint-disable-next-line no-await-in-loop
		while (!await this.isReady(host)) {
			if (performance.now() > until) {
				throw new Error(`${host.name} is not ready: ${host.output.slice(-2000)}`);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(100);
		}
	}

	/** A client's call. */
	async call(host, method, route, id, body) {
		const answer = await call({
			address: host.front, method, path: `${route['path-prefix']}${id}`, headers: {host: route.host, 'deadline-ms': String(clientTimeoutMs)}, body, timeoutMs: clientTimeoutMs,
		});
		this.record.note(`client: ${method} ${id} at ${host.name} -> ${answer.status} ${answer.body.slice(0, 120)}`);
		return answer;
	}

	/** The host whose metrics say that it leads. */
	async findLeader() {
		for (const host of this.hosts) {
			// eslint-disable-next-line no-await-in-loop
			const {body} = await call({
				address: host.metrics, method: 'GET', path: '/metrics', timeoutMs: 1000,
			});
			if (/^rhubarblever_leads 1$/m.test(body)) {
				return host;
			}
		}

		return undefined;
	}

	/** Ends all processes, and keeps what they wrote if a folder is given. */
	async close(logFolder) {
		for (const host of this.hosts) {
			host.isEnding = true;
			if (host.child.exitCode === null && host.child.signalCode === null) {
				host.child.kill('SIGCONT');
				host.child.kill('SIGKILL');
				// eslint-disable-next-line no-await-in-loop
				await once(host.child, 'exit');
			}
		}

		if (logFolder) {
			mkdirSync(logFolder, {recursive: true});
			for (const host of this.hosts) {
				writeFileSync(path.join(logFolder, `${host.name}.log`), host.output);
			}
		}

		for (const runner of this.runners) {
			runner.close();
		}

		this.cloud?.close();
		this.store.close();
		rmSync(this.folder, {recursive: true});
	}
}
