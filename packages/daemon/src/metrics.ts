/** Metrics by hot-shots over UDP, to a StatsD server. */
import type {MetricEffect} from '@rhubarblever/core';
import {StatsD} from 'hot-shots';
import type {SocketAddress} from './settings.js';

/** Makes the client; without an address nothing is sent. */
export function createMetrics(address: SocketAddress | undefined, hostId: string): StatsD {
	return new StatsD({
		host: address?.ip ?? '127.0.0.1',
		port: address?.port ?? 8125,
		prefix: 'rhubarblever.',
		globalTags: {host: hostId},
		mock: address === undefined,
		maxBufferSize: 1400,
		bufferFlushInterval: 1000,
		errorHandler() {},
	});
}

const senders: Readonly<Record<MetricEffect['kind'], (client: StatsD, metric: MetricEffect) => void>> = {
	count(client, metric) {
		client.increment(metric.name, metric.value, metric.tags);
	},
	gauge(client, metric) {
		client.gauge(metric.name, metric.value, metric.tags);
	},
	timing(client, metric) {
		client.timing(metric.name, metric.value, metric.tags);
	},
};

/** Sends one metric. */
export function sendMetric(client: StatsD, metric: MetricEffect): void {
	senders[metric.kind](client, metric);
}
