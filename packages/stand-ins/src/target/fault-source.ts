/** Chooses the fault of each request: its own, else the target's, at random by seed. */
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
	private strikes = 0;

	private constructor() {}

	/** Replaces the settings and begins the random choices anew. */
	set(settings: TargetSettings): void {
		this.settings = settings;
		this.random = xoroshiro128plus(settings.fault?.seed ?? 1);
		this.strikes = 0;
	}

	choose(work: Work): AnswerFault {
		const common = this.settings.fault;
		if (work.fault.kind !== 'none' || !common || this.strikes >= (common.maxCount ?? Number.POSITIVE_INFINITY)) {
			return work.fault;
		}

		const isStruck = unsafeUniformIntDistribution(0, randomSteps - 1, this.random) < common.probability * randomSteps;
		this.strikes += isStruck ? 1 : 0;
		return isStruck ? common.fault : work.fault;
	}
}
