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

/** Seconds that the cloud has for its answer about machine types. */
const MACHINE_TYPES_TIMEOUT_S = 4;

/** Seconds until the next request while no machine types are known. */
const MACHINE_TYPES_RETRY_S = 0.5;

/** A node whose loops run until it is stopped. */
interface StoppableContext {
  readonly isStopped: boolean;
}

/** Does some work every so many seconds until the node stops; errors are logged and end nothing. */
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

/** What the refresh of machine types needs of a node. */
export interface MachineTypesContext extends StoppableContext {
  readonly settings: Pick<Settings, 'cloudEndpoint' | 'cloudListLag'>;
  readonly links: Pick<HttpClients, 'services'>;
  machineTypes: Map<string, MachineType>;
}

/** Keeps the machine types up to date with what the cloud offers. */
export async function refreshMachineTypes(node: MachineTypesContext): Promise<void> {
  while (!node.isStopped) {
    try {
      const machineTypes = await requestMachineTypes(node);
      if (machineTypes !== null) {
        node.machineTypes = new Map(machineTypes.map((type) => [type.name, type]));
      }
    } catch (error) {
      log.debug(`machine types: ${describeError(error)}`);
    }
    const isKnown = node.machineTypes.size > 0;
    await sleep(isKnown ? node.settings.cloudListLag * 8 : MACHINE_TYPES_RETRY_S);
  }
}

/** Null where the cloud gives an error or an answer that can't be parsed. */
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
