/** Tests of polling the host list while some calls get no answer. */
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import type {Event, Fault, ListedHost} from '@rhubarblever/core';
import {expect} from 'earl';
import {ok, type Result} from 'neverthrow';
import {HostListPoll} from './host-list-poll.js';

const intervalMs = 1000;
const maximumPendingCalls = 8;

describe('HostListPoll', () => {
	let answers: Array<() => void>;
	let events: Event[];

	/** Answers one call and waits until the poll has processed the answer. */
	const answerCall = async (index: number) => {
		answers[index]!();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	};

	beforeEach(() => {
		mock.timers.enable({apis: ['setInterval']});
		answers = [];
		events = [];
		HostListPoll.create({
			intervalMs,
			listHosts: async () => new Promise<Result<readonly ListedHost[], Fault>>(resolve => {
				answers.push(() => {
					resolve(ok([]));
				});
			}),
			push(event) {
				events.push(event);
			},
		}).start();
	});

	afterEach(() => {
		mock.timers.reset();
	});

	it('polls again while a call is unanswered, and drops a list that arrives after that of a later call', async () => {
		mock.timers.tick(intervalMs);
		expect(answers.length).toEqual(2);
		await answerCall(1);
		await answerCall(0);
		expect(events.map(event => event.type)).toEqual(['hosts/listed']);
	});

	it('limits the number of unanswered calls, and continues when one of them is answered', async () => {
		mock.timers.tick(20 * intervalMs);
		expect(answers.length).toEqual(maximumPendingCalls);
		await answerCall(0);
		mock.timers.tick(intervalMs);
		expect(answers.length).toEqual(maximumPendingCalls + 1);
	});
});
