/** The logger of the process, and the formatting of errors for log lines. */
import loglevel from 'loglevel';

// Standard output is reserved for the output of commands; all log lines go to standard error.
loglevel.methodFactory = (method) => {
  return (...parts: unknown[]) => {
    process.stderr.write(`${method} ${parts.map(String).join(' ')}\n`);
  };
};

/** Sets the log level by name; `info` if the name is missing or unknown. */
export function setLogLevel(name: string | undefined): void {
  const known = name === 'error' || name === 'info' || name === 'debug' ? name : 'info';
  loglevel.setLevel(known, false);
}

/** The logger of the process; it writes to standard error. */
export const log = loglevel;

/** The message of an error, or the value as a string if it is not an Error. */
export const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
