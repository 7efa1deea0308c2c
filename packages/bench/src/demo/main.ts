#!/usr/bin/env node
/** The demo (`npm run demo`): runs a small fleet on loopback and prints what happens. Exit code 0 only if every step succeeded. */
import process from 'node:process';
import {Demo} from './demo.js';
import type {Step} from './step.js';
import {
	changeStep, endStep, publishStep, replaceStep, requestsStep,
} from './steps.js';
import {waveStep} from './wave-step.js';

const interruptedCode = 130;

const steps: readonly Step[] = [publishStep, requestsStep, changeStep, replaceStep, waveStep, endStep];

/** Runs the steps in turn; returns false at the first one that fails. */
async function runSteps(demo: Demo): Promise<boolean> {
	for (const [index, step] of steps.entries()) {
		demo.writeLine(`${index + 1}. ${step.title}.`);
		try {
			// eslint-disable-next-line no-await-in-loop
			demo.writeLine(`   Seen: ${await step.run(demo)}.`);
		} catch (error) {
			demo.writeLine(`   NOT SEEN: ${(error as Error).message}`);
			return false;
		}
	}

	return true;
}

async function runDemo(): Promise<void> {
	process.stdout.write('Starting three availability zones on loopback: six entry hosts, six targets, six workers, and a stand-in of the platform. Ctrl-C ends it.\n');
	const demo = await Demo.create();
	demo.writeLine('All six entry hosts are ready.');
	const isSeen = await runSteps(demo);
	await demo.stop();
	demo.writeLine(isSeen ? 'Done: all of it was seen.' : 'Ended early: not all of it was seen.');
	process.exitCode = isSeen ? 0 : 1;
}

process.on('SIGINT', () => {
	process.stdout.write('\nStopped by Ctrl-C; all processes are ended.\n');
	process.exit(interruptedCode);
});

await runDemo();
