//! Settings like those of the small deployments, and their machine types.

use crate::deploy::Site;

pub const SANAQ: Site = Site {
    zones: &["astana-zal"],
    settings: r#"
[settings]
count = 3
zones = ["astana-zal"]
clock_off_ms = 100.0

[[settings.teams]]
name = "platforma-top"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[settings.objectives]]
kind = "finished"
class = "bet-bolu"
within_s = 300.0
share = 0.985

[settings.workers]
report_s = 4.0
lease_s = 18.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 43.0

[settings.state]
rps = 120.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 8

[settings.cloud]
rps = 8.0
list_lag_s = 8.0

[settings.quota]
cores = 0.12
memory_mb = 104.0
fd_limit = 2000
"#,
};

pub const SANAQ_FLAVORS: &str = r#"{"breedsOfStall":[{"sku":"orta8","vcpus":8,"cards":0,"ramGb":64,"cacheGb":35,"fetchGbPerS":0.6,"rate":0.44,"lowPrice":0.19,"startupS":40,"paddocks":["astana-zal"]}]}"#;

/// After the upgrade: `state.next` holds the limits that the state service will have from some moment on.
pub const KINCSBOLT_NEXT: Site = Site {
    zones: &["buda-a", "buda-b", "pest-c"],
    settings: r#"
[settings]
count = 3
zones = ["buda-a", "buda-b", "pest-c"]
clock_off_ms = 1000.0

[[settings.teams]]
name = "bolt-csapat-00"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-01"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-02"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-03"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-04"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-05"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-06"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-07"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-08"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[[settings.teams]]
name = "bolt-csapat-09"
cpus = 900.0
cpus_max = 3500.0
gpus = 0.0
gpus_max = 0.0

[settings.workers]
report_s = 3.0
lease_s = 21.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 51.0

[settings.state]
rps = 250.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12

[settings.state.next]
write_rps = 15.0
value_kb = 2.0
txn_ops = 4

[settings.cloud]
rps = 3.0
list_lag_s = 8.0

[settings.quota]
cores = 0.16
memory_mb = 104.0
fd_limit = 2000
"#,
};

pub const KINCSBOLT_FLAVORS: &str = r#"{"breedsOfStall":[{"sku":"tolgy16","vcpus":16,"cards":0,"ramGb":64,"cacheGb":60,"fetchGbPerS":0.6,"rate":0.66,"lowPrice":0.27,"startupS":35,"paddocks":["buda-a","buda-b","pest-c"]}]}"#;
