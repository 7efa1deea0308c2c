/** Effects that answer operators. */
import type {CallerKey, RecordId} from '../types/ids.js';
import type {Offset} from '../types/time.js';
import type {RecordOutcome} from './apply-record.js';

/** Offset and outcome of one published record. */
export type PublishedRecord = {
	readonly recordId: RecordId;
	readonly offset: Offset;
	readonly outcome: RecordOutcome;
};

export type PublishAnswerEffect = {
	readonly type: 'publish/answer';
	readonly callerKey: CallerKey;
	readonly published: readonly PublishedRecord[];
};

export type FleetEffect = PublishAnswerEffect;
