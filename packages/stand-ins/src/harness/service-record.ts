/** Records that tests, the demo and the bench publish. */
import type {PublishableRecord} from './local-fleet.js';

/** What may differ from one service to another. */
export type ServiceShape = {
	readonly recordId?: string;
	readonly pool?: string;
	readonly slotsPerRunner?: number;
	readonly connectionsPerRunner?: number;
};

/** The record that puts a service in force, by default with runners of the users' size. */
export function createServiceRecord(service: string, shape: ServiceShape = {}): PublishableRecord {
	const {
		recordId = `service-${service}`, pool = 'trucks', slotsPerRunner = 8, connectionsPerRunner = 64,
	} = shape;
	return {
		recordId,
		schema: 'service',
		version: 1,
		body: {
			service, pool, slotsPerRunner, connectionsPerRunner,
		},
	};
}
