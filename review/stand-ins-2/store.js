/** Stand-in of the platform's store (form `log`), as PROTOCOL.md describes it: partition 0 of each topic is kept in memory. */
import {Buffer} from 'node:buffer';
import {
	readBytes, sendJson, sleep, startServer,
} from './http.js';

const lengthBytes = 4;
const offsetBytes = 8;
const maxItems = 500;
const maxItemBytes = 1_048_576;
const keptAppends = 5;
const pollMs = 5;
/** The store's usual time for an answer. */
const answerMs = 4;
const closedTopics = new Set(['keyed.op', 'keyed.servers']);

function splitRecords(bytes) {
	const records = [];
	for (let position = 0; position + lengthBytes <= bytes.length;) {
		const length = bytes.readUInt32BE(position);
		position += lengthBytes;
		records.push(bytes.subarray(position, position + length));
		position += length;
	}

	return records;
}

function addLength(record) {
	const head = Buffer.alloc(lengthBytes);
	head.writeUInt32BE(record.length);
	return Buffer.concat([head, record]);
}

export class Store {
	static async start(address) {
		const store = new Store();
		store.server = await startServer(address, async (request, response) => store.answer(request, response));
		return store;
	}

	topics = new Map();
	server = undefined;

	/** Writes one keyed record, as operators and runners do; without a value the key is dropped. */
	put(topic, key, value) {
		const keyBytes = Buffer.from(key);
		const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
		this.addRecord(this.getTopic(topic), Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, body]));
	}

	/** The newest value of a key, as text. */
	getNewest(topic, key) {
		return this.getTopic(topic).newest.get(key)?.value.toString('utf8');
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}

	getTopic(name) {
		const known = this.topics.get(name) ?? {records: [], newest: new Map(), producers: new Map()};
		this.topics.set(name, known);
		return known;
	}

	addRecord(topic, record) {
		const keyEnd = 1 + record[0];
		const key = record.subarray(1, keyEnd).toString('utf8');
		topic.newest.delete(key);
		if (record.length > keyEnd) {
			topic.newest.set(key, {value: record.subarray(keyEnd), offset: topic.records.length});
		}

		topic.records.push(record);
	}

	async answer(request, response) {
		const url = new URL(request.url, 'http://store');
		const bytes = await readBytes(request);
		await sleep(answerMs);
		switch (url.pathname) {
			case '/v1/log-append': {
				const {status, body} = this.append(url.searchParams, bytes);
				sendJson(response, status, body);
				return;
			}

			case '/v1/log-read': {
				await this.read(url.searchParams, response);
				return;
			}

			case '/v1/log-newest': {
				sendJson(response, 200, this.listNewest(url.searchParams));
				return;
			}

			default: {
				sendJson(response, 404, {});
			}
		}
	}

	append(query, bytes) {
		const name = query.get('topic');
		if (closedTopics.has(name)) {
			return {status: 403, body: {}};
		}

		const topic = this.getTopic(name);
		const end = topic.records.length;
		const producer = query.get('producer');
		const epoch = Number(query.get('epoch'));
		const sequence = Number(query.get('sequence'));
		const known = producer === null ? undefined : topic.producers.get(producer);
		if (known && epoch < known.epoch) {
			return {status: 409, body: {reason: 'fenced'}};
		}

		if (known && epoch === known.epoch) {
			const repeated = known.latest.find(entry => entry.sequence === sequence);
			if (repeated) {
				return {status: 200, body: repeated.body};
			}

			const expected = known.latest.at(-1).sequence + 1;
			if (sequence !== expected) {
				return {status: 409, body: {reason: 'seq', sequence: expected}};
			}
		}

		const at = query.get('at');
		if (at !== null && Number(at) !== end) {
			return {status: 412, body: {end}};
		}

		for (const record of splitRecords(bytes)) {
			this.addRecord(topic, Buffer.from(record));
		}

		const body = {offset: end, end: topic.records.length};
		if (producer !== null) {
			const latest = known?.epoch === epoch ? known.latest : [];
			topic.producers.set(producer, {epoch, latest: [...latest, {sequence, body}].slice(-keptAppends)});
		}

		return {status: 200, body};
	}

	async read(query, response) {
		const topic = this.getTopic(query.get('topic'));
		const from = Number(query.get('from'));
		const deadline = performance.now() + Number(query.get('wait-ms') ?? 0);
		while (topic.records.length <= from && performance.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		const head = Buffer.alloc(offsetBytes * 2);
		head.writeBigUInt64BE(BigInt(topic.records.length));
		const page = [];
		let bytes = 0;
		const maxBytes = Number(query.get('max-kb') ?? 1024) * 1024;
		for (const record of topic.records.slice(from)) {
			bytes += lengthBytes + record.length;
			if (page.length > 0 && bytes > maxBytes) {
				break;
			}

			page.push(addLength(record));
		}

		response.end(Buffer.concat([head, ...page]));
	}

	listNewest(query) {
		const topic = this.getTopic(query.get('topic'));
		const after = query.get('depends-on');
		const rest = [...topic.newest].filter(([key]) => after === null || key > after).toSorted(([a], [b]) => a < b ? -1 : 1);
		const items = [];
		let bytes = 0;
		for (const [key, {value, offset}] of rest.slice(0, maxItems)) {
			bytes += key.length + value.length;
			if (items.length > 0 && bytes > maxItemBytes) {
				break;
			}

			items.push({key, value: value.toString('base64'), offset});
		}

		return {items, truncated: items.length < rest.length, end: topic.records.length};
	}
}
