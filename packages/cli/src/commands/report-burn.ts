/** `report burn`: shows the remaining error budget of each service, merged over all reachable entry hosts. */
import {writeFile} from 'node:fs/promises';
import {
	alarmRules, computeBudgetLeft, computeBurnRate, countAnswers, getCoveredSince, hostBurnSchema, listReporters, mergeBurns,
	type HostBurn, type Instant, type MergedBurn,
} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '../failure.js';
import {fetchAnswer} from '../hosts/entry-host-client.js';
import {listEntryHosts} from '../hosts/entry-hosts.js';
import {renderBurnPage} from '../output/burn-page.js';
import {formatTable} from '../output/table.js';
import type {Settings} from '../settings.js';

/** The report on one service. Latencies are in milliseconds, over all kept hours (up to 7) and not only the window; a burn rate of 1 spends the budget exactly over the window. */
export type ServiceReport = {
	readonly service: string;
	readonly goodShare: number | undefined;
	readonly windowMinutes: number;
	readonly good: number;
	readonly bad: number;
	readonly budgetLeft: number | undefined;
	readonly shortRate: number | undefined;
	readonly longRate: number | undefined;
	readonly p50: number;
	readonly p99: number;
	readonly causes: ReadonlyArray<{readonly cause: string; readonly count: number}>;
	readonly minutes: ReadonlyArray<{readonly startsAt: number; readonly good: number; readonly bad: number}>;
};

export type BurnReport = {
	readonly at: string;
	/** Every host in `askedHosts` has counted answers since this time. */
	readonly coveredSince: string | undefined;
	/** Only the hosts that sent a valid report, although the name and the printed text say "asked". */
	readonly askedHosts: readonly string[];
	/** Hosts without a report: unreachable, or their answer was an error or malformed. */
	readonly unreachableHosts: readonly string[];
	readonly services: readonly ServiceReport[];
};

const defaultWindowMinutes = 60;
const fastRule = alarmRules[0];

/** Returns the report as text or JSON; if `htmlPath` is given, also writes it there as an HTML page. */
export async function reportBurn(settings: Settings, htmlPath: string | undefined, now: Instant): Promise<Result<string, Failure>> {
	const report = await fetchReport(settings, now);
	if (report.isErr()) {
		return err(report.error);
	}

	if (htmlPath !== undefined) {
		try {
			await writeFile(htmlPath, renderBurnPage(report.value));
		} catch (error) {
			return err(createFailure('usage', `${htmlPath}: cannot be written: ${(error as Error).message}`));
		}
	}

	return ok(settings.isJson ? JSON.stringify(report.value, undefined, '\t') : formatReport(report.value));
}

async function fetchReport(settings: Settings, now: Instant): Promise<Result<BurnReport, Failure>> {
	const hosts = await listEntryHosts(settings);
	if (hosts.isErr()) {
		return err(hosts.error);
	}

	const answers = await Promise.all(hosts.value.map(async host => ({
		host,
		burn: await fetchAnswer({host: host.address, token: settings.token, path: '/v1/burn'}, hostBurnSchema),
	})));
	const burns = answers.flatMap(({burn}) => burn.isOk() ? [burn.value] : []);
	const hostsWithoutReport = answers.filter(({burn}) => burn.isErr()).map(({host}) => host.hostId);
	return ok(buildReport(burns, hostsWithoutReport, now));
}

/** Merges the hosts' reports into one. */
export function buildReport(burns: readonly HostBurn[], unreachableHosts: readonly string[], now: Instant): BurnReport {
	const since = getCoveredSince(burns);
	return {
		at: new Date(now).toISOString(),
		coveredSince: since === undefined ? undefined : new Date(since).toISOString(),
		askedHosts: listReporters(burns),
		unreachableHosts,
		services: mergeBurns(burns).map(burn => buildServiceReport(burn, now)),
	};
}

function buildServiceReport(burn: MergedBurn, now: Instant): ServiceReport {
	const goodShare = burn.objective?.goodShare;
	const windowMinutes = burn.objective?.windowMinutes ?? defaultWindowMinutes;
	const computeRate = (minutes: number) => goodShare === undefined ? undefined : computeBurnRate(burn.minutes, now, minutes, goodShare);
	return {
		service: burn.service,
		goodShare,
		windowMinutes,
		...countAnswers(burn.minutes, now, windowMinutes),
		budgetLeft: goodShare === undefined ? undefined : computeBudgetLeft(burn.minutes, now, windowMinutes, goodShare),
		shortRate: computeRate(fastRule.shortMinutes),
		longRate: computeRate(fastRule.longMinutes),
		p50: burn.latencies.getValueAtPercentile(50),
		p99: burn.latencies.getValueAtPercentile(99),
		causes: countCauses(burn),
		minutes: burn.minutes.map(({startsAt, good, bad}) => ({startsAt, good, bad})),
	};
}

function countCauses(burn: MergedBurn): Array<{cause: string; count: number}> {
	const counts = new Map<string, number>();
	for (const minute of burn.minutes) {
		for (const [cause, count] of Object.entries(minute.badByCause)) {
			counts.set(cause, (counts.get(cause) ?? 0) + count);
		}
	}

	return [...counts].map(([cause, count]) => ({cause, count})).toSorted((a, b) => b.count - a.count);
}

/** Formats a share as a percentage, or as a dash if it is undefined. */
export function formatShare(share: number | undefined): string {
	return share === undefined ? '-' : `${(share * 100).toFixed(1)}%`;
}

function formatRate(rate: number | undefined): string {
	return rate === undefined ? '-' : rate.toFixed(2);
}

function formatReport(report: BurnReport): string {
	const rows = report.services.map(service => [
		service.service,
		formatShare(service.goodShare),
		`${service.windowMinutes} min`,
		String(service.good),
		String(service.bad),
		formatShare(service.budgetLeft),
		formatRate(service.shortRate),
		formatRate(service.longRate),
		`${service.p50} ms`,
		`${service.p99} ms`,
		service.causes.map(({cause, count}) => `${cause} ${count}`).join(', '),
	]);
	const header = ['service', 'objective', 'window', 'good', 'bad', 'budget left', 'rate 5 min', 'rate 60 min', 'p50', 'p99', 'burned by'];
	return [
		`asked: ${report.askedHosts.join(', ') || 'none'}`,
		`could not be asked: ${report.unreachableHosts.join(', ') || 'none'}`,
		`counted since: ${report.coveredSince ?? '-'}`,
		formatTable(header, rows),
	].join('\n');
}
