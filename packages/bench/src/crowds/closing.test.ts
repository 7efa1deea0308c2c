/** Clients of a crowd whose host is closing their connections. */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Crowd} from './crowd.js';

/** The host closes a connection this long after it was opened: the crowd is open by then. */
const openMs = 300;
const closeLimitMs = 2000;

describe('a crowd whose host closes its connections', () => {
	/** Guards against a test process that never ends: a reset of a connection that is shutting down is refused, and its handle stays open for good. */
	it('closes a connection that is shutting down', async () => {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			setTimeout(() => {
				socket.end();
			}, openMs);
		});
		await once(server.listen(0, '127.0.0.1'), 'listening');
		const opened: {crowd?: Crowd} = {};
		const closed = new Promise<boolean>(resolve => {
			const noteSocket = (message: unknown) => {
				const {socket} = message as {socket: Socket};
				unsubscribe('net.client.socket', noteSocket);
				socket.once('close', () => {
					resolve(true);
				});
				socket.once('end', () => {
					socket.end();
					opened.crowd!.close();
				});
			};

			subscribe('net.client.socket', noteSocket);
			setTimeout(() => {
				resolve(false);
			}, closeLimitMs).unref();
		});
		opened.crowd = await Crowd.open({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections: 1, opening: new Uint8Array(1), isReading: true,
		});
		expect(await closed).toEqual(true);
		server.close();
	});
});
