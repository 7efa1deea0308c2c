/** Jobs as clients send them. The stand-in of the runner reads a subtask's work and needs from the spec. */

const memoryMb = 64;

/** One step of equal subtasks that run for `ms`. */
export function createShortJob({count, ms, cpu}) {
	return createJob({ms, cpu}, {
		count, cpu, 'mem-mb': memoryMb, 'estimate-ms': ms,
	});
}

/** One step of equal subtasks that last; `more` holds further fields of the step. */
export function createLastingJob({count, cpu}, more = {}) {
	return createJob({ms: 0, cpu}, {
		count, cpu, 'mem-mb': memoryMb, 'estimate-ms': 500, 'long-running': true, ...more,
	});
}

function createJob(work, step) {
	return {spec: JSON.stringify({steps: [work]}), steps: [step]};
}

/** Ids of jobs are 16 hexadecimal digits. */
export function formatId(number) {
	return number.toString(16).padStart(16, '0');
}
