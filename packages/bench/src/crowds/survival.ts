/** Plays a crowd of misbehaving clients against a server and lists what the server has failed at. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {RunningProcess} from '@rhubarblever/stand-ins';
import {Crowd, type CrowdOptions} from './crowd.js';
import {crowdKinds, type CrowdName} from './crowd-kinds.js';
import {CrowdedHost, maxDescriptors, memoryMb} from './crowded-host.js';
import type {ProcessGauge} from './process-gauge.js';

/** Longer than all time limits of the server's settings together. */
const holdMs = 8000;
/** Descriptors that a process may have beyond those that it had before the crowd came: its own connections come and go. */
const spareDescriptors = 40;

export type CrowdedProcess = {
	readonly running: RunningProcess;
	readonly gauge: ProcessGauge;
	readonly memoryMb: number;
	readonly maxDescriptors: number;
	/** Ordinary calls by what they ask for; each is true once it is answered. */
	readonly ordinaryCalls: Readonly<Record<string, () => Promise<boolean>>>;
};

async function listUnanswered(when: string, {ordinaryCalls}: CrowdedProcess): Promise<string[]> {
	const unanswered: string[] = [];
	for (const [name, isAnswered] of Object.entries(ordinaryCalls)) {
		// eslint-disable-next-line no-await-in-loop
		if (!await isAnswered()) {
			unanswered.push(`${name} is not answered ${when} the crowd`);
		}
	}

	return unanswered;
}

/** Lets a crowd come, hold on and go. Empty if the process lives, stays within its machine, closes what is over its time limits and answers ordinary callers. */
export async function listFailures(crowded: CrowdedProcess, options: CrowdOptions): Promise<string[]> {
	const {running, gauge} = crowded;
	const descriptorsBefore = gauge.countDescriptors();
	const crowd = await Crowd.open(options);
	await sleep(holdMs);
	const unansweredBeside = await listUnanswered('beside', crowded);
	const descriptorsLeft = gauge.countDescriptors();
	crowd.close();
	const unansweredAfterwards = await listUnanswered('after', crowded);
	gauge.close();
	const checks: ReadonlyArray<readonly [boolean, string]> = [
		[running.isRunning, `the process ${running.isRunning ? '' : running.describeEnd()}`],
		[gauge.peakMemoryMb <= crowded.memoryMb, `memory: ${gauge.peakMemoryMb} of ${crowded.memoryMb} MB`],
		[gauge.mostDescriptors <= crowded.maxDescriptors, `descriptors: ${gauge.mostDescriptors} of ${crowded.maxDescriptors}`],
		[descriptorsLeft <= descriptorsBefore + spareDescriptors, `connections over their time limits are open: ${descriptorsLeft} descriptors, ${descriptorsBefore} before the crowd`],
	];
	return [...checks.filter(([isPassed]) => !isPassed).map(([, failure]) => failure), ...unansweredBeside, ...unansweredAfterwards];
}

/** Plays one kind of crowd against an entry host on the users' platform. */
export async function listHostFailures(name: CrowdName): Promise<string[]> {
	const {server, ...options} = crowdKinds[name];
	const crowded = await CrowdedHost.start();
	try {
		return await listFailures({
			running: crowded.host.process,
			gauge: crowded.gauge,
			memoryMb,
			maxDescriptors,
			ordinaryCalls: {
				'a job': async () => crowded.isJobAccepted(),
				'readiness or metrics': async () => crowded.hasAnsweredProbes(),
			},
		}, {...options, address: crowded.host[server]});
	} finally {
		await crowded.close();
	}
}
