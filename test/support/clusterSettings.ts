/** The settings file of one controller of a test cluster, as the platform would write it. */

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
  /** As lines of the settings. */
  teams: string;
  skewMs: number;
  heartbeatInterval: number;
  workerLease: number;
  cancellationTimeout: number;
  stateRequestRate: number;
  stateWriteRate: number;
  /** Limits that the state service will have, as lines of the settings. */
  nextStateLimits?: string | undefined;
}

const decimal = (value: number): string =>
  Number.isInteger(value) ? value.toFixed(1) : String(value);

const peerText = ({ label, zone, address }: Endpoint): string =>
  `[[peers]]\nlabel = "${label}"\nsite = "${zone}"\nendpoint = "${address}"`;

export function settingsText(settings: ClusterSettings): string {
  const { nextStateLimits: nextLimits } = settings;
  return `
label = "${settings.label}"
site = "${settings.zone}"
client_listen = "${settings.clientAddress}"
back = "${settings.peerAddress}"
${settings.peers.map(peerText).join('\n')}
[services]
cloud = "${settings.cloud}"
state = "${settings.state}"
[settings]
zones = [${settings.zones.map((zone) => `"${zone}"`).join(', ')}]
skew_ms = ${decimal(settings.skewMs)}
${settings.teams}
[settings.workers]
report_s = ${decimal(settings.heartbeatInterval)}
lease_s = ${decimal(settings.workerLease)}
cancel_s = ${decimal(settings.cancellationTimeout)}
[settings.state]
rps = ${decimal(settings.stateRequestRate)}
write_rps = ${decimal(settings.stateWriteRate)}
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
