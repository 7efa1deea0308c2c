/** HTTP client with JSON bodies, for the harness and the tests of the test doubles. */

/** Makes an HTTP call and parses the JSON answer; throws an error with the answer's text unless the status is 2xx. */
export async function callJson(method: string, url: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<unknown> {
	const response = await fetch(url, {
		method,
		headers: {...headers, 'content-type': 'application/json'},

		body: body === undefined ? null : JSON.stringify(body),
	});
	const text = await response.text();
	if (!response.ok) {
		throw new Error(`${method} ${url} answered ${response.status}: ${text}`);
	}

	return JSON.parse(text) as unknown;
}
