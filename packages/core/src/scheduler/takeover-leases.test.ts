/** LOST: a new leader starts the long-running tasks of a worker that is gone again in time. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createLease, createProgress, createRow, createWorker, HandDrivenHost, listStarts, type EventBody,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';

/** A long-running task must run again within this time of the end of its run: 6 s, and the 3 s for which its absence is tolerated. */
const restartLimitMs = 9000;
const heartbeatMs = 400;
/** From the append of a record until another host has read it, and until a claim is granted. */
const callMs = 100;
const firstRecords = 10;

const job = createJob(1, [createStep({count: 1, isLongRunning: true})]);
const task = `${job.jobId}.0.0.0`;

function createLeaseRead(offset: number, isReleased: boolean): EventBody {
	return {type: 'ledger/read', entries: [{offset, record: {type: 'lease', lease: createLease('former', 1, isReleased)}}], nextOffset: offset + 1};
}

/** A host that follows a leader; the task runs on worker w1. Returns with the former leader's latest record appended just now, and not read yet. */
function createFollower(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.dispatch({type: 'config/read', config: createConfig()});
	host.submit(job);
	host.dispatch({type: 'ledger/loaded', entries: [createProgress(1, job, [createRow()])], nextOffset: 2});
	for (let offset = 2; offset < 2 + firstRecords; offset++) {
		host.tick(heartbeatMs);
		host.dispatch(createLeaseRead(offset, false));
	}

	host.tick(heartbeatMs - callMs);
	return host;
}

/** Lets the host take the lead; worker w2 is sound, w1 is gone. Returns when the task was started again. */
function runUntilRestart(host: HandDrivenHost): number {
	let isLeading = false;
	for (const end = host.now + (2 * restartLimitMs); host.now < end;) {
		const effects = host.tick();
		const claim = effects.find(effect => effect.type === 'ledger/claim');
		if (claim) {
			effects.push(...host.tick(callMs), ...host.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: claim.at}));
		}

		if (host.state.leadership.role === 'leader') {
			effects.push(...isLeading ? [] : host.dispatch({type: 'workers/listed', workers: [createWorker('w2')], isReloaded: true}), ...host.answerPoll('w2'));
			isLeading = true;
		}

		const start = listStarts(effects).find(({worker}) => worker.id === 'w2');
		if (start) {
			expect(start.task).toEqual(task);
			return host.now;
		}
	}

	return Number.POSITIVE_INFINITY;
}

describe('a long-running task whose worker goes in the second in which the leader is lost', () => {
	/** Guards against a successor that waits, counted from its own start, for leases that no earlier leader can have renewed. */
	it('is started again in time after the leader was killed', () => {
		const host = createFollower();
		const endedAt = host.now;
		host.tick(callMs);
		host.dispatch(createLeaseRead(2 + firstRecords, false));
		expect(runUntilRestart(host) - endedAt).toBeLessThanOrEqual(restartLimitMs);
	});

	/** Guards against the same wait for a leader that has renewed nothing since it released the lead. */
	it('is started again in time after the leader released the lead', () => {
		const host = createFollower();
		const endedAt = host.now;
		host.tick(callMs);
		host.dispatch(createLeaseRead(2 + firstRecords, true));
		expect(runUntilRestart(host) - endedAt).toBeLessThanOrEqual(restartLimitMs);
	});
});
