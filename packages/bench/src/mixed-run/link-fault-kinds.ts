/** Faults of links: zones cut off from each other or from the platform, and connections that stop carrying data without closing. */
import {platformId, type FleetLink} from '@rhubarblever/stand-ins';
import type {FaultKind, FaultTable} from './fault-kinds.js';
import {zones} from './fleet-shape.js';
import type {ApplyToLink} from './link-faults.js';

const orderedPairs = zones.flatMap(from => zones.filter(to => to !== from).map(to => [from, to]));
const pairs = orderedPairs.filter(([from = '', to = '']) => from < to);
const singles = zones.map(zone => [zone]);

type LinkFilter = (link: FleetLink, names: readonly string[]) => boolean;

const cut: ApplyToLink = async link => link.proxy.cut();
const silence: ApplyToLink = link => {
	link.proxy.freeze();
};

const silenceOpen: ApplyToLink = link => {
	link.proxy.freeze({scope: 'open'});
};

const isOneWay: LinkFilter = (link, [from, to]) => link.fromZone === from && link.toZone === to;
const isBothWays: LinkFilter = (link, [from = '', to = '']) => isOneWay(link, [from, to]) || isOneWay(link, [to, from]);
const isToPlatform: LinkFilter = (link, [zone]) => link.fromZone === zone && link.to === platformId;
const isToTarget: LinkFilter = (link, [zone]) => link.fromZone === zone && link.to.startsWith('runner-');
const isBetweenEntryHosts: LinkFilter = (link, [zone]) => link.fromZone === zone && link.to.startsWith('entry-');
const isLeavingZone: LinkFilter = (link, [zone]) => link.fromZone === zone && link.toZone !== zone;

function createKind(victims: ReadonlyArray<readonly string[]>, filter: LinkFilter, apply: ApplyToLink): FaultKind {
	return {
		candidates: victims,
		isShared: true,
		shortestMs: 1000,
		longestMs: 10_000,
		recoveryMs: 1000,
		async start({fleet, links}, {names}) {
			return links.start(fleet.links.list(link => filter(link, names)), apply);
		},
	};
}

export const linkFaultKinds: FaultTable = {
	'zones-cut': createKind(pairs, isBothWays, cut),
	'zones-cut-one-way': createKind(orderedPairs, isOneWay, cut),
	'zones-silent': createKind(pairs, isBothWays, silence),
	'zone-cut-from-platform': createKind(singles, isToPlatform, cut),
	'zone-silent-to-platform': createKind(singles, isToPlatform, silence),
	'zone-cut-from-all': createKind(singles, isLeavingZone, cut),
	'connections-silent-to-targets': createKind(singles, isToTarget, silenceOpen),
	'connections-silent-to-peers': createKind(singles, isBetweenEntryHosts, silenceOpen),
};
