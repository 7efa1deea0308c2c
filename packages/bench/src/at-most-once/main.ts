#!/usr/bin/env node
/** Measures the cost of claims with real processes: the latency of first attempts without a claim, with a claim by votes and with a claim appended to the log, and the answers to repeated requests. */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {
	createServiceRecord, LocalFleet, type LocalEntryHost,
} from '@rhubarblever/stand-ins';
import type {Histogram} from 'hdr-histogram-js';
import sade from 'sade';
import {fetch as fetchPlatform} from 'undici';
import {getMs, measureVariants, type CallVariant} from '../latency/measure-variants.js';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const warmUpCount = 50;
const body = JSON.stringify({runMs: 1});

const records = [
	createServiceRecord('replans'),
];

function createVariants(fleet: LocalFleet): CallVariant[] {
	const findHost = (round: number) => fleet.entryHosts[round % fleet.entryHosts.length]!;
	return [
		{name: 'idempotent, no claim', send: async round => sendRequest(findHost(round), randomUUID(), true)},
		{name: 'claim by votes', send: async round => sendRequest(findHost(round), randomUUID(), false)},
		{
			name: 'claim in the log first',
			async send(round) {
				const requestId = randomUUID();
				await appendClaim(fleet, requestId);
				return sendRequest(findHost(round), requestId, true);
			},
		},
	];
}

/** Sends a request; resolves to true if it was answered successfully. */
async function sendRequest(host: LocalEntryHost, requestId: string, isIdempotent: boolean): Promise<boolean> {
	const response = await fetch(`http://${host.address}/v1/services/replans`, {
		method: 'POST', body, headers: {'idempotency-key': requestId, 'rhubarblever-idempotent': String(isIdempotent)},
	});
	await response.arrayBuffer();
	return response.ok;
}

/** Appends a claim to its own stream of the platform stand-in and waits for the answer. */
async function appendClaim(fleet: LocalFleet, requestId: string): Promise<void> {
	const claim = {
		recordId: requestId, schema: 'claim', version: 1, body: {},
	};
	const response = await fetchPlatform(`http://${fleet.platformAddress}/v1/streams/claims/records`, {
		method: 'POST', body: JSON.stringify({records: [claim]}), headers: {'content-type': 'application/json'},
	});
	await response.arrayBuffer();
}

function describeHistogram(histogram: Histogram): string {
	return [50, 90, 99].map(percentile => `p${percentile} ${getMs(histogram, percentile).toFixed(2)} ms`).join(', ');
}

/** Measures latency with one request at a time, over all entry hosts in turn. */
async function measureLatency(fleet: LocalFleet, count: number): Promise<void> {
	const measured = await measureVariants(createVariants(fleet), {count, warmUpCount, pauseMs: 0});
	for (const {name, histogram, unanswered} of measured) {
		process.stdout.write(`${name}: ${describeHistogram(histogram)}, ${unanswered} of ${count} not answered\n`);
	}
}

/** Sends each id to all entry hosts at the same time, then again later, and counts the answers by kind. */
async function measureRepeats(fleet: LocalFleet, count: number): Promise<void> {
	const kinds = new Map<string, number>();
	for (let round = 0; round < count; round++) {
		const requestId = randomUUID();
		const sendAll = async (moment: string) => Promise.all(fleet.entryHosts.map(async host => {
			const response = await fetch(`http://${host.address}/v1/services/replans`, {method: 'POST', body, headers: {'idempotency-key': requestId}});
			const text = await response.text();
			const kind = `${moment}: ${response.ok ? 'answered' : (JSON.parse(text) as {type: string}).type}`;
			kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
		}));
		/* eslint-disable no-await-in-loop */
		await sendAll('at once');
		await sendAll('later');
		/* eslint-enable no-await-in-loop */
	}

	for (const [kind, seen] of kinds) {
		process.stdout.write(`repeats ${kind}: ${seen} of ${count * fleet.entryHosts.length}\n`);
	}
}

async function run(count: number, entryHostsPerZone: number): Promise<void> {
	const fleet = await LocalFleet.create({
		availabilityZones: zones, entryHostsPerZone, targetsPerZone: 2, services: ['replans'],
	});
	try {
		await fleet.publish(records);
		let areReady = false;
		while (!areReady) {
			// eslint-disable-next-line no-await-in-loop
			const answers = await Promise.all(fleet.entryHosts.map(async host => sendRequest(host, randomUUID(), false)));
			areReady = answers.every(Boolean);
		}

		process.stdout.write(`${fleet.entryHosts.length} entry hosts\n`);
		await measureLatency(fleet, count);
		await measureRepeats(fleet, Math.ceil(count / 10));
	} finally {
		await fleet.stop();
	}
}

sade('at-most-once', true)
	.describe('Measures what claims cost.')
	.option('--count', 'Requests of each way', 500)
	.option('--entry-hosts-per-zone', 'Entry hosts in each of three zones', 3)
	.action(async (flags: {readonly count: number; readonly 'entry-hosts-per-zone': number}) => {
		await run(flags.count, flags['entry-hosts-per-zone']);
	})
	.parse(process.argv);
