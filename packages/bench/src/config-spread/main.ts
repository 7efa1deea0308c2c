#!/usr/bin/env node
/** Measures how long a change takes from acceptance until it is in force on nine entry hosts, and its cost: `main.js [--changes 100]`. */
import process from 'node:process';
import {
	LocalFleet, platformId, sleep, type LocalEntryHost,
} from '@rhubarblever/stand-ins';
import {build, type Histogram} from 'hdr-histogram-js';
import sade from 'sade';

const pollMs = 5;
const timeoutMs = 30_000;

type PublishAnswer = {readonly published: ReadonlyArray<{readonly offset: number}>};
type LogPage = {readonly records: ReadonlyArray<{readonly at: number}>; readonly nextOffset: number};

/** The results of one run, in milliseconds or per second and entry host. */
type SpreadReport = {
	readonly changes: number;
	readonly entryHosts: number;
	readonly seconds: number;
	readonly acceptMs: Percentiles;
	readonly inForceMs: Percentiles;
	readonly appendsPerSecondAndHost: number;
	readonly peerBytesPerSecondAndHost: number;
	readonly platformBytesPerSecondAndHost: number;
};
type Percentiles = {readonly p50: number; readonly p99: number; readonly max: number};

sade('config-spread', true)
	.option('--changes', 'How many changes to publish, one after another', 100)
	.action(async (flags: {changes: number}) => {
		const fleet = await LocalFleet.create({
			availabilityZones: ['zone-a', 'zone-b', 'zone-c'], entryHostsPerZone: 3, targetsPerZone: 0, services: [], isProxied: true,
		});
		try {
			const report = await measureSpread(fleet, Number(flags.changes));
			process.stdout.write(`${JSON.stringify(report, undefined, '\t')}\n`);
		} finally {
			await fleet.stop();
		}
	})
	.parse(process.argv);

async function measureSpread(fleet: LocalFleet, changes: number): Promise<SpreadReport> {
	const accept = build();
	const inForce = build();
	const startedAt = Date.now();
	const bytesBefore = sumBytes(fleet);
	for (let index = 0; index < changes; index++) {
		// eslint-disable-next-line no-await-in-loop
		await measureChange(fleet, index, accept, inForce);
	}

	const seconds = (Date.now() - startedAt) / 1000;
	const bytesAfter = sumBytes(fleet);
	const entryHosts = fleet.entryHosts.length;
	return {
		changes,
		entryHosts,
		seconds,
		acceptMs: describeHistogram(accept),
		inForceMs: describeHistogram(inForce),
		appendsPerSecondAndHost: await countAppends(fleet) / seconds / entryHosts,
		peerBytesPerSecondAndHost: (bytesAfter.peers - bytesBefore.peers) / seconds / entryHosts,
		platformBytesPerSecondAndHost: (bytesAfter.platform - bytesBefore.platform) / seconds / entryHosts,
	};
}

async function measureChange(fleet: LocalFleet, index: number, accept: Histogram, inForce: Histogram): Promise<void> {
	const host = fleet.entryHosts[index % fleet.entryHosts.length];
	const sentAt = Date.now();
	const {published} = await fleet.publish([{
		recordId: `change-${index}`, schema: 'pool', version: 1, body: {pool: `pool-${index % 10}`, minimumHealthyHosts: index},
	}], host) as PublishAnswer;
	const acceptedAt = Date.now();
	accept.recordValue(acceptedAt - sentAt);
	const offset = published[0]?.offset ?? 0;
	await Promise.all(fleet.entryHosts.map(async entryHost => waitForOffset(fleet, entryHost, offset)));
	inForce.recordValue(Date.now() - acceptedAt);
}

async function waitForOffset(fleet: LocalFleet, host: LocalEntryHost, offset: number): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	while (Date.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		const {nextOffset} = await fleet.fetchFleet(host) as {nextOffset: number};
		if (nextOffset > offset) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollMs);
	}

	throw new Error(`offset ${offset} was not in force on ${host.hostId} after ${timeoutMs} ms`);
}

/** Counts the appends to both streams; records of one append have the same timestamp from the platform. */
async function countAppends(fleet: LocalFleet): Promise<number> {
	const pages = await Promise.all(['fleet', 'snapshots'].map(async stream =>
		await fleet.callPlatform('GET', `/v1/streams/${stream}/records?from=0&limit=1000`) as LogPage));
	return pages.reduce((sum, page) => sum + new Set(page.records.map(record => record.at)).size, 0);
}

function sumBytes(fleet: LocalFleet): {readonly peers: number; readonly platform: number} {
	const sum = (isPlatform: boolean) => fleet.links.list(link => (link.to === platformId) === isPlatform)
		.reduce((total, link) => total + link.proxy.forwardedBytes, 0);
	return {peers: sum(false), platform: sum(true)};
}

function describeHistogram(histogram: Histogram): Percentiles {
	return {p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), max: histogram.maxValue};
}
