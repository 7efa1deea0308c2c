/** Renders the burn report as one self-contained HTML page with plots. */
import {formatShare, type BurnReport, type ServiceReport} from '../commands/report-burn.js';

const plotWidth = 720;
const plotHeight = 120;
const goodColour = '#4a8';
const badColour = '#c43';

export function renderBurnPage(report: BurnReport): string {
	return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>body{font:15px sans-serif;margin:2em auto;max-width:60em}td,th{padding:.2em .8em;text-align:left}svg{background:#f4f4f4}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Made at ${encodeHtml(report.at)}; counted since ${encodeHtml(report.coveredSince ?? '-')}.</p>
<p>Asked: ${encodeHtml(report.askedHosts.join(', '))}. Could not be asked: ${encodeHtml(report.unreachableHosts.join(', ') || 'none')}.</p>
${report.services.map(service => renderService(service)).join('\n')}
</body>
</html>
`;
}

function renderService(service: ServiceReport): string {
	const causes = service.causes.map(({cause, count}) => `<tr><td>${encodeHtml(cause)}</td><td>${count}</td></tr>`).join('');
	return `<h2>${encodeHtml(service.service)}</h2>
<p>Objective ${formatShare(service.goodShare)} over ${service.windowMinutes} minutes; budget left ${formatShare(service.budgetLeft)};
good ${service.good}, bad ${service.bad}; p50 ${service.p50} ms, p99 ${service.p99} ms.</p>
${renderPlot(service)}
<table><tr><th>Burned by</th><th>answers</th></tr>${causes}</table>`;
}

/** Renders the answers per minute as stacked bars: good ones below, bad ones on top. */
function renderPlot(service: ServiceReport): string {
	const maximumCount = Math.max(1, ...service.minutes.map(minute => minute.good + minute.bad));
	const barWidth = plotWidth / Math.max(1, service.minutes.length);
	const bars = service.minutes.map((minute, index) => {
		const x = index * barWidth;
		const goodHeight = (minute.good / maximumCount) * plotHeight;
		const badHeight = (minute.bad / maximumCount) * plotHeight;
		const goodBar: Bar = {
			x, y: plotHeight - goodHeight, width: barWidth, height: goodHeight, colour: goodColour,
		};
		const badBar: Bar = {
			x, y: goodBar.y - badHeight, width: barWidth, height: badHeight, colour: badColour,
		};
		return renderBar(goodBar) + renderBar(badBar);
	});
	return `<svg width="${plotWidth}" height="${plotHeight}" role="img" aria-label="Good and bad answers a minute">${bars.join('')}</svg>`;
}

/** A bar of the plot, in pixels from its upper left corner. */
type Bar = {
	readonly x: number;
	readonly y: number;
	readonly width: number;
	readonly height: number;
	readonly colour: string;
};

function renderBar({
	x, y, width, height, colour,
}: Bar): string {
	return `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${Math.max(0.5, width - 0.5).toFixed(1)}" height="${height.toFixed(1)}" fill="${colour}"/>`;
}

function encodeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
