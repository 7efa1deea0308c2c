#!/usr/bin/env node
/** `rhubarblever`: the operators' command-line tool. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import sade from 'sade';
import {request} from 'undici';

type Flags = {host?: string; token?: string};

const failedCode = 1;

sade('rhubarblever')
	.version('0.1.0')
	.option('--host', 'ip:port of an entry host (RHUBARBLEVER_HOST)')
	.option('--token', 'Operator token (RHUBARBLEVER_OPERATOR_TOKEN)')
	.command('publish <file>', 'Publish the records of a JSON file')
	.action(async (file: string, flags: Flags) => {
		const records: unknown = JSON.parse(readFileSync(file, 'utf8'));
		const {statusCode, body} = await request(`http://${flags.host ?? process.env.RHUBARBLEVER_HOST}/v1/records`, {
			method: 'POST',
			headers: {authorization: `Bearer ${flags.token ?? process.env.RHUBARBLEVER_OPERATOR_TOKEN}`},
			body: JSON.stringify({records}),
		});
		process.stdout.write(`${await body.text()}\n`);
		process.exitCode = statusCode === 200 ? 0 : failedCode;
	})
	.parse(process.argv);
