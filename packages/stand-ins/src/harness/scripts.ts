/** Where the built programs are. */
import {fileURLToPath} from 'node:url';

function resolveScript(path: string): string {
	return fileURLToPath(new URL(`../../../${path}`, import.meta.url));
}

export const daemonScript = resolveScript('daemon/dist/main.js');
export const cliScript = resolveScript('cli/dist/main.js');
export const platformScript = resolveScript('stand-ins/dist/platform/main.js');
export const targetScript = resolveScript('stand-ins/dist/target/main.js');
