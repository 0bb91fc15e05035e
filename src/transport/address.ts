/** A host and a port to listen on or connect to. */
export interface Address {
  host: string;
  port: number;
}

/** Parses `host:port`; null if the text is not a valid address. */
export function parseAddress(text: string): Address | null {
  const match = /^(.+):(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  if (match?.[1] === undefined || port > 65535) return null;
  return { host: match[1], port };
}
