/** A timeout for calls that may never finish. */

/** Resolves with undefined after the timeout. The timer does not keep the process running. */
export async function waitForTimeout(timeoutMs: number): Promise<undefined> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, timeoutMs).unref();
	});
	return undefined;
}
