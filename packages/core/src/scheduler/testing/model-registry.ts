/** The registry of the model: the latest report of each worker. */
import type {WorkerEntry} from '../types.js';
import type {ModelWorker} from './model-worker.js';

/** An entry goes when its worker has been silent for so many intervals. */
const silentIntervals = 3;

type Report = {readonly entry: WorkerEntry; readonly at: number};

export class ModelRegistry {
	/** `intervalMs`: of a worker's reports; with 0 the registry always shows the workers as they are. */
	static create(workers: readonly ModelWorker[], intervalMs: number): ModelRegistry {
		return new ModelRegistry(workers, intervalMs);
	}

	private readonly reports = new Map<ModelWorker, Report>();
	/** The incarnation that reports, and when it does so next. */
	private readonly nextReports = new Map<ModelWorker, {bornAt: number; at: number}>();

	private constructor(private readonly workers: readonly ModelWorker[], private readonly intervalMs: number) {}

	/** Takes the reports that are due. A new incarnation reports first after one interval. */
	advance(now: number): void {
		if (this.intervalMs === 0) {
			return;
		}

		for (const worker of this.workers) {
			if (worker.isUp) {
				this.takeReport(worker, now);
			}

			const report = this.reports.get(worker);
			if (report && now - report.at > silentIntervals * this.intervalMs) {
				this.reports.delete(worker);
			}
		}
	}

	listEntries(): WorkerEntry[] {
		return this.intervalMs === 0 ? this.workers.filter(({isUp}) => isUp).map(worker => worker.createEntry()) : [...this.reports.values()].map(({entry}) => entry);
	}

	private takeReport(worker: ModelWorker, now: number): void {
		const next = this.nextReports.get(worker);
		const isFirst = next === undefined;
		if (next?.bornAt !== worker.bornAt) {
			this.nextReports.set(worker, {bornAt: worker.bornAt, at: isFirst ? now : now + this.intervalMs});
		}

		const due = this.nextReports.get(worker)!;
		if (now >= due.at) {
			due.at = now + this.intervalMs;
			if (!worker.isCut) {
				this.reports.set(worker, {entry: worker.createEntry(), at: now});
			}
		}
	}
}
