/** The readers of a host's streams: which streams it reads, how often, and who receives their records. */
import {intakeStream, ledgerStream} from './codec.js';
import type {DecisionLog} from './decision-log.js';
import type {FollowTimes} from './follow-times.js';
import type {SchedulerPorts} from './ports.js';
import type {RecordEvents} from './record-events.js';
import {StreamReader, type StreamReaderHandlers, type StreamReaderOptions} from './stream-reader.js';

/** Long-poll time of reads. A dead connection to the store is noticed shortly after this. */
const readWaitMs = 1000;
/** Pause between ledger reads on a host that is not the leader. Questions of callers do not wait for it. */
const ledgerPauseMs = 500;
/** Added on a host with no capacity to spare, which leaves claims of leadership to others. */
const shortfallLedgerPauseMs = 1000;
const workerPauseMs = 250;

export type StreamReaders = {readonly operator: StreamReader; readonly intake: StreamReader; readonly ledger: StreamReader; readonly workers: StreamReader; readonly status: StreamReader};

export type StreamReadersOptions = {
	readonly ports: Pick<SchedulerPorts, 'store' | 'codec'>;
	readonly log: DecisionLog;
	readonly events: RecordEvents;
	readonly intakeTimes: FollowTimes;
	readonly configTimes: FollowTimes;
	readonly capacityShortfall: number;
	/** A leader reads other streams than a follower. */
	readonly isLeader: () => boolean;
};

export function createStreamReaders({
	ports: {store, codec}, log, events, intakeTimes, configTimes, capacityShortfall, isLeader,
}: StreamReadersOptions): StreamReaders {
	const createReader = (stream: string, handlers: StreamReaderHandlers, options: Partial<Pick<StreamReaderOptions, 'waitMs' | 'pauseMs' | 'isEnabled' | 'isUrgent'>>) => StreamReader.create(store, {
		stream, waitMs: () => readWaitMs, pauseMs: () => 0, isEnabled: () => true, isUrgent: () => false, log, ...options,
	}, handlers);
	const readers: StreamReaders = {
		operator: createReader(codec.operatorStream, {
			handleLoaded(records) {
				events.applyOperatorRecords(records, true);
			},
			handleRead(records) {
				events.applyOperatorRecords(records, false);
			},
		}, {waitMs: () => configTimes.waitMs}),
		intake: createReader(intakeStream, {
			handleLoaded(records) {
				events.applyIntakeRecords(records, readers.intake.view.completeAt);
				// The ledger is read once the jobs are known.
				readers.ledger.wake();
			},
			handleRead(records) {
				events.applyIntakeRecords(records, readers.intake.view.completeAt);
			},
		}, {waitMs: () => intakeTimes.waitMs, pauseMs: () => isLeader() ? 0 : intakeTimes.pauseMs, isUrgent: isLeader}),
		ledger: createReader(ledgerStream, {
			handleLoaded(records, nextOffset) {
				events.applyLedgerRecords('ledger/loaded', records, nextOffset);
			},
			handleRead(records, nextOffset) {
				events.applyLedgerRecords('ledger/read', records, nextOffset);
			},
		}, {pauseMs: () => ledgerPauseMs + (capacityShortfall * shortfallLedgerPauseMs), isEnabled: () => !isLeader() && readers.intake.view.hasAnswer()}),
		workers: createReader(codec.workerStream, {
			handleLoaded(records) {
				events.applyWorkerRecords(records, true);
			},
			handleRead(records) {
				events.applyWorkerRecords(records, false);
			},
		}, {pauseMs: () => workerPauseMs, isEnabled: isLeader}),
		status: createReader(codec.statusStream, {
			handleLoaded(records) {
				events.applyStatusRecords(records);
			},
			handleRead(records) {
				events.applyStatusRecords(records);
			},
		}, {isEnabled: isLeader, pauseMs: () => readWaitMs}),
	};
	return readers;
}
