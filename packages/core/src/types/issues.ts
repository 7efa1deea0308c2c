/** Formats validation errors as one human-readable line. */
import type {z} from 'zod';

const missingEnding = 'received undefined';

/** Describes each issue with the path of its field, or with `root` if the issue concerns the whole value. */
export function describeIssues(error: z.ZodError, root = 'body'): string {
	return error.issues.map(issue => `${issue.path.join('.') || root}: ${describeIssue(issue.message)}`).join('; ');
}

function describeIssue(message: string): string {
	return message.endsWith(missingEnding) ? 'is missing' : message;
}
