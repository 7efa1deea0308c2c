/** This package has no public items; see its programs. */
export const packageName = '@rhubarblever/cli';
