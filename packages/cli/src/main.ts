#!/usr/bin/env node
/** `rhubarblever`: the operators' command-line tool. */
import process from 'node:process';
import {version, type Instant} from '@rhubarblever/core';
import {err, ok, type Result} from 'neverthrow';
import sade from 'sade';
import {compareFile} from './commands/diff.js';
import {getItem, listedKinds, listKind} from './commands/list.js';
import {publishFile} from './commands/publish.js';
import {reportBurn} from './commands/report-burn.js';
import {describeStatus} from './commands/status.js';
import {exitCodes} from './exit-codes.js';
import {createFailure, type Failure} from './failure.js';
import {readRecordsFile} from './files/records-file.js';
import {readSettings, type CommonFlags, type Settings} from './settings.js';

const defaultWaitSeconds = 10;
let hasCommandStarted = false;

type PublishFlags = CommonFlags & {readonly wait?: unknown; readonly timeout?: unknown};
type BurnFlags = CommonFlags & {readonly html?: unknown};

function finish(result: Result<string, Failure>): void {
	result.match(
		text => {
			process.stdout.write(`${text}\n`);
			process.exitCode = exitCodes.done;
		},
		failure => {
			process.stderr.write(`${failure.lines.join('\n')}\n`);
			process.exitCode = failure.exitCode;
		},
	);
}

async function runCommand(flags: CommonFlags, run: (settings: Settings) => Promise<Result<string, Failure>>): Promise<void> {
	hasCommandStarted = true;
	const settings = readSettings(flags, process.env);
	finish(settings.isErr() ? settings.map(() => '') : await run(settings.value));
}

/** Returns when to stop waiting (milliseconds since the epoch), or undefined without `--wait`. */
function readDeadline(flags: PublishFlags): Result<number | undefined, Failure> {
	if (flags.wait !== true) {
		return ok(undefined);
	}

	const seconds = Number(flags.timeout ?? defaultWaitSeconds);
	return seconds > 0 ? ok(Date.now() + (seconds * 1000)) : err(createFailure('usage', `--timeout must be seconds, not '${String(flags.timeout)}'`));
}

/** The argument parser exits with 1 if the command line is wrong. Replaces that code by `usage`, since 1 means `refused` here. */
function replaceUsageExitCode(): void {
	process.on('exit', code => {
		if (!hasCommandStarted && code === 1) {
			process.exitCode = exitCodes.usage;
		}
	});
}

const program = sade('rhubarblever')
	.version(version)
	.describe('Operates a fleet managed by rhubarblever. Exit codes: 0 done, 1 refused, 2 usage, 3 not in force everywhere, 4 differs, 5 unreachable.')
	.option('--host', 'IPv4:port of an entry host (RHUBARBLEVER_HOST)')
	.option('--token', 'Operator token (RHUBARBLEVER_OPERATOR_TOKEN)')
	.option('--json', 'Print JSON for scripts');

program
	.command('publish <file>', 'Check a YAML or JSON file of records and append them to the log')
	.option('--wait', 'Wait until the records are in force on every entry host')
	.option('--timeout', 'Seconds to wait at most', defaultWaitSeconds)
	.example('publish pools.yaml --wait')
	.action(async (file: string, flags: PublishFlags) => {
		await runCommand(flags, async settings => {
			const waitUntil = readDeadline(flags);
			return waitUntil.isErr() ? err(waitUntil.error) : publishFile(settings, {file, waitUntil: waitUntil.value});
		});
	});

program
	.command('check <file>', 'Check a file of records without sending anything')
	.action(async (file: string) => {
		hasCommandStarted = true;
		const records = await readRecordsFile(file);
		finish(records.map(found => `${file}: ${found.length} records are well-formed`));
	});

program
	.command('diff <file>', 'Compare a file of records with what is in force')
	.action(async (file: string, flags: CommonFlags) => {
		await runCommand(flags, async settings => compareFile(settings, file));
	});

program
	.command('list <kind>', `List what is in force: ${listedKinds.join(', ')}`)
	.action(async (kind: string, flags: CommonFlags) => {
		await runCommand(flags, async settings => listKind(settings, kind));
	});

program
	.command('get <kind> <id>', 'Show one thing that is in force')
	.action(async (kind: string, id: string, flags: CommonFlags) => {
		await runCommand(flags, async settings => getItem(settings, kind, id));
	});

program
	.command('status', 'Show every entry host and its place in the log')
	.action(async (flags: CommonFlags) => {
		await runCommand(flags, describeStatus);
	});

program
	.command('report burn', 'Show what is left of each service\'s error budget')
	.option('--html', 'Also write the report as a page to this file')
	.action(async (flags: BurnFlags) => {
		const htmlPath = typeof flags.html === 'string' ? flags.html : undefined;
		await runCommand(flags, async settings => reportBurn(settings, htmlPath, Date.now() as Instant));
	});

replaceUsageExitCode();
program.parse(process.argv, {
	unknown(flag) {
		process.stderr.write(`${flag} is not a flag of this command\n`);
		process.exit(exitCodes.usage);
	},
});
