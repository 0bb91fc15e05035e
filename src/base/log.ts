import loglevel from 'loglevel';

// Standard output is kept for the command line's answers; every log line goes to standard error.
loglevel.methodFactory = (method) => {
  return (...parts: unknown[]) => {
    process.stderr.write(`${method} ${parts.map(String).join(' ')}\n`);
  };
};

export function setLogLevel(name: string | undefined): void {
  const known = name === 'error' || name === 'info' || name === 'debug' ? name : 'info';
  loglevel.setLevel(known, false);
}

export const log = loglevel;

export const describe = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
