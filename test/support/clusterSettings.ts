/** The settings file of one controller of a test cluster, in the form in which the platform writes it. */

export interface Endpoint {
  label: string;
  zone: string;
  address: string;
}

export interface ClusterSettings {
  label: string;
  zone: string;
  clientAddress: string;
  peerAddress: string;
  peers: Endpoint[];
  cloud: string;
  state: string;
  zones: readonly string[];
  /** TOML lines of the settings. */
  teams: string;
  skewMs: number;
  /** The heartbeat interval of the workers, their lease, and the timeout of cancellations, in seconds. */
  heartbeatInterval: number;
  workerLease: number;
  cancellationTimeout: number;
  /** Limits of the state service, per second. */
  stateRequestRate: number;
  stateWriteRate: number;
  /** Announced future limits of the state service, as TOML lines of the settings. */
  nextStateLimits?: string | undefined;
}

const tomlFloat = (value: number): string =>
  Number.isInteger(value) ? value.toFixed(1) : String(value);

const peerToml = ({ label, zone, address }: Endpoint): string =>
  `[[peers]]\nlabel = "${label}"\nsite = "${zone}"\nendpoint = "${address}"`;

export function settingsText(settings: ClusterSettings): string {
  const { nextStateLimits: nextLimits } = settings;
  return `
label = "${settings.label}"
site = "${settings.zone}"
client_listen = "${settings.clientAddress}"
back = "${settings.peerAddress}"
${settings.peers.map(peerToml).join('\n')}
[services]
cloud = "${settings.cloud}"
state = "${settings.state}"
[settings]
zones = [${settings.zones.map((zone) => `"${zone}"`).join(', ')}]
skew_ms = ${tomlFloat(settings.skewMs)}
${settings.teams}
[settings.workers]
report_s = ${tomlFloat(settings.heartbeatInterval)}
lease_s = ${tomlFloat(settings.workerLease)}
cancel_s = ${tomlFloat(settings.cancellationTimeout)}
[settings.state]
rps = ${tomlFloat(settings.stateRequestRate)}
write_rps = ${tomlFloat(settings.stateWriteRate)}
value_kb = 32.0
txn_ops = 16
${nextLimits === undefined ? '' : `[settings.state.next]\n${nextLimits}`}
[settings.cloud]
rps = 50.0
list_lag_s = 1.0
[settings.limits]
cores = 1.0
ram_mb = 200.0
fd_limit = 1000
`;
}
