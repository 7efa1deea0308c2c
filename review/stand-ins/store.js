/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it: the calls that the system uses, and the limits of its settings. */
import {Buffer} from 'node:buffer';
import {answerJson, serve, sleep} from './network.js';

const lengthBytes = 4;
const offsetBytes = 8;
const bytesPerKb = 1024;
const defaultReadKb = 1024;
const maxItems = 500;
const maxPageBytes = 1_000_000;
const maxRepeats = 5;
const pollMs = 5;
const statusOk = 200;
const statusBad = 400;
const statusForbidden = 403;
const statusNotFound = 404;
const statusConflict = 409;
const statusGone = 410;
const statusPrecondition = 412;

/** The limits that the settings name under `platform`. */
export const storeLimits = {
	recordBytes: 262_144, callBytes: 2_097_152, appendMs: 2, keepMs: 300_000,
};

function splitRecords(bytes) {
	const records = [];
	let position = 0;
	while (position + lengthBytes <= bytes.length) {
		const length = bytes.readUInt32BE(position);
		records.push(bytes.subarray(position + lengthBytes, position + lengthBytes + length));
		position += lengthBytes + length;
	}

	return records;
}

function readKey(record) {
	const keyEnd = 1 + record[0];
	return {key: record.subarray(1, keyEnd).toString('utf8'), value: record.subarray(keyEnd)};
}

function encodeKeyed(key, value) {
	const keyBytes = Buffer.from(key, 'utf8');
	return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
}

class Topic {
	records = [];
	first = 0;
	newest = new Map();
	producers = new Map();
	/** Appends are processed one at a time. */
	queue = Promise.resolve();

	get end() {
		return this.first + this.records.length;
	}

	add(record) {
		const {key, value} = readKey(record);
		if (value.length > 0) {
			this.newest.set(key, {key, value, offset: this.end});
		} else {
			this.newest.delete(key);
		}

		this.records.push({bytes: record, at: performance.now()});
		while (this.records.length > 0 && this.records[0].at < performance.now() - storeLimits.keepMs) {
			this.records.shift();
			this.first++;
		}
	}
}

export class Store {
	static async start(address, record) {
		const store = new Store(record);
		store.server = await serve(address, async (request, response, body) => store.answer(request, response, body));
		store.address = address;
		return store;
	}

	topics = new Map();
	/** Appends that were refused because of their size. */
	oversized = 0;

	constructor(record) {
		this.record = record;
	}

	getTopic(name) {
		let topic = this.topics.get(name);
		if (!topic) {
			topic = new Topic();
			this.topics.set(name, topic);
		}

		return topic;
	}

