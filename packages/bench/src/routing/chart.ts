/** Renders the results of the routing benchmark as one self-contained HTML page with SVG bar charts. */
import type {PolicyRun} from './run-policy.js';
import {computeBurstGoodputShare, getLatency, listRows} from './table.js';

type Bar = {readonly label: string; readonly value: number; readonly text: string};
type BarChart = {readonly title: string; readonly bars: readonly Bar[]};

const width = 760;
const barHeight = 18;
const barGap = 6;
const labelWidth = 200;
const titleHeight = 28;
const valueWidth = 90;

/** Renders the page. */
export function renderPage(runs: readonly PolicyRun[], title: string): string {
	const charts = listCharts(runs).map(chart => renderChart(chart)).join('\n');
	const [titles = [], ...rows] = listRows(runs);
	const head = titles.map(cell => `<th>${encodeText(cell)}</th>`).join('');
	const body = rows.map(row => `<tr>${row.map(cell => `<td>${encodeText(cell)}</td>`).join('')}</tr>`).join('\n');
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${encodeText(title)}</title>
<style>body{font:14px sans-serif;margin:2em}td,th{border:1px solid #bbb;padding:2px 6px;text-align:right}table{border-collapse:collapse;font-size:12px}svg{display:block;margin:1em 0}</style>
</head><body><h1>${encodeText(title)}</h1>
${charts}
<table><tr>${head}</tr>
${body}</table>
</body></html>
`;
}

function listCharts(runs: readonly PolicyRun[]): BarChart[] {
	return [
		createChart('Goodput within deadline in bursts, % of one all-knowing queue', runs, run => computeBurstGoodputShare(run) * 100),
		createChart('p99 of quick work, ms', runs, run => getLatency(run, 'quick').latency.p99Ms),
		createChart('p99 of heavy work, ms', runs, run => getLatency(run, 'heavy').latency.p99Ms),
		createChart('Added p50 over a direct call, uncontended, ms', runs, run => run.addedP50Ms),
		createChart('Added p50 with a claim, uncontended, ms', runs, run => run.addedP50WithClaimMs),
		createChart('Refused requests', runs, run => run.load.results.refused),
		createChart('Slot-seconds idle while work waited', runs, run => run.idleSlotSeconds),
		createChart('Requests that met a full runner', runs, run => run.overfilledSlots),
		createChart('CPU of the entry hosts, ms for 1,000 requests', runs, run => run.cpuMsPerThousandRequests),
		createChart('Control bytes for each host and second', runs, run => run.controlBytesPerHostSecond),
	];
}

function createChart(title: string, runs: readonly PolicyRun[], measure: (run: PolicyRun) => number): BarChart {
	return {
		title,
		bars: runs.map(run => ({label: `${run.policy}, seed ${run.seed}`, value: measure(run), text: measure(run).toFixed(1)})),
	};
}

function renderChart({title, bars}: BarChart): string {
	const largest = Math.max(1, ...bars.map(bar => bar.value));
	const scale = (width - labelWidth - valueWidth) / largest;
	const rows = bars.map((bar, index) => renderBar(bar, titleHeight + (index * (barHeight + barGap)), bar.value * scale));
	const height = titleHeight + (bars.length * (barHeight + barGap));
	return `<svg width="${width}" height="${height}" role="img"><text x="0" y="16" font-weight="bold">${encodeText(title)}</text>
${rows.join('\n')}
</svg>`;
}

function renderBar({label, text}: Bar, top: number, length: number): string {
	const middle = top + (barHeight * 0.75);
	return `<text x="${labelWidth - 8}" y="${middle}" text-anchor="end">${encodeText(label)}</text>`
		+ `<rect x="${labelWidth}" y="${top}" width="${length.toFixed(1)}" height="${barHeight}" fill="#3b6ea5"/>`
		+ `<text x="${labelWidth + length + 6}" y="${middle}">${encodeText(text)}</text>`;
}

function encodeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
