/** Loops that run until the node stops. */
import { sleep } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import {
  parseMachineTypes,
  paths as cloudPaths,
  type MachineType,
} from '../../protocol/cloudProtocol.js';
import type { Settings } from '../../protocol/settings.js';
import type { HttpClients } from './wiring.js';

/** Timeout of a request for the machine types, in seconds. */
const MACHINE_TYPES_TIMEOUT_S = 4;

/** Seconds between two requests while no machine types are known. */
const MACHINE_TYPES_RETRY_S = 0.5;

/** A node whose loops run until it is stopped. */
interface StoppableContext {
  readonly isStopped: boolean;
}

/** Runs `work` every `seconds` until the node stops. Errors are logged and do not end the loop. */
export async function runPeriodically(
  node: StoppableContext,
  seconds: number,
  work: () => void,
): Promise<void> {
  while (!node.isStopped) {
    try {
      work();
    } catch (error) {
      log.error(`loop: ${error instanceof Error ? (error.stack ?? '') : String(error)}`);
    }
    await sleep(seconds);
  }
}

/** Dependencies of `refreshMachineTypes`. */
export interface MachineTypesContext extends StoppableContext {
  readonly settings: Pick<Settings, 'cloudEndpoint' | 'cloudListLag'>;
  readonly links: Pick<HttpClients, 'services'>;
  machineTypes: Map<string, MachineType>;
}

/** Refreshes the machine types from the cloud until the node stops. */
export async function refreshMachineTypes(node: MachineTypesContext): Promise<void> {
  while (!node.isStopped) {
    try {
      const machineTypes = await requestMachineTypes(node);
      if (machineTypes !== null) {
        node.machineTypes = new Map(machineTypes.map((type) => [type.name, type]));
      }
    } catch (error) {
      log.debug(`cannot refresh the machine types: ${describeError(error)}`);
    }
    const isKnown = node.machineTypes.size > 0;
    await sleep(isKnown ? node.settings.cloudListLag * 8 : MACHINE_TYPES_RETRY_S);
  }
}

/** Returns null if the cloud answers with an error or the answer cannot be parsed. */
async function requestMachineTypes({
  links,
  settings,
}: MachineTypesContext): Promise<MachineType[] | null> {
  const answer = await links.services.call(
    settings.cloudEndpoint,
    'GET',
    cloudPaths.types,
    undefined,
    MACHINE_TYPES_TIMEOUT_S,
  );
  return answer.status === 200 ? parseMachineTypes(answer.body) : null;
}
