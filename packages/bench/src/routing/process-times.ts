/** Reads the CPU time of processes from /proc. */
import {readFile} from 'node:fs/promises';

/** Unit in which Linux reports CPU times in /proc. */
const ticksPerSecond = 100;
/** Indexes of the fields utime and stime after the process name in /proc/<pid>/stat. */
const userTimeField = 11;
const systemTimeField = 12;

/** User and system time of a process so far, in milliseconds. */
export async function readCpuMs(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * 1000 / ticksPerSecond;
}
