/** CPU time of processes, from /proc. */
import {readFile} from 'node:fs/promises';

/** Linux counts CPU time for user space in these. */
const ticksPerSecond = 100;
/** Places of utime and stime behind the process name in /proc/<pid>/stat. */
const userTimePlace = 11;
const systemTimePlace = 12;

/** User and system time of a process so far, in milliseconds. */
export async function readCpuMs(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userTimePlace]) + Number(fields[systemTimePlace])) * 1000 / ticksPerSecond;
}
