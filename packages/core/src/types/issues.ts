/** What is wrong with checked data, in one line for people. */
import type {z} from 'zod';

const missingEnding = 'received undefined';

/** Names each fault with its field; `root` stands for the whole where no field is named. */
export function describeIssues(error: z.ZodError, root = 'body'): string {
	return error.issues.map(issue => `${issue.path.join('.') || root}: ${describeIssue(issue.message)}`).join('; ');
}

function describeIssue(message: string): string {
	return message.endsWith(missingEnding) ? 'is missing' : message;
}
