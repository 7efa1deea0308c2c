/** The host list of the platform test double: answers with a lag, and with replaced host addresses to callers that use the address of a view. */
import type {ListedHost} from '@rhubarblever/core';
import {z} from 'zod';
import {LaggingValue} from './lagging-value.js';
import type {WorkerReport, WorkerTable} from './workers.js';

/** An additional address of the platform. The host list served there replaces host addresses, for example by those of proxies. */
export const hostListViewSchema = z.strictObject({
	listen: z.string(),
	addresses: z.record(z.string(), z.string()),
});
export type HostListView = z.infer<typeof hostListViewSchema>;

export class HostList {
	static create(workers: WorkerTable): HostList {
		return new HostList(workers);
	}

	private readonly lists = LaggingValue.create<readonly ListedHost[]>();
	private readonly views = new Map<string, HostListView>();

	private constructor(private readonly workers: WorkerTable) {}

	/** Replaces the list; callers get it after the configured lag. */
	set(hosts: readonly ListedHost[]): void {
		this.workers.add(hosts);
		this.lists.record(hosts, Date.now());
	}

	/** Adds or replaces a view; true if its address is new. */
	setView(view: HostListView): boolean {
		const isNew = !this.views.has(view.listen);
		this.views.set(view.listen, view);
		return isNew;
	}

	/** The list as of `lagMs` ago, without failed workers, as served at the address that the caller connected to. */
	list(lagMs: number, reachedAddress: string): ListedHost[] {
		const hosts = this.lists.read(Date.now() - lagMs) ?? [];
		const view = this.views.get(reachedAddress);
		const reports = new Map(this.workers.report(lagMs).workers.map(report => [report.hostId, report]));
		return hosts
			.filter(host => reports.get(host.hostId)?.state !== 'down')
			.map(host => ({
				...host,
				address: view?.addresses[host.hostId] ?? host.address,
				...describeWorker(reports.get(host.hostId), host.state),
			}));
	}
}

function describeWorker(report: WorkerReport | undefined, state: ListedHost['state']): Partial<ListedHost> {
	return report ? {pool: report.pool as ListedHost['pool'], state: report.state === 'up' ? state : 'leaving'} : {};
}
