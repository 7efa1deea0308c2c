/** The demo's step with a maintenance wave. */
import {waitUntil, type PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import {
	createWaveRecord, guardedPool, minimumAfterChange, workers,
} from './demo-fleet.js';
import type {Demo} from './demo.js';
import {verify, type Step} from './step.js';

const waveTimeoutMs = 40_000;
const taskRunMs = 1500;
const leaseMs = 60_000;

export const waveStep: Step = {
	title: `A maintenance wave drains and reboots all ${workers.length} hosts of pool ${guardedPool}, within its budget`,
	async run(demo) {
		await Promise.all(workers.map(async worker => startTask(demo, worker.hostId)));
		const startedAt = Date.now();
		await demo.publish([createWaveRecord(startedAt + waveTimeoutMs)]);
		await waitUntil('all hosts are rebooted and take work again', async () => {
			const entries = await demo.fleet.readPlatformLedger();
			return workers.every(worker => entries.findLast(entry => entry.hostId === worker.hostId)?.event === 'undrained'
				&& entries.some(entry => entry.hostId === worker.hostId && entry.event === 'rebooted'));
		}, waveTimeoutMs);
		const entries = await demo.fleet.readPlatformLedger();
		const fewest = countFewestHealthy(entries);
		verify(fewest >= minimumAfterChange, `only ${fewest} hosts were healthy at one time`);
		verify(entries.every(entry => entry.event !== 'task-cut'), 'a reboot cut a running task');
		return `all ${workers.length} rebooted in ${((Date.now() - startedAt) / 1000).toFixed(1)} s; never fewer than ${fewest} were healthy, and no running task was cut`;
	},
};

/** Starts a task that runs on a worker when the wave begins. */
async function startTask(demo: Demo, hostId: string): Promise<void> {
	await demo.fleet.callPlatform('POST', `/v1/workers/${hostId}/tasks`, {
		taskId: `roster-${hostId}`, attempt: 1, leaseUntil: Date.now() + leaseMs, cores: 8, memoryBytes: 1024 ** 3, runMs: taskRunMs,
	});
}

/** The fewest hosts that accepted work at one time, by the platform's own ledger. */
function countFewestHealthy(entries: readonly PlatformLedgerEntry[]): number {
	const out = new Set<string>();
	let fewest = workers.length;
	for (const {event, hostId} of entries) {
		if (event === 'drain-started') {
			out.add(hostId);
		} else if (event === 'undrained' || event === 'drain-failed') {
			out.delete(hostId);
		}

		fewest = Math.min(fewest, workers.length - out.size);
	}

	return fewest;
}
