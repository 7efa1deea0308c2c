#!/usr/bin/env node
/** Runs the platform test double: `main.js --listen ip:port --hosts '<JSON array>' --faults '<JSON object>'`. */
import process from 'node:process';
import {listedHostSchema} from '@rhubarblever/core';
import sade from 'sade';
import {z} from 'zod';
import {PlatformServer} from './platform-server.js';
import {platformSettingsPatchSchema} from './settings.js';

sade('platform-stand-in', true)
	.option('--listen', 'ip:port to listen on', '127.0.0.1:7000')
	.option('--hosts', 'Host list as a JSON array', '[]')
	.option('--faults', 'Lags, limits and faults as a JSON object, as PUT /v1/control/faults takes them', '{}')
	.action(async (flags: {listen: string; hosts: string; faults: string}) => {
		const hosts = z.array(listedHostSchema).parse(JSON.parse(flags.hosts));
		const patch = platformSettingsPatchSchema.parse(JSON.parse(flags.faults));
		const {platform} = await PlatformServer.create({address: flags.listen, hosts});
		platform.faults.update(patch);
		process.stdout.write('listening\n');
	})
	.parse(process.argv);
