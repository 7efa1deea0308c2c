/** Handlers of messages about slots, by type, and of ticks. */
import {acceptRecall} from '../requests/kept-slots.js';
import {acceptGrant, acceptRefusal} from '../requests/slot-asks.js';
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {acceptGossip, tickGossip} from './gossip.js';
import type {SlotMessage, SlotMessageOf, SlotMessageType} from './messages.js';
import {tickReports} from './reports.js';
import {
	acceptAsk, acceptRelease, acceptReport, tickStewards,
} from './steward.js';

type Sender = {readonly hostId: HostId};
type SlotMessageHandler<Type extends SlotMessageType> = (state: State, sender: Sender, message: SlotMessageOf<Type>) => Effect[];

export const slotMessageHandlers: {readonly [Type in SlotMessageType]: SlotMessageHandler<Type>} = {
	'slot-ask': (state, {hostId}, message) => acceptAsk(state, hostId, message.ask),
	'slot-grant': (state, {hostId}, message) => acceptGrant(state, hostId, message),
	'slot-recall': (state, {hostId}, message) => acceptRecall(state, hostId, message),
	'slot-refuse': (state, {hostId}, message) => acceptRefusal(state, hostId, message),
	'slot-release': (state, {hostId}, message) => acceptRelease(state, hostId, message),
	'slot-report': (state, {hostId}, message) => acceptReport(state, hostId, message),
	'slot-gossip': (state, {hostId}, message) => acceptGossip(state, hostId, message),
};

/** Runs the periodic work of stewards, reports and gossip. */
export function tickSlots(state: State): Effect[] {
	return [...tickStewards(state), ...tickReports(state), ...tickGossip(state)];
}

/** Handles the slot messages that this host sends to itself, and those that their handlers send in turn. Returns all other effects. */
export function handleLocalMessages(state: State, effects: readonly Effect[]): Effect[] {
	const outgoing: Effect[] = [];
	const pending = effects.toReversed();
	for (let effect = pending.pop(); effect; effect = pending.pop()) {
		if (effect.type === 'peer/send' && effect.peer === state.settings.self.hostId && isSlotMessage(effect.message)) {
			pending.push(...handleSlotMessage(state, effect.message).toReversed());
		} else {
			outgoing.push(effect);
		}
	}

	return outgoing;
}

function handleSlotMessage(state: State, message: SlotMessage): Effect[] {
	const handle = slotMessageHandlers[message.type] as SlotMessageHandler<SlotMessageType>;
	return handle(state, state.settings.self, message);
}

function isSlotMessage(message: {readonly type: string}): message is SlotMessage {
	return Object.hasOwn(slotMessageHandlers, message.type);
}
