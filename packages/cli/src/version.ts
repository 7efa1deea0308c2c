/** The version of this release. */
export const version = '0.1.0';
