/** What the platform stand-in tells after a run. */
import type {LocalFleet, PlatformLedgerEntry} from '@rhubarblever/stand-ins';

type LogPage = {readonly records: ReadonlyArray<{readonly at: number; readonly record: {readonly schema: string; readonly body: {readonly operationId?: string}}}>};

/** The platform's ledger. */
export async function readPlatformLedger(fleet: LocalFleet): Promise<readonly PlatformLedgerEntry[]> {
	const answer = await fleet.callPlatform('GET', '/v1/control/ledger') as {readonly entries: readonly PlatformLedgerEntry[]};
	return answer.entries;
}

/** When each move's host was released by its pool, from the log. */
export async function readReleases(fleet: LocalFleet): Promise<Map<string, number>> {
	const releasedAt = new Map<string, number>();
	let from = 0;
	let page: LogPage;
	do {
		// eslint-disable-next-line no-await-in-loop
		page = await fleet.callPlatform('GET', `/v1/streams/fleet/records?from=${from}&limit=1000`) as LogPage;
		for (const {at, record} of page.records) {
			const operationId = record.schema === 'move-released' ? record.body.operationId : undefined;
			if (operationId !== undefined && !releasedAt.has(operationId)) {
				releasedAt.set(operationId, at);
			}
		}

		from += page.records.length;
	} while (page.records.length > 0);

	return releasedAt;
}
