/** Paths of the compiled programs. */
import {fileURLToPath} from 'node:url';

function findScript(path: string): string {
	return fileURLToPath(new URL(`../../../${path}`, import.meta.url));
}

export const daemonScript = findScript('daemon/dist/main.js');
export const cliScript = findScript('cli/dist/main.js');
export const platformScript = findScript('stand-ins/dist/platform/main.js');
export const targetScript = findScript('stand-ins/dist/target/main.js');
