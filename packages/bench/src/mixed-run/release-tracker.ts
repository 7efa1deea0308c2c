/** Follows the log during a run to record when each moving host was released by its old pool. Needed because log records expire. */
import {sleep, type LocalFleet} from '@rhubarblever/stand-ins';
import {waitForTimeout} from './timeout.js';

type LogPage = {readonly records: ReadonlyArray<{readonly offset: number; readonly at: number; readonly record: {readonly schema: string; readonly body: {readonly operationId?: string}}}>};

const intervalMs = 500;
const readTimeoutMs = 3000;
const pageRecords = 1000;

export class ReleaseTracker {
	static create(fleet: LocalFleet): ReleaseTracker {
		return new ReleaseTracker(fleet);
	}

	/** Time of release on the platform's clock, by the operation id of the move. */
	readonly releasedAt = new Map<string, number>();
	private nextOffset = 0;
	private isStopping = false;
	private readonly following: Promise<void>;

	private constructor(private readonly fleet: LocalFleet) {
		this.following = this.follow();
	}

	async stop(): Promise<void> {
		this.isStopping = true;
		await this.following;
	}

	private async follow(): Promise<void> {
		while (!this.isStopping) {
			// eslint-disable-next-line no-await-in-loop
			await this.readPage();
			// eslint-disable-next-line no-await-in-loop
			await sleep(intervalMs);
		}
	}

	private async readPage(): Promise<void> {
		const path = `/v1/streams/fleet/records?from=${this.nextOffset}&limit=${pageRecords}`;
		const call = this.fleet.callPlatform('GET', path).catch(() => undefined);
		const page = await Promise.race([call as Promise<LogPage | undefined>, waitForTimeout(readTimeoutMs)]);
		for (const {offset, at, record} of page?.records ?? []) {
			this.nextOffset = offset + 1;
			const operationId = record.schema === 'move-released' ? record.body.operationId : undefined;
			if (operationId !== undefined && !this.releasedAt.has(operationId)) {
				this.releasedAt.set(operationId, at);
			}
		}
	}
}
