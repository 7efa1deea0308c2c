/** Injected faults of the platform test double: outages, delays, lost answers and the append rate limit. */
import {
	unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator,
} from 'pure-rand';
import {sleep} from '../harness/process-group.js';
import {platformSettingsSchema, updateSettings, type PlatformSettings} from './settings.js';

/** Whether a call is served, or how an outage makes it fail before it takes effect. */
export type CallOutcome = 'served' | PlatformSettings['outageKind'];

const randomSteps = 1_000_000;

export class PlatformFaults {
	static create(): PlatformFaults {
		return new PlatformFaults();
	}

	settings: PlatformSettings = platformSettingsSchema.parse({});
	private random: RandomGenerator = xoroshiro128plus(1);
	private appendWindow = 0;
	private appendCount = 0;

	private constructor() {}

	update(patch: Readonly<Record<string, unknown>>): void {
		this.settings = updateSettings(this.settings, patch);
		if (patch.loseAnswers) {
			this.random = xoroshiro128plus(this.settings.loseAnswers.seed);
		}
	}

	/** Applies the configured delay to a call and returns whether it is served or fails. */
	async acceptCall(): Promise<CallOutcome> {
		if (Date.now() < this.settings.outageUntil) {
			return this.settings.outageKind;
		}

		if (this.settings.slowMs > 0) {
			await sleep(this.settings.slowMs);
		}

		return 'served';
	}

	/** Decides at random whether the answer to a call that took effect is lost. */
	drawAnswerLoss(method: string): boolean {
		const {probability, methods} = this.settings.loseAnswers;
		const names: readonly string[] = methods;
		if (probability === 0 || !names.includes(method)) {
			return false;
		}

		return unsafeUniformIntDistribution(0, randomSteps - 1, this.random) < probability * randomSteps;
	}

	/** Counts an append; false if it exceeds the rate limit of this second. */
	acceptAppend(): boolean {
		const second = Math.floor(Date.now() / 1000);
		if (second !== this.appendWindow) {
			this.appendWindow = second;
			this.appendCount = 0;
		}

		this.appendCount += 1;
		return this.appendCount <= this.settings.appendsPerSecond;
	}
}
