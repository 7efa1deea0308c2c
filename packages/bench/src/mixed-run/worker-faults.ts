/** Faults of workers: single workers or whole racks that fail, and workers that fail all their tasks. */
import type {FaultKind, FaultTable} from './fault-kinds.js';
import {racks, workers} from './fleet-shape.js';

const timing = {shortestMs: 2000, longestMs: 12_000, recoveryMs: 3000};
const singles = workers.map(worker => [worker.hostId as string]);
const byRack = racks.map(rack => workers.filter(worker => worker.rack === rack).map(worker => worker.hostId as string));

function createKind(victims: ReadonlyArray<readonly string[]>, change: 'fail' | 'fail-tasks'): FaultKind {
	return {
		...timing,
		candidates: victims,
		async start({fleet}, {names}) {
			const changeAll = async (to: string) => {
				await Promise.all(names.map(async hostId => fleet.callPlatform('POST', `/v1/control/workers/${hostId}`, {change: to})));
			};

			await changeAll(change);
			return async () => changeAll('heal');
		},
	};
}

export const workerFaults: FaultTable = {
	'worker-fails': createKind(singles, 'fail'),
	'rack-fails': createKind(byRack, 'fail'),
	'worker-fails-tasks': createKind(singles, 'fail-tasks'),
};
