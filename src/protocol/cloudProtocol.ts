/** Messages and paths of the cloud's HTTP API. */
import * as v from 'valibot';

/** A machine type that the cloud offers, with its capacity and its price per hour. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  fetchGbPerSecond: number;
  /** Disk space for cached images, in GB. */
  cacheGb: number;
  price: number;
  spotPrice: number;
  bootSeconds: number;
  zones: string[];
}

/** A machine in the cloud's list, which may be some seconds out of date. */
export interface ListedMachine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  status: 'starting' | 'running' | 'failed';
  age: number;
}

const machineTypesSchema = v.object({
  Flavours: v.array(
    v.object({
      Label: v.string(),
      Cores: v.number(),
      Accelerators: v.optional(v.number(), 0),
      MemoryGb: v.number(),
      PullGbPerS: v.number(),
      LocalGb: v.optional(v.number(), 0),
      Hourly: v.number(),
      SpotPrice: v.optional(v.nullable(v.number())),
      BootS: v.number(),
      Yards: v.array(v.string()),
    }),
  ),
});

/** Parses the list of machine types; null if it is malformed. */
export function parseMachineTypes(raw: unknown): MachineType[] | null {
  const result = v.safeParse(machineTypesSchema, raw);
  if (!result.success) return null;
  return result.output.Flavours.map((type) => ({
    name: type.Label,
    cpus: type.Cores,
    gpus: type.Accelerators,
    memoryGb: type.MemoryGb,
    fetchGbPerSecond: type.PullGbPerS,
    cacheGb: type.LocalGb,
    price: type.Hourly,
    spotPrice: type.SpotPrice ?? type.Hourly,
    bootSeconds: type.BootS,
    zones: type.Yards,
  }));
}

const machineListSchema = v.object({
  Drones: v.array(
    v.object({
      Uid: v.string(),
      Address: v.nullish(v.string()),
      Flavour: v.string(),
      Yard: v.string(),
      Loaners: v.boolean(),
      Status: v.picklist(['starting', 'running', 'failed']),
      AgeS: v.number(),
    }),
  ),
  More: v.boolean(),
});

/** Parses one page of the list of machines; null if it is malformed. */
export function parseMachineList(
  raw: unknown,
): { machines: ListedMachine[]; more: boolean } | null {
  const result = v.safeParse(machineListSchema, raw);
  if (!result.success) return null;
  return {
    more: result.output.More,
    machines: result.output.Drones.map((machine) => ({
      name: machine.Uid,
      address: machine.Address ?? '',
      type: machine.Flavour,
      zone: machine.Yard,
      spot: machine.Loaners,
      status: machine.Status,
      age: machine.AgeS,
    })),
  };
}

const rentedMachinesSchema = v.object({ Drones: v.array(v.string()) });

/** Parses the names of the machines that a request has rented; null if the answer is malformed. */
export function parseRentedMachines(raw: unknown): string[] | null {
  const result = v.safeParse(rentedMachinesSchema, raw);
  return result.success ? result.output.Drones : null;
}

/** A request for machines of one type; the cloud answers a repeated `idempotencyKey` with the same machines. */
export interface RentalRequest {
  idempotencyKey: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The body of a request for machines. */
export const rentalRequest = (request: RentalRequest): Record<string, unknown> => ({
  Ask: request.idempotencyKey,
  Flavour: request.type,
  Yard: request.zone,
  Loaners: request.spot,
  Number: request.count,
});

/** The body of a release of machines. */
export const releaseRequest = (names: string[]): Record<string, unknown> => ({ Drones: names });

/** The cloud's HTTP paths. */
export const paths = {
  types: '/machine_types',
  rentals: '/rentals',
  release: '/rentals/release',
  list: (from: string, page: number): string =>
    `/rentals?${from === '' ? '' : `From=${encodeURIComponent(from)}&`}Page=${page}`,
};

/** Number of machines on one page of the list. */
export const LIST_PAGE_SIZE = 500;
/** Maximum number of machines in one rental request. */
export const MAX_RENTAL_COUNT = 50;
/** Maximum number of machines in one release request. */
export const MAX_RELEASE_COUNT = 100;
