/** Plain text tables for terminals. */

/** Formats rows under a header; each column is padded to its widest cell. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const all = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...all.map(row => row[column]?.length ?? 0)));
	return all.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n');
}
