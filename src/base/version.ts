/** The version of this build, as operators know it. */
export const VERSION = '0.4.5';
