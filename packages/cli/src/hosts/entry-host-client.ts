/** Calls to entry hosts on behalf of an operator. Failures are returned, not thrown. */
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import {createFailure, type Failure} from '../failure.js';

const callTimeoutMs = 8000;
const firstErrorStatus = 300;

const problemSchema = z.object({type: z.string(), title: z.string(), detail: z.string()});

/** One call; `body` makes it a POST. */
export type EntryHostCall = {
	readonly host: string;
	readonly token: string;
	readonly path: string;
	readonly body?: unknown;
};

/** Calls an entry host and validates its answer. */
export async function fetchAnswer<Answer>(call: EntryHostCall, schema: z.ZodType<Answer>): Promise<Result<Answer, Failure>> {
	let status: number;
	let answer: unknown;
	try {
		const response = await request(`http://${call.host}${call.path}`, {
			method: call.body === undefined ? 'GET' : 'POST',
			headers: {authorization: `Bearer ${call.token}`, 'content-type': 'application/json'},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			signal: AbortSignal.timeout(callTimeoutMs),
		});
		status = response.statusCode;
		answer = await response.body.json();
	} catch (error) {
		return err(createFailure('unreachable', `entry host ${call.host} does not answer: ${describeError(error)}`));
	}

	if (status >= firstErrorStatus) {
		return err(createFailure('refused', describeProblem(status, answer)));
	}

	const parsed = schema.safeParse(answer);
	return parsed.success
		? ok(parsed.data)
		: err(createFailure('refused', `entry host ${call.host} answered in an unknown shape; is it of another version?`));
}

function describeError(error: unknown): string {
	return error instanceof Error ? error.message : 'unknown error';
}

function describeProblem(status: number, answer: unknown): string {
	const problem = problemSchema.safeParse(answer);
	return problem.success
		? `${problem.data.title} (${problem.data.type}): ${problem.data.detail}`
		: `the entry host answered with status ${status}`;
}
