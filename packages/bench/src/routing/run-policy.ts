/** Runs one routing policy under one seeded load with real processes, and measures it. */
import {randomUUID} from 'node:crypto';
import {loadavg} from 'node:os';
import {
	LocalFleet, planLoad, runLoad, sleep, describeLoadRun, waitUntil, type LoadSummary, type PlannedRequest,
} from '@rhubarblever/stand-ins';
import {LatencyProbe, listAddedMs} from '../latency/latency-probe.js';
import {
	availabilityZones, benchRecords, createLoadShape, entryHostsPerZone, runnersPerService, services, slotsPerService, type BenchTimes,
} from './bench-shape.js';
import {measureIdleSlots} from './idle-slots.js';
import {scheduleIdeally} from './ideal-schedule.js';
import {readCpuMs} from './process-times.js';

const warmUpTimeoutMs = 30_000;
const idleMs = 2000;
const probeCount = 100;

export type RunOptions = {
	readonly policy: string;
	readonly seed: number;
	readonly times: BenchTimes;
	readonly whenFull: string;
};

export type PolicyRun = {
	readonly policy: string;
	readonly seed: number;
	readonly load: LoadSummary;
	/** Requests that the ideal schedule answers in time. */
	readonly idealGood: number;
	/** The same within the services' own bursts, and the requests that this run answered in time there. */
	readonly idealGoodInBursts: number;
	readonly goodInBursts: number;
	/** Requests that reached a runner whose slots were all in use, and connections beyond its limit. */
	readonly overfilledSlots: number;
	readonly overfilledConnections: number;
	/** The most requests that ran or waited on one runner at once. */
	readonly peakRequests: number;
	/** Starts beyond the first of a request id, on any runners: those of idempotent requests are retries, others must not be. */
	readonly repeatedStarts: number;
	readonly repeatedNonIdempotentStarts: number;
	/** Load average of the machine over the last minute, at the end of the load. */
	readonly loadAverage: number;
	/** CPU time of an entry host before the load, in milliseconds per second. */
	readonly idleCpuMsPerHostSecond: number;
	/** CPU time of all entry hosts under the load. */
	readonly cpuMsPerThousandRequests: number;
	/** Bytes between entry hosts, per host and second. */
	readonly controlBytesPerHostSecond: number;
	/** Slot-seconds that were idle while requests of the service waited, and all slot-seconds of the run. */
	readonly idleSlotSeconds: number;
	readonly slotSeconds: number;
	/** Median latency that an entry host adds to a direct call, without and with a claim, in milliseconds; measured before the load. */
	readonly addedP50Ms: number;
	readonly addedP50WithClaimMs: number;
	/** Load average of the machine when that latency was measured. */
	readonly calmLoadAverage: number;
};

/** Starts a fleet, runs the load and stops the fleet. */
export async function runPolicy(options: RunOptions): Promise<PolicyRun> {
	const fleet = await LocalFleet.create({
		availabilityZones,
		entryHostsPerZone,
		services,
		targetsPerZone: 0,
		targetsPerService: runnersPerService,
		targetsPerProcess: runnersPerService,
		targetFlags: ['--when-full', options.whenFull],
		isPeerTrafficCounted: true,
		environment: {
			RHUBARBLEVER_ROUTING_POLICY: options.policy, RHUBARBLEVER_SEED: String(options.seed), RHUBARBLEVER_LOG_LEVEL: 'error', RHUBARBLEVER_INVARIANTS: 'count',
		},
	});
	try {
		await fleet.publish(benchRecords);
		await runWarmUp(fleet);
		return await measureRun(fleet, options);
	} finally {
		await fleet.stop();
	}
}

/** Waits until each entry host answers requests of each service. */
async function runWarmUp(fleet: LocalFleet): Promise<void> {
	await Promise.all(fleet.entryHosts.flatMap(host => services.map(async service => {
		await waitUntil(`${host.hostId} answers ${service}`, async () => {
			const response = await fetch(`http://${host.address}/v1/services/${service}`, {
				method: 'POST', body: '{"runMs":1}', headers: {'idempotency-key': `warm-up-${randomUUID()}`},
			});
			await response.text();
			return response.ok;
		}, warmUpTimeoutMs);
	})));
}

