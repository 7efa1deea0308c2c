/** Stand-in of the platform's list of machines. No service is spare in these deployments, so no machine is moved. */
import {answerJson, serve} from './network.js';

const statusOk = 200;
const statusConflict = 409;

export class Cloud {
	static async start(address, runners) {
		const cloud = new Cloud();
		cloud.server = await serve(address, async (request, response) => {
			if (request.method === 'GET') {
				answerJson(response, statusOk, {machines: runners.map(runner => cloud.describe(runner))});
			} else {
				answerJson(response, statusConflict, {reason: 'busy'});
			}
		});
		return cloud;
	}

	describe(runner) {
		return {
			machine: runner.machine, pool: runner.service, state: runner.isUp ? 'up' : 'down', zone: runner.zone, labels: runner.labels, capacity: {cpu: runner.cpu, 'mem-mb': runner.memoryMb, gpu: 0}, id: runner.id,
		};
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}
}
