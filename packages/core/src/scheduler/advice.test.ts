/** Tickets of the advice service: whatever happens to a request, advice for a waiting step is requested again. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createWorker, HandDrivenHost, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {SchedulerEffect} from './effects.js';

const config = createConfig({advice: {validMs: 3000}});
const step = `${createJob(1, []).jobId}.0.0`;
const ticket = {workerId: 'w1', ticket: 't'};

function createHost(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership([], config);
	host.addWorkers('w1');
	return host;
}

function listAsks(effects: readonly SchedulerEffect[]): string[] {
	return effects.filter(effect => effect.type === 'advice/request').map(effect => effect.workerIds.join(' '));
}

function answer(host: HandDrivenHost, tickets: ReadonlyArray<typeof ticket> | undefined, asked: readonly string[] = ['w1'], validMs = 3000): SchedulerEffect[] {
	return host.dispatch({
		type: 'advice/ended', step, workerIds: asked, validMs, tickets,
	});
}

/** Advances the clock and answers every poll. */
function run(host: HandDrivenHost, forMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	const end = host.now + forMs;
	while (host.now < end) {
		const ticked = host.tick();
		effects.push(...ticked);
		for (const effect of ticked) {
			if (effect.type === 'worker/poll') {
				effects.push(...host.answerPoll(effect.worker.id, {bornAt: effect.worker.bornAt}));
			}
		}
	}

	return effects;
}

describe('advice', () => {
	it('is requested again after a worker has refused a ticket', () => {
		const host = createHost();
		expect(listAsks(host.submit(createJob(1, [createStep({count: 1})])))).toEqual(['w1']);
		host.now += 90;
		const starts = listStarts(answer(host, [ticket]));
		expect(starts.length).toEqual(1);
		host.now += 10;
		host.answerStart(starts[0]!, 'no-ticket');
		expect(listAsks(run(host, 1000))).toEqual(['w1']);
		expect(listStarts([...answer(host, [ticket]), ...run(host, 100)]).length).toEqual(1);
	});

	it('is requested again if the answer arrived while the step had no task to start', () => {
		const host = createHost();
		host.submit(createJob(1, [createStep({count: 1})]));
		// The only ticket is for a worker that is quarantined; when the quarantine ends, the request about another worker is still open.
		host.state.workers.get('w1')!.quarantinedUntil = host.now + 500;
		host.now += 100;
		answer(host, [ticket], ['w1'], 1200);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1'), createWorker('w2')], isReloaded: false});
		host.now++;
		expect(listAsks([...host.answerPoll('w2'), ...run(host, 100)])).toEqual(['w2']);
		const starts = listStarts(run(host, 600));
		expect(starts.length).toEqual(1);
		host.answerStart(starts[0]!);
		expect(host.state.openSteps.size).toEqual(0);
		answer(host, [], ['w2']);
		host.now += 1000;
		const effects = host.answerPoll('w1', {
			ended: [{
				number: 1, task: starts[0]!.task, run: 1, how: 'failed', checkpoint: '',
			}],
		});
		expect(listAsks([...effects, ...run(host, 500)])).toEqual(['w1']);
	});

	it('does not apply to the next incarnation of a worker', () => {
		const host = createHost();
		host.submit(createJob(1, [createStep({count: 1})]));
		answer(host, []);
		expect(listAsks(run(host, 500))).toEqual([]);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: 2})], isReloaded: false});
		host.now++;
		expect(listAsks([...host.answerPoll('w1', {bornAt: 2, answerBornAt: 2}), ...run(host, 500)])).toEqual(['w1']);
	});

	it('is valid from the time of the request: a ticket that arrives late is not used after it has expired', () => {
		const host = createHost();
		host.submit(createJob(1, [createStep({count: 1})]));
		host.state.workers.get('w1')!.quarantinedUntil = host.now + 2500;
		host.now += 1900;
		answer(host, [ticket], ['w1'], 2000);
		host.now += 700;
		// Now 2.6 s after the request, 0.7 s after the answer.
		const effects = run(host, 100);
		expect(listStarts(effects)).toEqual([]);
		expect(listAsks(effects)).toEqual(['w1']);
	});

	it('is checked again once a start is stored, as its ticket may have expired in the meantime', () => {
		const host = createHost();
		host.submit(createJob(1, [createStep({count: 1})]));
		host.isConfirmingAppends = false;
		const commit = answer(host, [ticket], ['w1'], 1000).find(effect => effect.type === 'ledger/commit');
		expect(host.state.openSteps.size).toEqual(0);
		host.now += 1100;
		host.isConfirmingAppends = true;
		const effects = [...host.store(commit!), ...run(host, 200)];
		expect(listStarts(effects)).toEqual([]);
		expect(listAsks(effects)).toEqual(['w1']);
	});

	it('is requested for fewer workers if all tickets had expired when they arrived', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership([], config);
		host.addWorkers('w1', 'w2');
		const asked = listAsks(host.submit(createJob(1, [createStep({count: 1})])));
		expect(asked).toEqual(['w1 w2']);
		host.now += 1000;
		const effects = answer(host, [ticket], ['w1', 'w2'], 1000);
		expect(listAsks([...effects, ...run(host, 500)])[0]?.split(' ').length).toEqual(1);
	});
});
