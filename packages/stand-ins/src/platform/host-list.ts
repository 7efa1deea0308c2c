/** The host list of the platform stand-in: lags, and names other addresses for those who ask through a view. */
import type {ListedHost} from '@rhubarblever/core';
import {z} from 'zod';
import {LaggingValue} from './lagging-value.js';
import type {WorkerReport, WorkerTable} from './workers.js';

/** A further address of the platform, at which the host list names other addresses for hosts: those of proxies. */
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

	/** Replaces the list; readers see it after the lag. */
	set(hosts: readonly ListedHost[]): void {
		this.workers.add(hosts);
		this.lists.record(hosts, Date.now());
	}

	/** Keeps a view; true if its address is new. */
	setView(view: HostListView): boolean {
		const isNew = !this.views.has(view.listen);
		this.views.set(view.listen, view);
		return isNew;
	}

	/** The list of `lagMs` ago as it is seen from the address that a caller reached. */
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
