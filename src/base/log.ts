/** The log of the process, and how errors read in it. */
import loglevel from 'loglevel';

// Standard output is kept for the command line's answers; every log line goes to standard error.
loglevel.methodFactory = (method) => {
  return (...parts: unknown[]) => {
    process.stderr.write(`${method} ${parts.map(String).join(' ')}\n`);
  };
};

/** Sets the level by its name, `info` where none is given; throws for an unknown name. */
export function setLogLevel(name: string | undefined): void {
  const known = name === 'error' || name === 'info' || name === 'debug' ? name : 'info';
  loglevel.setLevel(known, false);
}

/** The log of the process; all of it goes to standard error. */
export const log = loglevel;

/** An error as log lines show it: its message, or the value itself where it is no error. */
export const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
