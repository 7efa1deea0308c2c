/** Plain text tables for people. */

/** Rows under a header, columns padded to their widest cell. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const all = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...all.map(row => row[column]?.length ?? 0)));
	return all.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n');
}
