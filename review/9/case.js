/** The leader is killed while an order for an upkeep is unanswered, and the platform carries the order out seconds later. No more machines of the wave than `cap` may be down for their upkeep. */
import {fileURLToPath} from 'node:url';
import {isTrueWithin, sleep} from '../stand-ins-2/http.js';
import {Fleet, hasTrouble, runCase} from '../stand-ins-2/fleet.js';

const service = 'trucks';
const wave = 1;
const cap = 1;
const waveMachines = ['m-00', 'm-01', 'm-02', 'm-03'];
const deadlineS = 60;
/** Of `applied_late` (cloud): half of the orders at most, carried out 2 to 12 s later. Here one order. */
const lateMs = 6000;
const killAfterMs = 200;
const waveWaitMs = 60_000;

async function start() {
	return Fleet.start({
		folder: fileURLToPath(new URL('.', import.meta.url)),
		services: [{name: service}],
		runners: [{service, rack: 'r-1', count: 4}, {service, rack: 'r-2', count: 4}],
		route: {
			name: 'replans', host: 'jobs.example', 'path-prefix': '/replans/', kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, service, 'max-attempts': 3, stretch: 2,
		},
	});
}

/** The first order gets no answer and is carried out late; its sender is killed. */
function delayFirstOrder(fleet) {
	let isFirst = true;
	fleet.machines.delayOrder = ({holder}) => {
		if (!hasTrouble || !isFirst) {
			return undefined;
		}

		isFirst = false;
		setTimeout(() => {
			fleet.killHost(fleet.hosts.find(({name}) => name === holder));
		}, killAfterMs);
		return lateMs;
	};
}

async function run(fleet) {
	delayFirstOrder(fleet);
	await sleep(2000);
	fleet.note({
		operator: 'publishes a wave', wave, machines: waveMachines, cap, deadlineS,
	});
	fleet.store.put('keyed.op', `wave/${wave}`, {
		wave, machines: waveMachines, 'deadline-s': deadlineS, cap,
	});
	const isCompleted = await isTrueWithin(waveWaitMs, () => fleet.store.getNewest('keyed.status', `wave/${wave}`)?.includes('completed'));
	const {upkeeps} = fleet.machines;
	fleet.note({isCompleted, upkeeps});
	if (upkeeps.length === 0) {
		throw new Error('no upkeep has begun');
	}

	const over = upkeeps.filter(({downBefore}) => downBefore >= cap);
	return over.length > 0 ? `an upkeep began while ${over[0].downBefore} of the wave were down for theirs, cap ${cap}: ${over.map(({machine, token}) => `${machine} by token ${token}`).join(', ')}` : undefined;
}

await runCase(start, run);
