/** The model's configuration and its jobs. */
import type {Instant} from '../../types/time.js';
import type {JobId} from '../../types/ids.js';
import type {FleetConfig, JobDefinition, StepDefinition} from '../types.js';

export const poolName = 'trucks';
export const queueName = 'replans';

export const modelConfig: FleetConfig = {
	version: 1,
	queues: [{
		name: queueName, host: 'h', pathPrefix: '/q/', pool: poolName, priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600, timeoutMs: 3000, advice: undefined,
	}],
	pools: [{
		name: poolName, isSpare: false, maxConnections: 64, healthPath: '/health', hasAdmissionCheck: true,
	}],
};

/** A step of identical short tasks; `changes` replaces single fields. */
export function createStep(changes: Partial<StepDefinition> = {}): StepDefinition {
	return {
		count: 3,
		need: {cpu: 2000, memoryMb: 100, gpu: 0},
		estimateMs: 500,
		dependsOn: [],
		isCheckpointing: false,
		isGang: false,
		isSameRack: false,
		requiredLabel: '',
		dataRack: '',
		maxPerWorker: 0,
		isSpeculative: false,
		isLongRunning: false,
		latencyTargetMs: 0,
		isFiller: false,
		maxUnavailable: 0,
		...changes,
	};
}

/** A job of the model's queue. */
export function createJob(number: number, steps: readonly StepDefinition[], changes: Partial<JobDefinition> = {}): JobDefinition {
	return {
		jobId: number.toString(16).padStart(16, '0') as JobId, queue: queueName, pool: poolName, spec: 's', steps, runCount: 0, firstRunAt: 0 as Instant, intervalMs: 0, ...changes,
	};
}
