/** What the kernel counts of a running process: its memory and its descriptors. */
import {readdirSync, readFileSync} from 'node:fs';
import type {RunningProcess} from '@rhubarblever/stand-ins';

const kilobytesPerMb = 1024;
const measureIntervalMs = 50;

export class ProcessGauge {
	static create(running: RunningProcess): ProcessGauge {
		return new ProcessGauge(running);
	}

	/** Most descriptors that the process has had open when it was looked at. */
	mostDescriptors = 0;
	/** Largest resident memory that the process has had, in MB. */
	peakMemoryMb = 0;
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly running: RunningProcess) {
		this.timer = setInterval(() => {
			this.measure();
		}, measureIntervalMs);
	}

	/** 0 for a process that has ended. */
	countDescriptors(): number {
		try {
			return readdirSync(`/proc/${this.running.child.pid}/fd`).length;
		} catch {
			return 0;
		}
	}

	/** Measures a last time and stops. */
	close(): void {
		this.measure();
		clearInterval(this.timer);
	}

	private measure(): void {
		this.mostDescriptors = Math.max(this.mostDescriptors, this.countDescriptors());
		this.peakMemoryMb = Math.max(this.peakMemoryMb, this.readPeakMemoryMb());
	}

	private readPeakMemoryMb(): number {
		try {
			const status = readFileSync(`/proc/${this.running.child.pid}/status`, 'utf8');
			return Math.ceil(Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / kilobytesPerMb);
		} catch {
			return 0;
		}
	}
}
