/** Shapes of routes and their answers. */
import {describeIssues} from '@rhubarblever/core';
import type {z} from 'zod';
import type {Platform} from './platform.js';

export type RouteCall = {
	readonly platform: Platform;
	/** What the route's pattern captured from the path. */
	readonly parameters: readonly string[];
	readonly query: URLSearchParams;
	/** The parsed JSON body; undefined without one. */
	readonly body: unknown;
	/** `ip:port` that the caller reached. */
	readonly reachedAddress: string;
	/** Listens on a further address. */
	readonly listenOn: (address: string) => Promise<void>;
};

export type RouteAnswer = {readonly status: number; readonly body: unknown};

export type Route = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly pattern: RegExp;
	readonly handle: (call: RouteCall) => RouteAnswer | Promise<RouteAnswer>;
};

export function answerOk(body: unknown): RouteAnswer {
	return {status: 200, body};
}

/** An answer that names what was wrong with a call. */
export function answerFault(status: number, detail: string): RouteAnswer {
	return {status, body: {detail}};
}

/** Checks a body; the handler sees only good ones, bad ones are answered with status 400 and the reason. */
export function acceptBody<Body>(schema: z.ZodType<Body>, handle: (call: RouteCall, body: Body) => RouteAnswer | Promise<RouteAnswer>): Route['handle'] {
	return async call => {
		const parsed = schema.safeParse(call.body);
		return parsed.success ? handle(call, parsed.data) : answerFault(400, describeIssues(parsed.error));
	};
}
