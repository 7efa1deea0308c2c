/** Pools, hosts and waves in the answer of GET /v1/fleet. */
import {
	countPool, estimateLogTime, getWaveStatus, type FleetHost, type FleetState, type PoolCount, type PoolId, type State, type Wave, type WaveId, type WaveStatus,
} from '@rhubarblever/core';

/** The host counts of a pool. `isShort`: fewer hosts are healthy than the pool's budget requires. */
export type PoolView = PoolCount & {readonly pool: PoolId; readonly isShort: boolean};

export type WaveView = Pick<Wave, 'hosts' | 'isCancelled'> & {
	readonly waveId: WaveId;
	readonly pool: PoolId;
	readonly status: WaveStatus;
};

export type MaintenanceView = {
	readonly plannerLease: FleetState['plannerLease'];
	readonly poolCounts: readonly PoolView[];
	readonly poolHosts: readonly FleetHost[];
	readonly waves: readonly WaveView[];
};

/** Describes the hosts that are out of service, the waves that take them out, and the host counts of the pools. */
export function describeMaintenance(state: State): MaintenanceView {
	const {fleet} = state;
	return {
		plannerLease: fleet.plannerLease,
		poolCounts: [...fleet.pools.values()].map(({body: {pool, budget}}) => {
			const count = countPool(fleet, pool);
			return {pool, ...count, isShort: count.healthy < budget.minimumHealthyHosts};
		}),
		poolHosts: [...fleet.hosts.values()],
		waves: [...fleet.waves.values()].map(wave => ({
			waveId: wave.body.waveId,
			pool: wave.body.pool,
			status: getWaveStatus(fleet, wave, estimateLogTime(state)),
			hosts: wave.hosts,
			isCancelled: wave.isCancelled,
		})),
	};
}
