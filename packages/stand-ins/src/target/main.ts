#!/usr/bin/env node
/** Runs target stand-ins: `main.js --listen ip:port,ip:port --slots 8`. */
import process from 'node:process';
import sade from 'sade';
import {TargetServer} from './target-server.js';

sade('target-stand-in', true)
	.option('--listen', 'ip:port to listen on; several separated by commas', '127.0.0.1:7100')
	.option('--slots', 'Requests run at once', 8)
	.action(async (flags: {listen: string; slots: number}) => {
		for (const address of flags.listen.split(',')) {
			const [ip = '', port = ''] = address.split(':');
			// eslint-disable-next-line no-await-in-loop
			await TargetServer.create({ip, port: Number(port), slots: flags.slots});
		}

		process.stdout.write('listening\n');
	})
	.parse(process.argv);
