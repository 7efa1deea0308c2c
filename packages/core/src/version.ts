/** The version of this release, shown by the daemon and the command-line tool. */
export const version = '0.1.0';
