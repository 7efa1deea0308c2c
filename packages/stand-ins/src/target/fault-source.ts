/** Chooses the fault of each request: the one that the request asks for, otherwise the target's, at random from a seed. */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {
	targetSettingsSchema, type AnswerFault, type TargetSettings, type Work,
} from './work.js';

const randomSteps = 1_000_000;

export class FaultSource {
	static create(): FaultSource {
		return new FaultSource();
	}

	settings: TargetSettings = targetSettingsSchema.parse({});
	private random: RandomGenerator = xoroshiro128plus(1);
	private injectedFaults = 0;

	private constructor() {}

	/** Replaces the settings, and restarts the random sequence and the count of injected faults. */
	set(settings: TargetSettings): void {
		this.settings = settings;
		this.random = xoroshiro128plus(settings.fault?.seed ?? 1);
		this.injectedFaults = 0;
	}

	choose(work: Work): AnswerFault {
		const commonFault = this.settings.fault;
		if (work.fault.kind !== 'none' || !commonFault || this.injectedFaults >= (commonFault.maxCount ?? Number.POSITIVE_INFINITY)) {
			return work.fault;
		}

		const isInjected = unsafeUniformIntDistribution(0, randomSteps - 1, this.random) < commonFault.probability * randomSteps;
		this.injectedFaults += isInjected ? 1 : 0;
		return isInjected ? commonFault.fault : work.fault;
	}
}
