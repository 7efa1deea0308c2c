/** Runs a case and ends its processes. */
import process from 'node:process';

const exitCouldNotRun = 2;

/** `play` resolves to true if the rule held, and hands over its deployment before. The exit code is 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(record, play) {
	let deployment;
	let code = exitCouldNotRun;
	try {
		const held = await play(created => {
			deployment = created;
		});
		code = held ? 0 : 1;
		record.note(held ? 'the rule held' : 'the rule was BROKEN');
	} catch (error) {
		record.note(`the case could not run: ${error.stack}`);
	}

	await deployment?.close(process.env.REVIEW_LOGS);
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
}
