/** Types shared within the daemon. */
import type {Event} from '@rhubarblever/core';

/** Hands an event to the event loop. */
export type EventSink = (event: Event) => void;
