/** Tests of the platform client with a small HTTP server. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PlatformClient} from './platform-client.js';

/** A platform whose host list has an ETag that depends only on the length of the list. */
class FakePlatform {
	static async create(): Promise<FakePlatform> {
		const platform = new FakePlatform();
		await new Promise<void>(resolve => {
			platform.server.listen(0, '127.0.0.1', resolve);
		});
		return platform;
	}

	hostIds = ['runner-1'];
	readonly statuses: number[] = [];
	private readonly server: Server = createServer((request, response) => {
		const tag = `"${this.hostIds.length}"`;
		response.statusCode = request.headers['if-none-match'] === tag ? 304 : 200;
		this.statuses.push(response.statusCode);
		response.setHeader('etag', tag);
		response.end(response.statusCode === 304 ? undefined : JSON.stringify({hosts: this.describeHosts()}));
	});

	private constructor() {}

	get address(): string {
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private describeHosts() {
		return this.hostIds.map(hostId => ({
			hostId, role: 'runner', availabilityZone: 'zone-a', address: '127.0.0.1:1', service: 'routes', state: 'live',
		}));
	}
}

describe('the host list', () => {
	it('is transferred only when it has changed', async () => {
		const platform = await FakePlatform.create();
		const client = PlatformClient.create(platform.address);
		const readIds = async () => {
			const result = await client.listHosts();
			return result.match(hosts => hosts.map(host => host.hostId as string), fault => [fault.kind]);
		};

		try {
			expect([await readIds(), await readIds()]).toEqual([['runner-1'], ['runner-1']]);
			platform.hostIds = ['runner-1', 'runner-2'];
			expect([await readIds(), await readIds()]).toEqual([platform.hostIds, platform.hostIds]);
			expect(platform.statuses).toEqual([200, 304, 200, 304]);
		} finally {
			platform.close();
			await client.close();
		}
	});
});
