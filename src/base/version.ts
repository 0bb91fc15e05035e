/** The release version of this build. */
export const VERSION = '0.4.5';
