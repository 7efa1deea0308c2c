/** Compares lanes with a plain list: the same asks, counts and order after any sequence of additions and removals. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {AskId, TeamId} from '../types/ids.js';
import {workClasses} from '../types/requests.js';
import type {Instant} from '../types/time.js';
import {
	addAsk, countAsksOfTeam, countBefore, countUntil, createAskLanes, listLanes, removeAsk,
} from './ask-lanes.js';
import type {QueuedAsk} from './state.js';

function createAsk(askId: string, team: string, workClass: typeof workClasses[number], deadline: number): QueuedAsk {
	return {
		ask: {
			askId: askId as AskId,
			team: team as TeamId,
			workClass,
			deadline: deadline as Instant,
			service: 'routes' as never,
			availabilityZone: 'a' as never,
			isIdempotent: true,
			avoid: [],
		},
		holder: 'entry-1' as never,
		arrivedAt: 0 as Instant,
		leaseUntil: 0 as Instant,
	};
}

describe('lanes of asks', () => {
	it('contain the same asks as lists sorted by deadline', () => {
		const step = fc.record({
			isAdded: fc.boolean(),
			id: fc.integer({min: 0, max: 20}),
			team: fc.constantFrom('tartu', 'parnu'),
			workClass: fc.constantFrom(...workClasses),
			deadline: fc.integer({min: 0, max: 6}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			const lanes = createAskLanes();
			let plain: QueuedAsk[] = [];
			for (const {isAdded, id, team, workClass, deadline} of steps) {
				const askId = `ask-${id}`;
				const isKnown = plain.some(({ask}) => ask.askId === askId);
				if (isAdded && !isKnown) {
					const queued = createAsk(askId, team, workClass, deadline);
					addAsk(lanes, queued);
					plain.push(queued);
				} else if (!isAdded) {
					removeAsk(lanes, askId as AskId);
					plain = plain.filter(({ask}) => ask.askId !== askId);
				}
			}

			expect([...lanes.byId.keys()].toSorted()).toEqual(plain.map(({ask}) => ask.askId).toSorted());
			for (const team of ['tartu', 'parnu'] as TeamId[]) {
				expect(countAsksOfTeam(lanes, team)).toEqual(plain.filter(({ask}) => ask.team === team).length);
				for (const workClass of workClasses) {
					const expected = plain.filter(({ask}) => ask.team === team && ask.workClass === workClass).toSorted((a, b) => a.ask.deadline - b.ask.deadline);
					const lane = listLanes(lanes, workClass).get(team) ?? [];
					expect(lane.map(({ask}) => ask.askId)).toEqual(expected.map(({ask}) => ask.askId));
					expect(countUntil(lane, 3 as Instant)).toEqual(expected.filter(({ask}) => ask.deadline <= 3).length);
					expect(countBefore(lane, 3 as Instant)).toEqual(expected.filter(({ask}) => ask.deadline < 3).length);
				}
			}
		}), {numRuns: 200, seed: 67});
	});
});
