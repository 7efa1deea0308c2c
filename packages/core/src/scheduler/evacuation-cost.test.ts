/** A leader that empties workers with very many tasks, room for all of them being elsewhere. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {LeavingFleet} from './testing/leaving-fleet.js';

const tasks = 200;
const noticeMs = 6000;
/** Tasks for which one pass may look for room. */
const maxTasksAtOnce = 64;

describe('a worker that drains with very many long-running tasks', () => {
	/** Guards against passes that look for room for all tasks at once: with hundreds of them and of workers they take longer than the pause between two. */
	it('is emptied in parts, and before it leaves', () => {
		const fleet = LeavingFleet.create('1');
		fleet.submit({count: tasks, need: {cpu: 10, memoryMb: 1, gpu: 0}});
		fleet.addMachines('2');
		fleet.run(100);
		expect(fleet.listTasks('1').length).toEqual(tasks);
		fleet.drain('1', noticeMs);
		expect(fleet.runUntilLeft('1')).toEqual([]);
		expect(fleet.listTasks('2').length).toEqual(tasks);
		expect(fleet.mostAway).toBeLessThanOrEqual(maxTasksAtOnce);
	});
});
