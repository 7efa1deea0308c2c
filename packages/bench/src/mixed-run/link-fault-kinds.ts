/** Faults of links: zones cut off from each other or from the platform, and connections that go silent. */
import {platformId, type FleetLink} from '@rhubarblever/stand-ins';
import type {FaultKind, FaultTable} from './fault-kinds.js';
import {zones} from './fleet-shape.js';
import type {LinkStrike} from './link-faults.js';

const orderedPairs = zones.flatMap(from => zones.filter(to => to !== from).map(to => [from, to]));
const pairs = orderedPairs.filter(([from = '', to = '']) => from < to);
const singles = zones.map(zone => [zone]);

type Picks = (link: FleetLink, names: readonly string[]) => boolean;

const cut: LinkStrike = async link => link.proxy.cut();
const silence: LinkStrike = link => {
	link.proxy.freeze();
};

const silenceOpen: LinkStrike = link => {
	link.proxy.freeze({scope: 'open'});
};

const isOneWay: Picks = (link, [from, to]) => link.fromZone === from && link.toZone === to;
const isBothWays: Picks = (link, [from = '', to = '']) => isOneWay(link, [from, to]) || isOneWay(link, [to, from]);
const isToPlatform: Picks = (link, [zone]) => link.fromZone === zone && link.to === platformId;
const isToTarget: Picks = (link, [zone]) => link.fromZone === zone && link.to.startsWith('runner-');
const isBetweenEntryHosts: Picks = (link, [zone]) => link.fromZone === zone && link.to.startsWith('entry-');
const isLeavingZone: Picks = (link, [zone]) => link.fromZone === zone && link.toZone !== zone;

function createKind(victims: ReadonlyArray<readonly string[]>, picks: Picks, strike: LinkStrike): FaultKind {
	return {
		victims,
		isShared: true,
		shortestMs: 1000,
		longestMs: 10_000,
		recoveryMs: 1000,
		async start({fleet, links}, {names}) {
			return links.start(fleet.links.list(link => picks(link, names)), strike);
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
