/** A bound for calls that may never end. */

/** Resolves with nothing after a time. Holds no process open. */
export async function waitUntilGivenUp(timeoutMs: number): Promise<undefined> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, timeoutMs).unref();
	});
	return undefined;
}
