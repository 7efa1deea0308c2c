/** This package has no API for other packages; it is used through its command-line program. */
export const packageName = '@rhubarblever/cli';
