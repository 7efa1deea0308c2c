#!/usr/bin/env node
/** Measures the cost of idle entry hosts by their number: `node packages/bench/dist/capacity/entry-hosts.js`. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	createServiceRecord, LocalFleet, sleep,
} from '@rhubarblever/stand-ins';
import {readCpuMs} from '../routing/process-times.js';
import {computeFit, type Point} from './fit.js';

const hostsPerZone = [1, 2, 3, 4];
const availabilityZones = ['zone-1', 'zone-2', 'zone-3'];
const services = ['service-1', 'service-2', 'service-3', 'service-4', 'service-5'];
const settleMs = 4000;
const measuredMs = 6000;
const residentPattern = /VmRSS:\s+(\d+) kB/;

/** The cost of one idle entry host in a fleet of `hosts` entry hosts. */
type IdleCost = {readonly hosts: number; readonly cpuMsPerSecond: number; readonly bytesPerSecond: number; readonly residentBytes: number};

async function measureIdle(entryHostsPerZone: number): Promise<IdleCost> {
	const fleet = await LocalFleet.create({
		availabilityZones, entryHostsPerZone, targetsPerZone: 0, targetsPerService: 7, services, targetsPerProcess: 35, isPeerTrafficCounted: true,
	});
	try {
		await fleet.publish(services.map(service => (createServiceRecord(service, {recordId: `record-${service}`, pool: 'pool-1'}))));
		await sleep(settleMs);
		return await measureFleet(fleet);
	} finally {
		await fleet.stop();
	}
}

async function measureFleet(fleet: LocalFleet): Promise<IdleCost> {
	const hosts = fleet.entryHosts.length;
	const processIds = fleet.entryHosts.map(host => host.running.child.pid ?? 0);
	const cpuBefore = await sumCpu(processIds);
	const bytesBefore = fleet.peerBytes;
	await sleep(measuredMs);
	const seconds = measuredMs / 1000;
	return {
		hosts,
		cpuMsPerSecond: (await sumCpu(processIds) - cpuBefore) / hosts / seconds,
		bytesPerSecond: (fleet.peerBytes - bytesBefore) / hosts / seconds,
		residentBytes: Math.max(...processIds.map(processId => readResidentBytes(processId))),
	};
}

async function sumCpu(processIds: readonly number[]): Promise<number> {
	const times = await Promise.all(processIds.map(async processId => readCpuMs(processId)));
	return times.reduce((sum, time) => sum + time, 0);
}

function readResidentBytes(processId: number): number {
	const match = residentPattern.exec(readFileSync(`/proc/${processId}/status`, 'utf8'));
	return Number(match?.[1] ?? 0) * 1024;
}

function writeFit(name: string, points: readonly Point[]): void {
	const {base, slope, spread} = computeFit(points);
	const shown = points.map(point => `${point.size}: ${point.cost.toFixed(0)}`).join(', ');
	process.stdout.write(`${name} by entry hosts: slope ${slope.toFixed(2)}, base ${base.toFixed(0)}, spread ${(spread * 100).toFixed(0)}% [${shown}]\n`);
}

const costs: IdleCost[] = [];
for (const count of hostsPerZone) {
	// eslint-disable-next-line no-await-in-loop
	costs.push(await measureIdle(count));
}

writeFit('idle processor time of a host (ms/s)', costs.map(cost => ({size: cost.hosts, cost: cost.cpuMsPerSecond})));
writeFit('bytes between entry hosts, sent and received counted once, per host (bytes/s)', costs.map(cost => ({size: cost.hosts, cost: cost.bytesPerSecond})));
writeFit('largest resident memory (bytes)', costs.map(cost => ({size: cost.hosts, cost: cost.residentBytes})));
