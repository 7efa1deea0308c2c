#!/usr/bin/env node
/** Runs target test doubles: `main.js --listen ip:port,ip:port --control ip:port --slots 8 --connections 64 --when-full refuse`. */
import process from 'node:process';
import sade from 'sade';
import {startControlServer} from './control-server.js';
import type {WhenFull} from './slots.js';
import {TargetServer} from './target-server.js';

type Flags = {
	readonly listen: string; readonly control: string; readonly slots: number; readonly connections: number; readonly 'when-full': WhenFull;
};

sade('target-stand-in', true)
	.option('--listen', 'ip:port to listen on; several separated by commas', '127.0.0.1:7100')
	.option('--control', 'ip:port for ledgers and faults; empty for none', '')
	.option('--slots', 'Requests run at once', 8)
	.option('--connections', 'Connections held at once', 64)
	.option('--when-full', 'What becomes of requests beyond the slots: refuse or queue', 'refuse')
	.action(async (flags: Flags) => {
		const targets = await Promise.all(flags.listen.split(',').map(async address => TargetServer.create({
			address, slots: flags.slots, connections: flags.connections, whenFull: flags['when-full'],
		})));
		if (flags.control !== '') {
			await startControlServer(flags.control, targets);
		}

		process.stdout.write('listening\n');
	})
	.parse(process.argv);
