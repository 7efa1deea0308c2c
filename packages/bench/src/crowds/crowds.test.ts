/** Crowds of misbehaving clients beside an entry host on the users' platform. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {crowdKinds, type CrowdName} from './crowd-kinds.js';
import {listHostFailures} from './survival.js';

describe('an entry host beside a crowd of misbehaving clients', () => {
	for (const name of Object.keys(crowdKinds) as CrowdName[]) {
		/** Guards against a process that such clients end, stop or fill, and against ordinary callers who get no answer meanwhile. */
		it(`survives ${name}`, async () => {
			expect(await listHostFailures(name)).toEqual([]);
		});
	}
});
