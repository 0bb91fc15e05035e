/** A settings file of one controller in the platform's form, with an unknown field. */
export const settingsText = (peers = ''): string => `
label = "drone-0"
site = "a"
client_listen = "127.0.0.1:1"
back = "127.0.0.1:2"
unheard_of = 1
${peers}[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
zones = ["a"]
[[settings.teams]]
name = "crew"
[settings.workers]
report_s = 3.0
lease_s = 18.0
cancel_s = 43.0
[settings.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 16
[settings.cloud]
rps = 8.0
list_lag_s = 8.0
[settings.limits]
cores = 0.4
ram_mb = 178.0
fd_limit = 1800
`;
