#!/usr/bin/env node
/** Runs the platform stand-in: `main.js --listen ip:port --hosts '<JSON array>'`. */
import process from 'node:process';
import {listedHostSchema} from '@rhubarblever/core';
import sade from 'sade';
import {z} from 'zod';
import {PlatformServer} from './platform-server.js';

sade('platform-stand-in', true)
	.option('--listen', 'ip:port to listen on', '127.0.0.1:7000')
	.option('--hosts', 'Host list as a JSON array', '[]')
	.action(async (flags: {listen: string; hosts: string}) => {
		const [ip = '', port = ''] = flags.listen.split(':');
		const hosts = z.array(listedHostSchema).parse(JSON.parse(flags.hosts));
		await PlatformServer.create({ip, port: Number(port), hosts});
		process.stdout.write('listening\n');
	})
	.parse(process.argv);
