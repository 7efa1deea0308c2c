/** Socket addresses. Processes are reached by IP address; host names are not resolved. */
import {z} from 'zod';

const highestPort = 65_535;
const portPattern = /^\d{1,5}$/;

/** An address of the form `IPv4:port`. */
export const socketAddressSchema = z.string().refine(isSocketAddress, 'must be IPv4:port');

function isSocketAddress(text: string): boolean {
	const [ip = '', port = '', ...rest] = text.split(':');
	return rest.length === 0 && z.ipv4().safeParse(ip).success && isPort(port);
}

function isPort(text: string): boolean {
	const port = Number(text);
	return portPattern.test(text) && port > 0 && port <= highestPort;
}
