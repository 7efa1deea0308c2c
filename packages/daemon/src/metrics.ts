/** Sends metrics to a StatsD server over UDP with hot-shots. */
import type {MetricEffect} from '@rhubarblever/core';
import {StatsD} from 'hot-shots';
import type {SocketAddress} from './settings.js';

/** Creates the StatsD client; without an address it sends nothing. */
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

export function sendMetric(client: StatsD, metric: MetricEffect): void {
	senders[metric.kind](client, metric);
}
