/**
 * Links between entry hosts: WebSockets (ws) with MessagePack (msgpackr). Each host connects to every other; a link carries messages
 * one way, from the host that opened it. All messages that one turn of Node's event loop sends to a peer go into one frame,
 * since the overhead of a frame is larger than the cost of its messages.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import {
	hostIdSchema, peerMessageSchema, type EntryHost, type HostId, type PeerMessage,
} from '@rhubarblever/core';
import {Packr} from 'msgpackr';
import {WebSocket, WebSocketServer, type RawData} from 'ws';
import {readClock} from '../clock.js';
import {hasToken} from '../http/token.js';
import type {Settings} from '../settings.js';
import type {EventSink} from '../types.js';
import {trackLiveness, type ReceiptListener} from './peer-socket.js';

const reconnectDelayMs = 500;
const handshakeTimeoutMs = 1000;
const maxMessageBytes = 16 * 1024 * 1024;
/** Limit of unsent bytes that a link buffers; while it is exceeded, new messages are dropped. */
const maxBufferedBytes = 8 * 1024 * 1024;
const peerPath = '/v1/peer';
const hostHeader = 'rhubarblever-host-id';

type OutgoingLink = {
	readonly peer: EntryHost;
	socket: WebSocket | undefined;
	/** To be called with the send time of a message that the peer has received over this link; undefined until the link is open. */
	noteReceipt: ReceiptListener | undefined;
	reconnectTimer: NodeJS.Timeout | undefined;
	/** Messages to be sent in one frame at the end of the present turn of Node's event loop. */
	outbox: PeerMessage[];
};

export class PeerLinks {
	static create(settings: Settings, push: EventSink): PeerLinks {
		return new PeerLinks(settings, push);
	}

	/** With `useRecords`, messages of the same shape share one list of field names per frame. */
	private readonly packr = new Packr({useRecords: true});
	private readonly links = new Map<HostId, OutgoingLink>();
	private readonly server = new WebSocketServer({noServer: true, maxPayload: maxMessageBytes});
	private isClosed = false;

	private constructor(private readonly settings: Settings, private readonly push: EventSink) {}

	/** Handles the WebSocket upgrade requests of an HTTP server. */
	acceptUpgrade(request: IncomingMessage, socket: Duplex, head: Uint8Array): void {
		const peer = hostIdSchema.safeParse(request.headers[hostHeader]);
		if (request.url !== peerPath || !peer.success || !hasToken(request, this.settings.peerToken)) {
			this.push({type: 'call/refused', at: readClock(), kind: 'unauthorized'});
			socket.end('HTTP/1.1 401 Unauthorized\r\n\r\n');
			return;
		}

		this.server.handleUpgrade(request, socket, Buffer.from(head), link => {
			this.receiveMessages(link, peer.data);
		});
	}

	/** Opens and closes links so that there is one to each of these hosts and to no others. */
	keepLinks(peers: readonly EntryHost[]): void {
		const wanted = new Set(peers.map(peer => peer.hostId));
		for (const hostId of this.links.keys()) {
			if (!wanted.has(hostId)) {
				this.removeLink(hostId);
			}
		}

		for (const peer of peers) {
			if (this.links.get(peer.hostId)?.peer.address !== peer.address) {
				this.removeLink(peer.hostId);
				const link: OutgoingLink = {
					peer, socket: undefined, noteReceipt: undefined, reconnectTimer: undefined, outbox: [],
				};
				this.links.set(peer.hostId, link);
				this.openSocket(link);
			}
		}
	}

	/** Sends a message to a peer. Drops it if the link is not open or its buffer is full. */
	send(peer: HostId, message: PeerMessage): void {
		const link = this.links.get(peer);
		if (link?.socket?.readyState !== WebSocket.OPEN || link.socket.bufferedAmount >= maxBufferedBytes) {
			return;
		}

		link.outbox.push(message);
		if (link.outbox.length === 1) {
			setImmediate(() => {
				this.sendOutbox(link);
			});
		}
	}

	close(): void {
		this.isClosed = true;
		this.keepLinks([]);
		for (const client of this.server.clients) {
			client.terminate();
		}
	}

	private sendOutbox(link: OutgoingLink): void {
		const messages = link.outbox;
		link.outbox = [];
		if (link.socket?.readyState === WebSocket.OPEN) {
			link.socket.send(this.packr.pack(messages));
		}
	}

	private removeLink(hostId: HostId): void {
		const link = this.links.get(hostId);
		this.links.delete(hostId);
		clearTimeout(link?.reconnectTimer);
		link?.socket?.terminate();
	}

	private openSocket(link: OutgoingLink): void {
		const socket = new WebSocket(`ws://${link.peer.address}${peerPath}`, {
			handshakeTimeout: handshakeTimeoutMs,
			maxPayload: maxMessageBytes,
			headers: {authorization: `Bearer ${this.settings.peerToken}`, [hostHeader]: this.settings.self.hostId},
		});
		link.socket = socket;
		link.noteReceipt = undefined;
		socket.on('open', () => {
			link.noteReceipt = trackLiveness(socket, 'dialling');
			this.push({type: 'peer/linked', at: readClock(), peer: link.peer.hostId});
		});
		socket.on('error', () => {
			socket.terminate();
		});
		socket.on('close', () => {
			if (link.socket !== socket) {
				return;
			}

			this.push({type: 'peer/unlinked', at: readClock(), peer: link.peer.hostId});
			this.scheduleReconnect(link);
		});
	}

	private scheduleReconnect(link: OutgoingLink): void {
		if (this.isClosed || this.links.get(link.peer.hostId) !== link) {
			return;
		}

		link.reconnectTimer = setTimeout(() => {
			this.openSocket(link);
		}, reconnectDelayMs);
	}

	private receiveMessages(socket: WebSocket, peer: HostId): void {
		trackLiveness(socket, 'accepting');
		socket.on('error', () => {
			socket.terminate();
		});
		socket.on('message', data => {
			const frame = this.decodeFrame(data);
			for (const message of Array.isArray(frame) ? frame as unknown[] : [frame]) {
				this.pushMessage(peer, message);
			}
		});
	}

	private pushMessage(peer: HostId, message: unknown): void {
		const parsed = peerMessageSchema.safeParse(message);
		if (parsed.success && 'heardAt' in parsed.data && parsed.data.heardAt !== undefined) {
			this.links.get(peer)?.noteReceipt?.(parsed.data.heardAt);
		}

		this.push(parsed.success
			? {
				type: 'peer/message', at: readClock(), peer, message: parsed.data,
			}
			: {type: 'peer/message-unknown', at: readClock(), peer});
	}

	private decodeFrame(data: RawData): unknown {
		try {
			return this.packr.unpack(data as Uint8Array) as unknown;
		} catch {
			return undefined;
		}
	}
}
