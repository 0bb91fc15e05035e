/** Loopback addresses that only this process uses, so that no other process can take a port while its listener is closed. */

/** Last byte of the address at which this process's links listen; its controllers have lower ones. */
const LINK_HOST = 254;

const FIRST_LINK_PORT = 1024;
const LAST_LINK_PORT = 65_535;
let nextLinkPort = FIRST_LINK_PORT;

/** The address 127.B.C.`lastByte`, where B and C are derived from the process id; never within 127.0.x.y. */
export function processLoopbackAddress(lastByte: number): string {
  const shortId = process.pid % 0xffff;
  const [highByte, lowByte] = [shortId >> 8, shortId & 0xff];
  return `127.${1 + (highByte % 250)}.${lowByte}.${lastByte}`;
}

/** The address at which a link listens. */
export interface LinkAddress {
  host: string;
  port: number;
}

/** A new address for a link. Each is given once: a link may close its listener for a while and open it again. */
export function nextLinkAddress(): LinkAddress {
  if (nextLinkPort > LAST_LINK_PORT) throw new Error('all ports for links are in use');
  return { host: processLoopbackAddress(LINK_HOST), port: nextLinkPort++ };
}
