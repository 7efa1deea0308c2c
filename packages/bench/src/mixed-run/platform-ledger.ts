/** The platform stand-in's own ledger. */
import type {LocalFleet, PlatformLedgerEntry} from '@rhubarblever/stand-ins';

/** Reads what really happened on the platform so far. */
export async function readPlatformLedger(fleet: LocalFleet): Promise<readonly PlatformLedgerEntry[]> {
	const answer = await fleet.callPlatform('GET', '/v1/control/ledger') as {readonly entries: readonly PlatformLedgerEntry[]};
	return answer.entries;
}
