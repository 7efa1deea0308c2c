/** The target stand-in: a runner with slots that answers each attempt with a digest of its own request, and keeps a ledger. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {listen, readBytes, sendJson} from '../http.js';

export type TargetOptions = {
	readonly ip: string;
	readonly port: number;
	readonly slots: number;
};

/** One start of a request on the target. Instants in milliseconds since the epoch. */
export type LedgerEntry = {
	readonly requestId: string;
	readonly attemptId: string;
	readonly startedAt: number;
	endedAt: number | undefined;
};

/** What the target is asked to do with a request. */
type Work = {readonly runMs: number};

const attemptHeader = 'rhubarblever-attempt-id';

/** The answer that belongs to a request: a digest of its id and body. */
export function computeAnswer(requestId: string, body: Uint8Array): string {
	return createHash('sha256').update(requestId).update(body).digest('hex');
}

export class TargetServer {
	static async create(options: TargetOptions): Promise<TargetServer> {
		const target = new TargetServer(options);
		await listen(target.server, options.ip, options.port);
		return target;
	}

	private readonly ledger: LedgerEntry[] = [];
	private running = 0;
	private readonly server = createServer((request, response) => {
		void this.answer(request, response);
	});

	private constructor(private readonly options: TargetOptions) {}

	private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/ledger') {
			sendJson(response, 200, {entries: this.ledger});
			return;
		}

		const attemptId = String(request.headers[attemptHeader]);
		const requestId = String(request.headers['idempotency-key']);
		const body = await readBytes(request);
		response.setHeader(attemptHeader, attemptId);
		if (this.running >= this.options.slots) {
			response.setHeader('rhubarblever-not-run', 'true');
			sendJson(response, 503, {});
			return;
		}

		const entry: LedgerEntry = {
			requestId, attemptId, startedAt: Date.now(), endedAt: undefined,
		};
		this.ledger.push(entry);
		this.running += 1;
		await this.work(body);
		this.running -= 1;
		entry.endedAt = Date.now();
		response.end(computeAnswer(requestId, body));
	}

	private async work(body: Uint8Array): Promise<void> {
		const {runMs} = parseWork(body);
		await new Promise(resolve => {
			setTimeout(resolve, runMs);
		});
	}
}

function parseWork(body: Uint8Array): Work {
	try {
		return JSON.parse(Buffer.from(body).toString('utf8')) as Work;
	} catch {
		return {runMs: 1};
	}
}
