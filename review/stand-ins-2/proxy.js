/** A TCP proxy before a runner. While it is cut, no byte passes in either direction and nothing is reset: new channels hang too. Bytes of a channel that its sender has closed meanwhile are lost. */
import {connect, createServer} from 'node:net';

export class Proxy {
	static async start(address, target) {
		const proxy = new Proxy(target);
		const [ip, port] = address.split(':');
		await new Promise((resolve, reject) => {
			proxy.server.once('error', reject);
			proxy.server.listen(Number(port), ip, resolve);
		});
		return proxy;
	}

	isCut = false;
	channels = new Set();

	constructor(target) {
		this.target = target;
		this.server = createServer({noDelay: true, pauseOnConnect: true}, client => {
			this.accept(client);
		});
	}

	cut() {
		this.isCut = true;
		for (const {client, runner} of this.channels) {
			client.pause();
			runner?.pause();
		}
	}

	heal() {
		this.isCut = false;
		for (const channel of this.channels) {
			this.forward(channel);
		}
	}

	close() {
		this.server.close();
		for (const {client, runner} of this.channels) {
			client.destroy();
			runner?.destroy();
		}
	}

	accept(client) {
		const channel = {client, runner: undefined};
		this.channels.add(channel);
		client.on('error', () => {});
		client.on('close', () => {
			this.channels.delete(channel);
			channel.runner?.destroy();
		});
		if (!this.isCut) {
			this.forward(channel);
		}
	}

	forward(channel) {
		channel.runner ??= this.connect(channel);
		channel.client.resume();
		channel.runner.resume();
	}

	connect({client}) {
		const [host, port] = this.target.split(':');
		const runner = connect({host, port: Number(port), noDelay: true});
		client.on('data', bytes => {
			runner.write(bytes);
		});
		runner.on('data', bytes => {
			client.write(bytes);
		});
		runner.on('error', () => {
			client.resetAndDestroy();
		});
		runner.on('close', () => {
			client.destroy();
		});
		return runner;
	}
}
