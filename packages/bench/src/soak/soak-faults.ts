/** The faults of the soak. Each is started and ended from outside the programs. */
import type {SeededRandom} from '../mixed-run/seeded-random.js';
import type {SoakFleet, SoakHost} from './soak-fleet.js';

type EndFault = () => Promise<void> | void;

type FaultHandler = (fleet: SoakFleet, draws: SeededRandom) => Promise<EndFault>;

const longestDelayMs = 400;
const storeDelayMs = 150;
const oldestReadMs = 1700;
const lostPercent = 20;
const latePercent = 6;
const allPercent = 100;

/** For faults that leave nothing to undo at their end. */
function skipEnd(): void {
	// Nothing lasts until the end of the fault.
}

/** Counts the host as under a fault until the fault ends. */
async function applyToHost(host: SoakHost, begin: () => Promise<EndFault> | EndFault): Promise<EndFault> {
	host.faults++;
	const end = await begin();
	return async () => {
		await end();
		host.faults--;
		host.calmSince = performance.now();
	};
}

async function applyToAll(fleet: SoakFleet, begin: () => EndFault): Promise<EndFault> {
	const ends = await Promise.all(fleet.hosts.map(async host => applyToHost(host, () => skipEnd)));
	const end = begin();
	return async () => {
		await end();
		await Promise.all(ends.map(async endOne => endOne()));
	};
}

async function restartHost(fleet: SoakFleet, host: SoakHost, signal: 'SIGTERM' | 'SIGKILL'): Promise<EndFault> {
	return applyToHost(host, async () => {
		if (host.isEnding) {
			return skipEnd;
		}

		await fleet.endHost(host, signal);
		return () => {
			fleet.startHost(host);
		};
	});
}

async function applyToWorkerLink(fleet: SoakFleet, draws: SeededRandom, begin: (link: SoakFleet['workerLinks'][number]) => Promise<void> | void): Promise<EndFault> {
	const link = draws.select(fleet.workerLinks);
	await begin(link);
	return async () => link.heal();
}

/** The kinds of faults by name. */
export const soakFaults: Readonly<Record<string, FaultHandler>> = {
	'host-killed': async (fleet, draws) => restartHost(fleet, draws.select(fleet.hosts), 'SIGKILL'),
	'host-stopped': async (fleet, draws) => restartHost(fleet, draws.select(fleet.hosts), 'SIGTERM'),
	async 'leader-killed'(fleet, draws) {
		return restartHost(fleet, await fleet.findLeader() ?? draws.select(fleet.hosts), 'SIGKILL');
	},
	async 'leader-paused'(fleet, draws) {
		const host = await fleet.findLeader() ?? draws.select(fleet.hosts);
		return applyToHost(host, () => {
			const paused = host.process;
			paused.sendSignal('SIGSTOP');
			return () => {
				paused.sendSignal('SIGCONT');
			};
		});
	},
	async 'settings-signalled'(fleet, draws) {
		const {process} = draws.select(fleet.hosts);
		// Before Node.js itself is up, SIGHUP ends the process, whatever the program does.
		if (process.output !== '') {
			process.sendSignal('SIGHUP');
		}

		return skipEnd;
	},
	async 'store-link-reset'(fleet, draws) {
		const host = draws.select(fleet.hosts);
		return applyToHost(host, async () => {
			await host.storeLink.cut();
			return async () => host.storeLink.heal();
		});
	},
	async 'store-link-silent'(fleet, draws) {
		const host = await fleet.findLeader() ?? draws.select(fleet.hosts);
		return applyToHost(host, () => {
			host.storeLink.freeze({scope: draws.select(['all', 'open'])});
			return async () => host.storeLink.heal();
		});
	},
	async 'store-link-one-way'(fleet, draws) {
		const host = draws.select(fleet.hosts);
		return applyToHost(host, () => {
			host.storeLink.freeze({directions: [draws.select(['to-target', 'to-client'])]});
			return async () => host.storeLink.heal();
		});
	},
	async 'store-link-delayed'(fleet, draws) {
		const host = draws.select(fleet.hosts);
		return applyToHost(host, () => {
			host.storeLink.delay({'to-target': draws.drawInteger(0, longestDelayMs), 'to-client': draws.drawInteger(0, longestDelayMs)});
			return async () => host.storeLink.heal();
		});
	},
	'store-down': async fleet => applyToAll(fleet, () => {
		fleet.platform.isDown = true;
		return () => {
			fleet.platform.isDown = false;
		};
	}),
	'store-slow': async fleet => applyToAll(fleet, () => {
		fleet.platform.delayMs = storeDelayMs;
		return () => {
			fleet.platform.delayMs = 0;
		};
	}),
	'store-answers-lost': async (fleet, draws) => applyToAll(fleet, () => {
		Object.assign(fleet.platform.faults, {lostPercent, latePercent: draws.select([0, latePercent]), draw: () => draws.drawInteger(1, allPercent)});
		return () => {
			Object.assign(fleet.platform.faults, {lostPercent: 0, latePercent: 0});
		};
	}),
	// Neither of the next two counts as a fault of a host: reads share the store's bandwidth, so any read may be slow, and a host whose reads are answered must keep its guarantees.
	async 'store-reads-old'(fleet, draws) {
		const ages = {beforeMs: draws.drawInteger(0, longestDelayMs), afterMs: draws.drawInteger(longestDelayMs, oldestReadMs)};
		return fleet.readFaults.delayReads(draws.select(fleet.hosts).storeAddress, ages);
	},
	async 'history-dropped'(fleet) {
		fleet.readFaults.dropHistories();
		return skipEnd;
	},
	async 'worker-crashed'(fleet, draws) {
		const worker = draws.select(fleet.platform.workers);
		if (!worker.isUp) {
			return skipEnd;
		}

		worker.crash();
		return () => {
			worker.restart();
		};
	},
	async 'worker-answers-lost'(fleet, draws) {
		const {faults} = draws.select(fleet.platform.workers);
		Object.assign(faults, {lostPercent, latePercent: draws.select([0, latePercent]), draw: () => draws.drawInteger(1, allPercent)});
		return () => {
			Object.assign(faults, {lostPercent: 0, latePercent: 0});
		};
	},
	'worker-link-reset': async (fleet, draws) => applyToWorkerLink(fleet, draws, async link => link.cut()),
	'worker-link-silent': async (fleet, draws) => applyToWorkerLink(fleet, draws, link => {
		link.freeze({scope: draws.select(['all', 'open'])});
	}),
	'worker-link-one-way': async (fleet, draws) => applyToWorkerLink(fleet, draws, link => {
		link.freeze({directions: [draws.select(['to-target', 'to-client'])]});
	}),
	'worker-link-delayed': async (fleet, draws) => applyToWorkerLink(fleet, draws, link => {
		link.delay({'to-target': draws.drawInteger(0, longestDelayMs), 'to-client': draws.drawInteger(0, longestDelayMs)});
	}),
};
