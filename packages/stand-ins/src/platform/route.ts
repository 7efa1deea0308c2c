/** Types of routes, and helpers for their answers. */
import {describeIssues} from '@rhubarblever/core';
import type {z} from 'zod';
import type {Platform} from './platform.js';

export type RouteCall = {
	readonly platform: Platform;
	/** Path parameters: the capture groups of the route's pattern. */
	readonly parameters: readonly string[];
	readonly query: URLSearchParams;
	/** The parsed JSON body; undefined without one. */
	readonly body: unknown;
	/** Local address (`ip:port`) of the connection. */
	readonly reachedAddress: string;
	/** Listens on an additional address. */
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

/** Creates an error answer with a reason. */
export function answerError(status: number, detail: string): RouteAnswer {
	return {status, body: {detail}};
}

/** Validates the body before it calls the handler; an invalid body is answered with status 400 and the reason. */
export function acceptBody<Body>(schema: z.ZodType<Body>, handle: (call: RouteCall, body: Body) => RouteAnswer | Promise<RouteAnswer>): Route['handle'] {
	return async call => {
		const parsed = schema.safeParse(call.body);
		return parsed.success ? handle(call, parsed.data) : answerError(400, describeIssues(parsed.error));
	};
}
