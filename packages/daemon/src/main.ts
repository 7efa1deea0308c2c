#!/usr/bin/env node
/** `rhubarbleverd`: the daemon of an entry host. */
import process from 'node:process';
import {version} from '@rhubarblever/core';
import sade from 'sade';
import {Daemon} from './daemon.js';
import {
	getVariableName, readSettings, settingRows, type SettingName,
} from './settings.js';

const invalidSettingsExitCode = 78;

const program = sade('rhubarbleverd', true).version(version).describe('Entry host of the fleet manager rhubarblever.');
for (const name of Object.keys(settingRows) as SettingName[]) {
	program.option(`--${name}`, `${settingRows[name].help} (${getVariableName(name)})`);
}

program.action(async (flags: Record<string, unknown>) => {
	const settings = readSettings(flags, process.env);
	if (settings.isErr()) {
		for (const line of settings.error) {
			process.stderr.write(`rhubarbleverd: ${line}\n`);
		}

		process.exit(invalidSettingsExitCode);
	}

	const daemon = Daemon.create(settings.value, code => {
		process.exit(code);
	});
	process.on('SIGTERM', () => {
		daemon.requestStop();
	});
	process.on('SIGINT', () => {
		daemon.requestStop();
	});
	try {
		await daemon.start();
	} catch (error) {
		process.stderr.write(`rhubarbleverd: cannot listen on ${settings.value.self.address}: ${(error as Error).message}\n`);
		process.exit(1);
	}
});

program.parse(process.argv);
