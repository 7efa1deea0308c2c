/** Outages, slowness and lost answers of the platform stand-in. */
import {
	unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator,
} from 'pure-rand';
import {sleep} from '../harness/process-group.js';
import {platformSettingsSchema, updateSettings, type PlatformSettings} from './settings.js';

/** What becomes of a call before it takes effect. */
export type CallFate = 'served' | PlatformSettings['outageKind'];

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

	/** Waits as long as the platform is slow; says how the call then goes on. */
	async takeCall(): Promise<CallFate> {
		if (Date.now() < this.settings.outageUntil) {
			return this.settings.outageKind;
		}

		if (this.settings.slowMs > 0) {
			await sleep(this.settings.slowMs);
		}

		return 'served';
	}

	/** Whether the answer to a call that took effect is lost. */
	drawAnswerLoss(method: string): boolean {
		const {probability, methods} = this.settings.loseAnswers;
		const names: readonly string[] = methods;
		if (probability === 0 || !names.includes(method)) {
			return false;
		}

		return unsafeUniformIntDistribution(0, randomSteps - 1, this.random) < probability * randomSteps;
	}

	/** Counts an append; false if this second has had too many. */
	takeAppend(): boolean {
		const second = Math.floor(Date.now() / 1000);
		if (second !== this.appendWindow) {
			this.appendWindow = second;
			this.appendCount = 0;
		}

		this.appendCount += 1;
		return this.appendCount <= this.settings.appendsPerSecond;
	}
}