	/** Writes one record of the operator or of a runner; without a value the key is dropped. */
	put(topicName, key, value) {
		this.getTopic(topicName).add(encodeKeyed(key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))));
	}

	/** The newest value of a key that is kept as JSON. */
	read(topicName, key) {
		const entry = this.getTopic(topicName).newest.get(key);
		return entry && JSON.parse(entry.value.toString('utf8'));
	}

	async answer(request, response, body) {
		const url = new URL(request.url, 'http://store');
		const query = url.searchParams;
		switch (url.pathname) {
			case '/v1/log-append': {
				const {status, answer} = await this.append(query, body);
				answerJson(response, status, answer);
				break;
			}

			case '/v1/log-read': {
				await this.readLog(query, response);
				break;
			}

			case '/v1/log-newest': {
				answerJson(response, statusOk, this.listNewest(query));
				break;
			}

			default: {
				answerJson(response, statusNotFound, {});
			}
		}
	}

	async append(query, body) {
		const name = query.get('topic');
		if (name === 'keyed.op' || name === 'keyed.servers') {
			return {status: statusForbidden, answer: {}};
		}

		const topic = this.getTopic(name);
		const turn = topic.queue.then(async () => {
			await sleep(storeLimits.appendMs);
			return this.appendNow(topic, query, body);
		});
		topic.queue = turn.catch(() => undefined);
		return turn;
	}

	appendNow(topic, query, body) {
		const records = splitRecords(body);
		const largest = Math.max(0, ...records.map(({length}) => length));
		const total = records.reduce((sum, {length}) => sum + length, 0);
		if (largest > storeLimits.recordBytes || total > storeLimits.callBytes) {
			// The page does not name the status of an append beyond the limits; nothing is appended.
			this.oversized++;
			if (this.oversized === 1) {
				this.record.note(`store: the first append beyond the limits is refused: topic ${query.get('topic')}, largest record ${largest} bytes, call ${total} bytes`);
			}

			return {status: statusBad, answer: {reason: 'size'}};
		}

		const refusal = this.checkProducer(topic, query);
		if (refusal) {
			return refusal;
		}

		const offset = topic.end;
		if (query.has('at') && Number(query.get('at')) !== offset) {
			return {status: statusPrecondition, answer: {end: offset}};
		}

		for (const record of records) {
			topic.add(Buffer.from(record));
		}

		const answer = {offset, end: topic.end};
		this.noteProducer(topic, query, answer);
		return {status: statusOk, answer};
	}

	checkProducer(topic, query) {
		const known = topic.producers.get(query.get('producer'));
		if (!query.has('producer') || !known) {
			return undefined;
		}

		const epoch = Number(query.get('epoch'));
		const sequence = Number(query.get('sequence'));
		if (epoch < known.epoch) {
			return {status: statusConflict, answer: {reason: 'fenced'}};
		}

		if (epoch > known.epoch) {
			return undefined;
		}

		const repeat = known.answers.find(entry => entry.sequence === sequence);
		if (repeat) {
			return {status: statusOk, answer: repeat.answer};
		}

		return sequence === known.sequence + 1 ? undefined : {status: statusConflict, answer: {reason: 'seq', sequence: known.sequence + 1}};
	}

	noteProducer(topic, query, answer) {
		if (!query.has('producer')) {
			return;
		}

		const epoch = Number(query.get('epoch'));
		const sequence = Number(query.get('sequence'));
		const known = topic.producers.get(query.get('producer'));
		const answers = known?.epoch === epoch ? known.answers : [];
		topic.producers.set(query.get('producer'), {epoch, sequence, answers: [...answers, {sequence, answer}].slice(-maxRepeats)});
	}

	async readLog(query, response) {
		const topic = this.getTopic(query.get('topic'));
		const from = Number(query.get('from'));
		const until = performance.now() + Number(query.get('wait-ms') ?? 0);
		while (topic.end <= from && performance.now() < until && !response.destroyed) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		if (from < topic.first) {
			answerJson(response, statusGone, {first: topic.first});
			return;
		}

		const head = Buffer.alloc(offsetBytes * 2);
		head.writeBigUInt64BE(BigInt(topic.end));
		head.writeBigUInt64BE(BigInt(topic.first), offsetBytes);
		const chunks = [head];
		let size = 0;
		const maxBytes = Number(query.get('max-kb') ?? defaultReadKb) * bytesPerKb;
		for (const {bytes} of topic.records.slice(from - topic.first)) {
			size += lengthBytes + bytes.length;
			if (chunks.length > 1 && size > maxBytes) {
				break;
			}

			const length = Buffer.alloc(lengthBytes);
			length.writeUInt32BE(bytes.length);
			chunks.push(length, bytes);
		}

		const body = Buffer.concat(chunks);
		response.writeHead(statusOk, {'content-type': 'application/octet-stream', 'content-length': body.length});
		response.end(body);
	}

	listNewest(query) {
		const topic = this.getTopic(query.get('topic'));
		const after = query.get('depends-on');
		const rest = [...topic.newest.values()].filter(({key}) => after === null || key > after).toSorted((a, b) => a.key < b.key ? -1 : 1);
		const items = [];
		let size = 0;
		for (const {key, value, offset} of rest) {
			const text = value.toString('base64');
			size += key.length + text.length;
			if (items.length >= maxItems || (items.length > 0 && size > maxPageBytes)) {
				break;
			}

			items.push({key, value: text, offset});
		}

		return {items, truncated: items.length < rest.length, end: topic.end};
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}
}
