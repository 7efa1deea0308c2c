/** The burn report of one entry host, and the merge of the reports of several hosts. */
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {z} from 'zod';
import {
	hostIdSchema, serviceIdSchema, type HostId, type ServiceId,
} from '../types/ids.js';
import type {State} from '../types/state.js';
import {instantSchema, type Instant} from '../types/time.js';
import {objectiveBodyV1, type ObjectiveBody} from './bodies.js';
import type {ServiceBurn} from './state.js';

const reportedMinuteSchema = z.object({
	startsAt: instantSchema,
	good: z.number(),
	bad: z.number(),
	badByCause: z.record(z.string(), z.number()),
});
/** Good and bad answers of one minute, the bad ones by cause. */
export type ReportedMinute = z.infer<typeof reportedMinuteSchema>;

/** The answer of GET /v1/burn. Histograms (of milliseconds) are compressed and base64-encoded, one per hour. */
export const hostBurnSchema = z.object({
	hostId: hostIdSchema,
	since: instantSchema.optional(),
	now: instantSchema,
	services: z.array(z.object({
		service: serviceIdSchema,
		objective: objectiveBodyV1.optional(),
		minutes: z.array(reportedMinuteSchema),
		histograms: z.array(z.string()),
	})),
});
export type HostBurn = z.infer<typeof hostBurnSchema>;

/** This host's own report. It also lists services that have an objective but no answers yet. */
export function describeBurn(state: State): HostBurn {
	const services = new Set([...state.fleet.objectives.keys(), ...state.burn.services.keys()]);
	return {
		hostId: state.settings.self.hostId,
		since: state.burn.since,
		now: state.now,
		services: [...services].map(service => ({
			service,
			objective: state.fleet.objectives.get(service)?.body,
			...describeServiceBurn(state.burn.services.get(service)),
		})),
	};
}

function describeServiceBurn(burn: ServiceBurn | undefined): {minutes: ReportedMinute[]; histograms: string[]} {
	return {
		minutes: (burn?.buckets ?? []).map(bucket => ({...bucket, badByCause: Object.fromEntries(bucket.badByCause)})),
		histograms: (burn?.latencies ?? []).map(bucket => encodeIntoCompressedBase64(bucket.histogram)),
	};
}

/** The merged burn report of one service over all hosts that reported. */
export type MergedBurn = {
	readonly service: ServiceId;
	objective: ObjectiveBody | undefined;
	readonly minutes: ReportedMinute[];
	readonly latencies: Histogram;
};

/** Merges the reports of several hosts by service. */
export function mergeBurns(reports: readonly HostBurn[]): MergedBurn[] {
	const merged = new Map<ServiceId, MergedBurn>();
	for (const report of reports) {
		for (const {service, objective, minutes, histograms} of report.services) {
			const burn = merged.get(service) ?? createMergedBurn(service);
			merged.set(service, burn);
			burn.objective ??= objective;
			for (const minute of minutes) {
				addMinute(burn.minutes, minute);
			}

			for (const text of histograms) {
				burn.latencies.add(decodeFromCompressedBase64(text));
			}
		}
	}

	return [...merged.values()].toSorted((a, b) => a.service.localeCompare(b.service));
}

/** The earliest instant since which all reporting hosts have counted. */
export function getCoveredSince(reports: readonly HostBurn[]): Instant | undefined {
	const starts = reports.map(report => report.since ?? report.now);
	return starts.length === 0 ? undefined : Math.max(...starts) as Instant;
}

/** Ids of the hosts that reported. */
export function listReporters(reports: readonly HostBurn[]): HostId[] {
	return reports.map(report => report.hostId).toSorted();
}

function createMergedBurn(service: ServiceId): MergedBurn {
	return {
		service, objective: undefined, minutes: [], latencies: build({bitBucketSize: 32, numberOfSignificantValueDigits: 2}),
	};
}

function addMinute(minutes: ReportedMinute[], added: ReportedMinute): void {
	const index = minutes.findIndex(minute => minute.startsAt >= added.startsAt);
	const same = index === -1 ? undefined : minutes[index];
	if (same?.startsAt !== added.startsAt) {
		minutes.splice(index === -1 ? minutes.length : index, 0, {...added, badByCause: {...added.badByCause}});
		return;
	}

	same.good += added.good;
	same.bad += added.bad;
	for (const [cause, count] of Object.entries(added.badByCause)) {
		same.badByCause[cause] = (same.badByCause[cause] ?? 0) + count;
	}
}
