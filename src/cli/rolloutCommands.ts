/** Command line definitions of `barrowlb rollout …` and `barrowlb drain`; the implementation is loaded on first use. */
import type { Command } from 'commander';
import type { DriveMode } from './rollout.js';

type RolloutModule = typeof import('./rollout.js');

/** Loads the implementation on demand, so that it does not slow down the start of a controller. */
async function withRollout(action: (module: RolloutModule) => Promise<void>): Promise<void> {
  const module = await import('./rollout.js');
  await module.withReadableErrors(() => action(module));
}

/** Requests a change from a controller and prints the result. */
const request = (server: string, name: string, body: unknown, done: string): Promise<void> =>
  withRollout(async ({ requestChange, printLine }) => {
    await requestChange(server, name, body);
    printLine(done);
  });

const SERVER = ['--server <host:port>', 'a controller'] as const;
const PLAN = ['--plan <file>', 'the plan (Java-style properties)'] as const;
const BY = ['--by <name>', 'who asks for it'] as const;

interface Target {
  server: string;
}

/** Adds the commands to the command line. */
export function addRolloutCommands(program: Command): void {
  const rollout = program.command('rollout').description('replace controllers in stages');
  addDriverCommands(rollout);
  addStatusCommand(rollout);
  addLevelCommands(rollout);
  program
    .command('drain')
    .description('let a controller give up what it owns, before it is stopped')
    .requiredOption(...SERVER)
    .option('--cancel', 'take it back into service')
    .action(async ({ server, cancel }: Target & { cancel?: boolean }) => {
      await request(
        server,
        cancel === true ? '/undrain' : '/drain',
        { token: null },
        cancel === true ? `${server} is back in service` : `${server} is being drained`,
      );
    });
}

function addDriverCommands(rollout: Command): void {
  const commands: [string, DriveMode, string][] = [
    ['start', 'start', 'begin a rollout, or go on where its driver has died'],
    ['resume', 'resume', 'go on after a pause'],
    ['rollback', 'rollBack', 'put the controllers that were replaced back'],
  ];
  for (const [name, mode, text] of commands) {
    rollout
      .command(name)
      .description(text)
      .requiredOption(...PLAN)
      .action((options: { plan: string }) =>
        withRollout(({ runDriver }) => runDriver(options.plan, mode)),
      );
  }
  rollout
    .command('pause')
    .description('let the driver stop after its present step')
    .requiredOption(...PLAN)
    .option('--reason <text>', 'why', 'an operator paused it')
    .action((options: { plan: string; reason: string }) =>
      withRollout(({ pause }) => pause(options.plan, options.reason)),
    );
}

function addStatusCommand(rollout: Command): void {
  rollout
    .command('status')
    .description('show the level of what is stored, and what holds it back')
    .requiredOption(...SERVER)
    .action(({ server }: Target) => withRollout(({ printRollout }) => printRollout(server)));
}

function addLevelCommands(rollout: Command): void {
  rollout
    .command('hold')
    .description('keep the level from rising')
    .requiredOption(...SERVER)
    .requiredOption(...BY)
    .requiredOption('--reason <text>', 'why')
    .action(async ({ server, by, reason }: Target & { by: string; reason: string }) => {
      await request(server, '/hold', { by, reason }, 'the level is held');
    });
  rollout
    .command('finalize')
    .description('end a hold, so that the level may rise')
    .requiredOption(...SERVER)
    .action(async ({ server }: Target) => {
      await request(server, '/finalize', {}, 'the hold has ended');
    });
  rollout
    .command('lower')
    .description('take back what is stored, down to a level')
    .requiredOption(...SERVER)
    .requiredOption(...BY)
    .requiredOption('--to <level>', 'the level', Number)
    .option('--yes', 'confirm what is taken back')
    .action(async ({ server, by, to, yes }: Target & { by: string; to: number; yes?: boolean }) => {
      await request(
        server,
        '/lower',
        { by, to, confirm: yes === true },
        `the level is being lowered to ${to}`,
      );
    });
  rollout
    .command('retry')
    .description('try once more to convert records that could not be')
    .requiredOption(...SERVER)
    .action(async ({ server }: Target) => {
      await request(server, '/retry', {}, 'the records are walked through once more');
    });
}
