/** Hosts of both builds serve together under load while leadership passes between the builds. */
import {sleep, waitUntil} from '@rhubarblever/stand-ins';
import type {Build, UpgradeFleet} from './upgrade-fleet.js';

const leaderTimeoutMs = 30_000;
const pauseMs = 6000;
const minimumPasses = 2;
const others: Readonly<Record<Build, Build>> = {old: 'new', new: 'old'};

/** Number of times that leadership passed to each build. */
export type Passes = Readonly<Record<Build, number>>;

/** Runs hosts of both builds side by side until a deadline (monotonic clock); reports if leadership passed to either build too rarely. */
export async function runSideBySide(fleet: UpgradeFleet, deadline: number): Promise<Passes> {
	const passes: Record<Build, number> = {old: 0, new: 0};
	const loading = fleet.parts.load.run(deadline);
	while (performance.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		const to = await passLeadership(fleet);
		passes[to]++;
		// eslint-disable-next-line no-await-in-loop
		await sleep(pauseMs);
	}

	await loading;
	await fleet.waitForJobs();
	if (passes.old < minimumPasses || passes.new < minimumPasses) {
		fleet.parts.checker.report(`leadership passed to the old build ${passes.old} times and to the new one ${passes.new} times`);
	}

	return passes;
}

/** Stops all hosts of the leader's build with SIGTERM, the leader last, waits for a leader of the other build, and starts them again. */
async function passLeadership(fleet: UpgradeFleet): Promise<Build> {
	await waitUntil('a host leads', async () => await fleet.findLeader() !== undefined, leaderTimeoutMs);
	const leader = (await fleet.findLeader())!;
	const build = fleet.builds.get(leader)!;
	const stopped = fleet.hosts.filter(host => fleet.builds.get(host) === build);
	await Promise.all(stopped.filter(host => host !== leader).map(async host => fleet.endHost(host, 'SIGTERM')));
	await fleet.endHost(leader, 'SIGTERM');
	await waitUntil(`a host of the ${others[build]} build leads`, async () => await fleet.findLeader() !== undefined, leaderTimeoutMs);
	for (const host of stopped) {
		fleet.startHost(host, build);
	}

	await fleet.waitForReady(stopped);
	return others[build];
}
