/** Service records that tests, the demo and the bench publish. */
import type {PublishableRecord} from './local-fleet.js';

/** Options of a service record. */
export type ServiceShape = {
	readonly recordId?: string;
	readonly pool?: string;
	readonly slotsPerRunner?: number;
	readonly connectionsPerRunner?: number;
};

/** Creates the record that registers a service; the default slots and connections per runner are those of the users' runners. */
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
