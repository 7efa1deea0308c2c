/** Following the host list past calls that get no answer. */
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import type {Event, Fault, ListedHost} from '@rhubarblever/core';
import {expect} from 'earl';
import {ok, type Result} from 'neverthrow';
import {HostListPoll} from './host-list-poll.js';

const intervalMs = 1000;
const mostUnanswered = 8;

describe('HostListPoll', () => {
	let answers: Array<() => void>;
	let events: Event[];

	/** Answers one call and lets the poll take the answer in. */
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

	it('asks again while a call has no answer, and drops a list that comes after a later one', async () => {
		mock.timers.tick(intervalMs);
		expect(answers.length).toEqual(2);
		await answerCall(1);
		await answerCall(0);
		expect(events.map(event => event.type)).toEqual(['hosts/listed']);
	});

	it('asks no more than so often without an answer, and goes on with the next one', async () => {
		mock.timers.tick(20 * intervalMs);
		expect(answers.length).toEqual(mostUnanswered);
		await answerCall(0);
		mock.timers.tick(intervalMs);
		expect(answers.length).toEqual(mostUnanswered + 1);
	});
});