async function measureRun(fleet: LocalFleet, {policy, seed, times}: RunOptions): Promise<PolicyRun> {
	const planned = planLoad(createLoadShape(seed, times));
	const addresses = fleet.entryHosts.map(host => host.address);
	const calmLoadAverage = loadavg()[0] ?? 0;
	const [, addedP50Ms = 0, addedP50WithClaimMs = 0] = await measureAdded(fleet);
	const idleCpuMs = await measureIdleCpu(fleet);
	const cpuBefore = await sumCpuMs(fleet);
	const bytesBefore = fleet.peerBytes;
	const startedAt = Date.now();
	const outcomes = await runLoad({planned, listEntryHosts: () => addresses});
	const elapsedSeconds = (Date.now() - startedAt) / 1000;
	const cpuMs = await sumCpuMs(fleet) - cpuBefore;
	const controlBytes = fleet.peerBytes - bytesBefore;
	const ledgers = await fleet.readLedgers();
	const ideal = scheduleIdeally(planned, slotsPerService);
	const inBursts = (request: PlannedRequest) => request.phase === 'own-burst';
	const startedIds = ledgers.flatMap(ledger => ledger.entries.map(entry => entry.requestId));
	const nonIdempotent = new Set(planned.filter(request => !request.isIdempotent).map(request => request.requestId));
	return {
		policy,
		seed,
		load: describeLoadRun(outcomes),
		idealGood: ideal.size,
		idealGoodInBursts: planned.filter(request => inBursts(request) && ideal.has(request.requestId)).length,
		goodInBursts: outcomes.filter(outcome => inBursts(outcome.planned) && outcome.result === 'good').length,
		overfilledSlots: ledgers.reduce((sum, ledger) => sum + ledger.overfilledSlots, 0),
		overfilledConnections: ledgers.reduce((sum, ledger) => sum + ledger.overfilledConnections, 0),
		peakRequests: Math.max(...ledgers.map(ledger => ledger.peakRequests)),
		repeatedStarts: countRepeats(startedIds),
		repeatedNonIdempotentStarts: countRepeats(startedIds.filter(id => nonIdempotent.has(id))),
		loadAverage: loadavg()[0] ?? 0,
		idleCpuMsPerHostSecond: idleCpuMs * 1000 / idleMs / fleet.entryHosts.length,
		cpuMsPerThousandRequests: cpuMs * 1000 / planned.length,
		controlBytesPerHostSecond: controlBytes / fleet.entryHosts.length / elapsedSeconds,
		idleSlotSeconds: measureIdleSlots(outcomes, ledgers, startedAt),
		slotSeconds: services.length * slotsPerService * elapsedSeconds,
		addedP50Ms,
		addedP50WithClaimMs,
		calmLoadAverage,
	};
}

/** Measures the median latency that each call variant of the probe adds when there is no other load. */
async function measureAdded(fleet: LocalFleet): Promise<number[]> {
	const probe = LatencyProbe.create({
		fleet, service: services[0] ?? '', runMs: 1, pauseMs: 0,
	});
	const measured = await probe.measure(probeCount);
	await probe.close();
	return listAddedMs(measured, 50);
}

/** Measures the CPU time of all entry hosts while they get no requests. */
async function measureIdleCpu(fleet: LocalFleet): Promise<number> {
	const before = await sumCpuMs(fleet);
	await sleep(idleMs);
	return await sumCpuMs(fleet) - before;
}

function countRepeats(ids: readonly string[]): number {
	return ids.length - new Set(ids).size;
}

async function sumCpuMs(fleet: LocalFleet): Promise<number> {
	const times = await Promise.all(fleet.entryHosts.map(async host => readCpuMs(host.running.child.pid ?? 0)));
	return times.reduce((sum, time) => sum + time, 0);
}
