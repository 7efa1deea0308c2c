/** Arithmetic on processor, memory and accelerators. */
import type {Resources} from './types.js';

/** The names of the resources, to go through them. */
export const resourceNames = ['cpu', 'memoryMb', 'gpu'] as const;

export const noResources: Resources = {cpu: 0, memoryMb: 0, gpu: 0};

/** Returns `a + b * times`. */
export function addResources(a: Resources, b: Resources, times = 1): Resources {
	return {cpu: a.cpu + (b.cpu * times), memoryMb: a.memoryMb + (b.memoryMb * times), gpu: a.gpu + (b.gpu * times)};
}

/** Multiplies each resource by `times`. */
export function computeMultiple(resources: Resources, times: number): Resources {
	return addResources(noResources, resources, times);
}

/** True if all of the needed resources are free. */
export function doesFit(need: Resources, free: Resources): boolean {
	return need.cpu <= free.cpu && need.memoryMb <= free.memoryMb && need.gpu <= free.gpu;
}

/** The dominant share: the highest ratio of need to capacity over all resources. Resources that the capacity lacks are ignored. */
export function computeDominantShare(need: Resources, capacity: Resources): number {
	return Math.max(computeRatio(need.cpu, capacity.cpu), computeRatio(need.memoryMb, capacity.memoryMb), computeRatio(need.gpu, capacity.gpu));
}

function computeRatio(need: number, capacity: number): number {
	return capacity > 0 ? need / capacity : 0;
}
