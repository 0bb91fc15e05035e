#!/usr/bin/env node
/**
 * Entry point. The build runs this module once to make a startup snapshot (all modules loaded, schemas
 * compiled), and a controller starts from that: loading them took nearly two thirds of a start's processor time.
 */
import { startupSnapshot } from 'node:v8';
import { Command, CommanderError } from 'commander';
import { systemClock } from './base/clock.js';
import { describe, log, setLogLevel } from './base/log.js';
import { seededRandom } from './base/random.js';
import { printStatus, printWhy, QueryError } from './cli.js';
import { Controller } from './coordination/controller.js';
import { Gateway, isEssential } from './coordination/gateway.js';
import {
  defaultTuning,
  parseSettings,
  parseTuning,
  readText,
  SettingsError,
  type Settings,
  type Tuning,
} from './protocol/settings.js';
import { parseAddress } from './transport/address.js';
import { HttpClient } from './transport/httpClient.js';
import { HttpServer } from './transport/httpServer.js';
import { PeerServer } from './transport/peerLink.js';

const VERSION = '0.3.0';
const BODY_LIMIT = 64 * 1024;

function load(config: string, properties: string | undefined): [Settings, Tuning] {
  const settings = parseSettings(readText(config));
  const tuning = properties === undefined ? defaultTuning : parseTuning(readText(properties));
  return [settings, tuning];
}

async function serve(settings: Settings, tuning: Tuning): Promise<void> {
  const listen = parseAddress(settings.clientListen);
  const back = parseAddress(settings.peerListen);
  if (listen === null || back === null) throw new SettingsError('settings: bad address');
  // Sets one start of this process apart from every other; names of rentals are made from it.
  const run = `${Math.round(systemClock.wall() * 1000).toString(36)}${process.pid.toString(36)}`;
  const random = seededRandom(Math.floor(systemClock.wall() * 1000) % 0x7fffffff);
  const { maxSockets } = settings;
  // Apart, so that machines which hang cannot use up what the state service is reached by.
  const links = {
    services: new HttpClient(Math.floor(maxSockets / 24), settings.report * 4),
    machines: new HttpClient(Math.floor(maxSockets / 6), settings.report * 4),
  };
  const node = new Controller(settings, tuning, systemClock, random, links, run);
  const gateway = new Gateway(node);
  const server = new HttpServer((request, follows) => gateway.handle(request, follows), {
    bodyLimit: BODY_LIMIT,
    maxConnections: Math.floor(maxSockets * 0.75),
    maxInFlight: Math.floor(maxSockets / 10),
    requestTimeout: 10,
    // Workers report several times in a lease, users and health checks ask more often than that.
    idleTimeout: settings.lease,
    essential: isEssential,
  });
  const peers = new PeerServer((body) => gateway.peer(body));
  await peers.listen(back);
  await server.listen(listen);
  log.info(`barrowlb ${VERSION} listens on ${settings.clientListen} as ${settings.label}`);
  node.start();
}

interface RootOptions {
  config?: string;
  properties?: string;
  check?: boolean;
}

async function main(): Promise<void> {
  setLogLevel(process.env['LOG_LEVEL']);
  const program = new Command('barrowlb');
  program
    .description('A cluster scheduler. With --config it runs as a controller.')
    .version(VERSION)
    .option('--config <file>', "the platform's settings file (TOML)")
    .option('--properties <file>', "operators' own settings (Java-style properties)")
    .option('--check', 'read the settings, say whether they are sound, and end')
    .exitOverride()
    .action(async (options: RootOptions) => {
      if (options.config === undefined) {
        throw new SettingsError('nothing to do: give --config FILE, or see --help');
      }
      const [settings, tuning] = load(options.config, options.properties);
      if (options.check === true) {
        process.stdout.write(`settings are sound: ${settings.label} in ${settings.zone}\n`);
        return;
      }
      await serve(settings, tuning);
    });
  program
    .command('why <job>')
    .description('say why a job waits')
    .requiredOption('--server <host:port>', 'a controller')
    .action((job: string, options: { server: string }) => printWhy(options.server, job));
  program
    .command('status')
    .description('show parts, queues and machines of a controller')
    .requiredOption('--server <host:port>', 'a controller')
    .action((options: { server: string }) => printStatus(options.server));
  await program.parseAsync();
}

function start(): void {
  // A fault in one request must not end the controller; what it held is settled by the loops.
  process.on('unhandledRejection', (error) => {
    log.error(`unhandled: ${describe(error)}`);
  });
  main().catch((error: unknown) => {
    if (error instanceof CommanderError) {
      process.exitCode = error.exitCode;
      return;
    }
    const known = error instanceof SettingsError || error instanceof QueryError;
    process.stderr.write(`barrowlb: ${known ? error.message : describe(error)}\n`);
    process.exit(1);
  });
}

// Nothing that a snapshot would freeze (environment, arguments, clocks) may be read before this point.
if (startupSnapshot.isBuildingSnapshot()) startupSnapshot.setDeserializeMainFunction(start);
else start();
