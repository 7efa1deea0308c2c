/** Arithmetic of processor, memory and accelerators. */
import type {Resources} from './types.js';

export const noResources: Resources = {cpu: 0, memoryMb: 0, gpu: 0};

/** A sum, with the second part taken `times` times. */
export function addResources(a: Resources, b: Resources, times = 1): Resources {
	return {cpu: a.cpu + (b.cpu * times), memoryMb: a.memoryMb + (b.memoryMb * times), gpu: a.gpu + (b.gpu * times)};
}

/** A part or a multiple. */
export function computeMultiple(resources: Resources, times: number): Resources {
	return addResources(noResources, resources, times);
}

/** True if a need fits into some room. */
export function doesFit(need: Resources, free: Resources): boolean {
	return need.cpu <= free.cpu && need.memoryMb <= free.memoryMb && need.gpu <= free.gpu;
}

/** How many times a capacity is needed, by the resource that is needed most; what the capacity does not have is left out. */
export function computeDominantShare(need: Resources, capacity: Resources): number {
	return Math.max(computeRatio(need.cpu, capacity.cpu), computeRatio(need.memoryMb, capacity.memoryMb), computeRatio(need.gpu, capacity.gpu));
}

function computeRatio(need: number, capacity: number): number {
	return capacity > 0 ? need / capacity : 0;
}
