/** Addresses on loopback that belong to this process alone, so that no other process can take them while they are closed. */

/** The last part of the address at which this process's links listen; its controllers have lower ones. */
const LINKS = 254;

const FIRST_LINK_PORT = 1024;
const LAST_LINK_PORT = 65_535;
let nextLinkPort = FIRST_LINK_PORT;

/** 127.B.C.`last`, apart from 127.0.x.y, where B and C follow from the process's id. */
export function processLoopbackAddress(last: number): string {
  const process16 = process.pid % 0xffff;
  const [second, third] = [process16 >> 8, process16 & 0xff];
  return `127.${1 + (second % 250)}.${third}.${last}`;
}

/** Where a link listens. */
export interface LinkAddress {
  host: string;
  port: number;
}

/** An address for a link; each is given once, so that no link takes that of another which is closed for a while. */
export function nextLinkAddress(): LinkAddress {
  if (nextLinkPort > LAST_LINK_PORT) throw new Error('no port is left for a link');
  return { host: processLoopbackAddress(LINKS), port: nextLinkPort++ };
}
