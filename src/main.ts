#!/usr/bin/env node
/**
 * Entry point. The build runs this module once to create a startup snapshot with all modules loaded and schemas compiled.
 * Controllers start from the snapshot, because loading the modules took nearly two thirds of a start's processor time.
 */
import { existsSync } from 'node:fs';
import { startupSnapshot } from 'node:v8';
import { Command, CommanderError } from 'commander';
import { systemClock } from './base/clock.js';
import { describeError, log, setLogLevel } from './base/log.js';
import { seededRandom } from './base/random.js';
import { VERSION } from './base/version.js';
import { printStatus, printWhy, QueryError } from './cli/query.js';
import { addRolloutCommands } from './cli/rolloutCommands.js';
import { Controller } from './coordination/controller/controller.js';
import { Gateway, isEssential, maxBodyBytes } from './coordination/controller/gateway.js';
import { EXIT_REFUSED, setUpRollout } from './coordination/rollout/rolloutSetup.js';
import {
  defaultTuning,
  parseSettings,
  parseTuning,
  readTextFile,
  SettingsError,
  type Settings,
  type Tuning,
} from './protocol/settings.js';
import { parseAddress } from './transport/address.js';
import { HttpClient } from './transport/httpClient.js';
import { HttpServer } from './transport/httpServer.js';
import { PeerServer } from './transport/peerLink.js';

/** Seconds within which a client must send a complete request. */
const REQUEST_TIMEOUT_S = 10;

/** Milliseconds between two checks whether the drain is complete. */
const DRAIN_POLL_MS = 100;

/** The names of the enabled features, as validated by the build (cli/buildFeatures.ts). */
const BUILT_FEATURES = 'target/features.json';

/**
 * The enabled features are part of the build and are read into the startup snapshot, because a controller has no disk to
 * read them from.
 */
const builtFeatures = existsSync(BUILT_FEATURES)
  ? (JSON.parse(readTextFile(BUILT_FEATURES)) as string[])
  : [];

/** Reads the features from the file given by `--features`. */
async function readFeatures(path: string): Promise<string[]> {
  const { readFeatureFile } = await import('./cli/featureFile.js');
  return readFeatureFile(path);
}

function load(config: string, properties: string | undefined): [Settings, Tuning] {
  const settings = parseSettings(readTextFile(config));
  const tuning = properties === undefined ? defaultTuning : parseTuning(readTextFile(properties));
  return [settings, tuning];
}

/** Exits before the node has written anything if it cannot read the stored records (safety, R3). */
function exitUnreadable(reason: string): void {
  log.error(reason);
  process.exit(EXIT_REFUSED);
}

/** On SIGTERM, relinquishes the leadership of all shards and exits, after the given number of seconds at the latest. */
function drainOnSigterm(controller: Controller, seconds: number): void {
  process.once('SIGTERM', () => {
    log.info('draining before the end');
    controller.drain.begin();
    const deadline = systemClock.now() + seconds;
    setInterval(() => {
      if (controller.drain.isDone || systemClock.now() >= deadline) process.exit(0);
    }, DRAIN_POLL_MS);
  });
}

async function serve(
  settings: Settings,
  tuning: Tuning,
  features: readonly string[],
): Promise<void> {
  const listen = parseAddress(settings.clientListen);
  const peerListen = parseAddress(settings.peerListen);
  if (listen === null || peerListen === null)
    throw new SettingsError(
      'settings: client_listen or back is not an address of the form host:port',
    );
  // Identifies this start of the process; the names of machine rentals are derived from it.
  const runId = `${Math.round(systemClock.wall() * 1000).toString(36)}${process.pid.toString(36)}`;
  const random = seededRandom(Math.floor(systemClock.wall() * 1000) % 0x7fffffff);
  const { maxSockets } = settings;
  // Separate connection limits, so that unresponsive machines cannot use up the connections to the state service.
  const clients = {
    services: new HttpClient(Math.floor(maxSockets / 24), settings.heartbeatInterval * 4),
    machines: new HttpClient(Math.floor(maxSockets / 6), settings.heartbeatInterval * 4),
  };
  const rollout = await setUpRollout(features, exitUnreadable);
  const controller = new Controller(settings, tuning, systemClock, random, clients, runId, rollout);
  if (tuning.drainSeconds > 0) drainOnSigterm(controller, tuning.drainSeconds);
  const gateway = new Gateway(controller);
  const server = new HttpServer((request, isFollowUp) => gateway.handle(request, isFollowUp), {
    bodyLimit: maxBodyBytes,
    maxConnections: Math.floor(maxSockets * 0.75),
    maxInFlight: Math.floor(maxSockets / 10),
    requestTimeout: REQUEST_TIMEOUT_S,
    // Workers send several heartbeats per lease; users and health checks send requests more often than that.
    idleTimeout: settings.workerLease,
    essential: isEssential,
  });
  const peers = new PeerServer((body) => gateway.handlePeerMessage(body));
  await peers.listen(peerListen);
  await server.listen(listen);
  log.info(`barrowlb ${VERSION} listens on ${settings.clientListen} as ${settings.label}`);
  controller.start();
}

interface RootOptions {
  config?: string;
  properties?: string;
  features?: string;
  check?: boolean;
}

async function main(): Promise<void> {
  setLogLevel(process.env.LOG_LEVEL);
  const program = new Command('barrowlb');
  program
    .description('A cluster scheduler. With --config it runs as a controller.')
    .version(VERSION)
    .option('--config <file>', "the platform's settings file (TOML)")
    .option('--properties <file>', "operators' own settings (Java-style properties)")
    .option('--features <file>', 'what is switched on, instead of what the build was made with')
    .option('--check', 'read the settings, say whether they are sound, and end')
    .exitOverride()
    .action(async (options: RootOptions) => {
      if (options.config === undefined) {
        throw new SettingsError('nothing to do: give --config FILE, or see --help');
      }
      const [settings, tuning] = load(options.config, options.properties);
      const { features: file } = options;
      const features = file === undefined ? builtFeatures : await readFeatures(file);
      if (options.check === true) {
        process.stdout.write(`settings are sound: ${settings.label} in ${settings.zone}\n`);
        return;
      }
      await serve(settings, tuning, features);
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
  addRolloutCommands(program);
  await program.parseAsync();
}

function start(): void {
  // An error in one request must not stop the controller; the reconciliation loops repair incomplete work.
  process.on('unhandledRejection', (error) => {
    log.error(`unhandled: ${describeError(error)}`);
  });
  main().catch((error: unknown) => {
    if (error instanceof CommanderError) {
      process.exitCode = error.exitCode;
      return;
    }
    const isUserError = error instanceof SettingsError || error instanceof QueryError;
    process.stderr.write(`barrowlb: ${isUserError ? error.message : describeError(error)}\n`);
    process.exit(1);
  });
}

// Environment, arguments and clocks must not be read before this point: the snapshot would preserve their build-time values.
if (startupSnapshot.isBuildingSnapshot()) startupSnapshot.setDeserializeMainFunction(start);
else start();
