/** Synchronisation of the stored groups with the cloud's list. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AutoscalingContext } from '../../src/coordination/autoscaling/autoscalingContext.js';
import type { CloudClient } from '../../src/coordination/autoscaling/cloudClient.js';
import { InventorySync } from '../../src/coordination/autoscaling/inventorySync.js';
import type { MachineGroupStore } from '../../src/coordination/autoscaling/machineGroupStore.js';
import type { ListedMachine } from '../../src/protocol/cloudProtocol.js';
import type { MachineGroupRecord } from '../../src/storage/records.js';
import { MachineInventory } from '../../src/storage/machineInventory.js';

const kind = { type: 'm8', zone: 'a', spot: false };

const listed = (name: string): ListedMachine => ({
  ...kind,
  ...{ name, status: 'running', address: `127.0.0.1:${name.slice(2)}`, age: 10 },
});

const group = (...names: string[]): MachineGroupRecord => ({
  ...{ shard: 'p', ...kind },
  machines: Object.fromEntries(names.map((name) => [name, { launchedAt: 0 }])),
});

test('storing addresses does not restore a machine that was released meanwhile', async () => {
  // The groups were read before the first of them was written; the second lost a machine in between.
  const inventory = new MachineInventory();
  inventory.update('g1', group('n-1'));
  inventory.update('g2', group('n-2', 'n-3'));
  const written = new Map<string, string[]>();
  const groups = {
    pendingMachines: new Map<string, string[]>(),
    replace: (changes: Map<string, MachineGroupRecord | null>) => {
      for (const [name, value] of changes) written.set(name, Object.keys(value?.machines ?? {}));
      inventory.update('g2', group('n-3'));
      return Promise.resolve({ kind: 'applied' as const, revision: 1 });
    },
  };
  const node = {
    clock: { now: () => 100, wall: () => 100 },
    settings: { cloudListLag: 6, stateWriteRate: 60, valueBytes: 16_384 },
    inventory,
  };
  const machines = new Map(['n-1', 'n-2', 'n-3'].map((name) => [name, listed(name)]));
  const sync = new InventorySync(
    node as unknown as AutoscalingContext,
    { listMachines: () => Promise.resolve(machines) } as unknown as CloudClient,
    groups as unknown as MachineGroupStore,
    { mayHaveLaunched: () => false },
    (name) => name === 'n-2',
  );
  await sync.readIfDue(100);
  assert.deepEqual(written.get('g1'), ['n-1']);
  assert.deepEqual(written.get('g2'), ['n-3']);
});
