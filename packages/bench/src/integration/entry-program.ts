/** Where the entry hosts' program for the users' platform lies. */
import {fileURLToPath} from 'node:url';

/** Path of the program, as built by `npm run build`. */
export function findEntryProgram(): string {
	return fileURLToPath(new URL('../../../../platform/dist/main.js', import.meta.url));
}
