//! The platform's settings file (TOML) and what is derived from it.

mod cancellation_budget;

pub use cancellation_budget::{CancellationBudget, CancellationBudgetError};

use crate::config::operators::Operators;
use crate::units::Micros;
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Why the settings can't be used; one line that names the key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file's name.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is not TOML, or a key is missing or of the wrong type.
    #[error("{file}: {reason}")]
    Form {
        /// The file's name.
        file: String,
        /// What is wrong, on one line.
        reason: String,
    },
    /// A value is out of range.
    #[error("{key}: {reason}")]
    Value {
        /// The key's full name.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

#[derive(Deserialize, Clone, Debug)]
struct File {
    member: String,
    #[serde(default)]
    location: String,
    api_addr: SocketAddrV4,
    back: SocketAddrV4,
    #[serde(default)]
    seeds: Vec<Seed>,
    outside: Outside,
    settings: Inner,
}

/// Another controller.
#[derive(Deserialize, Clone, Debug)]
pub struct Seed {
    /// Its name.
    pub member: String,
    /// Its zone.
    #[serde(default)]
    pub location: String,
    /// Where it listens for peers.
    pub addr: SocketAddrV4,
}

#[derive(Deserialize, Clone, Debug)]
struct Outside {
    cloud: SocketAddrV4,
    state: SocketAddrV4,
}

#[derive(Deserialize, Clone, Debug)]
struct Inner {
    #[serde(default)]
    teams: Vec<TeamSettings>,
    #[serde(default)]
    objectives: Vec<Objective>,
    workers: Workers,
    state: State,
    cloud: Cloud,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Deserialize, Clone, Debug)]
pub struct TeamSettings {
    /// The team's name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors in use at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs in use at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected for a class of jobs.
#[derive(Deserialize, Clone, Debug)]
pub struct Objective {
    /// `wait`, `finished`, `deadline`, `guarantee` or others.
    #[serde(default)]
    pub kind: String,
    /// The class.
    #[serde(default)]
    pub class: String,
    /// Within how many seconds.
    #[serde(default)]
    pub within_s: f64,
}

#[derive(Deserialize, Clone, Debug)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize, Clone, Debug)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    #[serde(default)]
    next: NextState,
}

/// The limits that the state service will have from some moment on, without notice.
#[derive(Deserialize, Clone, Debug, Default)]
struct NextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

impl State {
    /// The lesser of each limit, now and later. A write must not depend on a limit that may have
    /// gone: nobody says when, and a refused value looks like a malformed one. Staying within both
    /// from the start needs no guess, and a restarted controller nothing to remember.
    fn lesser(&self) -> State {
        let n = &self.next;
        State {
            rps: n.rps.map_or(self.rps, |x| x.min(self.rps)),
            write_rps: n.write_rps.map_or(self.write_rps, |x| x.min(self.write_rps)),
            value_kb: n.value_kb.map_or(self.value_kb, |x| x.min(self.value_kb)),
            txn_ops: n.txn_ops.map_or(self.txn_ops, |x| x.min(self.txn_ops)),
            next: NextState::default(),
        }
    }
}

#[derive(Deserialize, Clone, Debug)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

/// All that the service is told, checked, and the timers that follow from it.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub member: String,
    /// Its zone.
    pub zone: String,
    /// Where users, workers and health checks come in.
    pub api: SocketAddrV4,
    /// Where peers come in.
    pub back: SocketAddrV4,
    /// The other controllers.
    pub seeds: Vec<Seed>,
    /// All controllers' names in order; a position in this list is a controller's number.
    pub members: Vec<String>,
    /// This controller's number.
    pub me: usize,
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The state service's address.
    pub state: SocketAddrV4,
    /// The teams.
    pub teams: Vec<TeamSettings>,
    /// What is expected of each class.
    pub objectives: Vec<Objective>,
    /// Interval of workers' reports.
    pub report: Micros,
    /// How long a worker lives without an answer.
    pub worker_lease: Micros,
    /// How long a gang's task waits for the others.
    pub gang_wait: Micros,
    /// How soon a gang notices a lost task.
    pub gang_peer: Micros,
    /// How soon a cancelled job's tasks must be gone.
    pub cancel: Micros,
    /// This controller's share of the state service's requests per second; like the limits that follow, the
    /// lesser of what holds now and what will hold later.
    pub store_rps: f64,
    /// This controller's share of changes per second.
    pub store_write_rps: f64,
    /// Longest value, in bytes.
    pub value_bytes: usize,
    /// Most changes a transaction.
    pub txn_ops: usize,
    /// Cloud calls per second.
    pub cloud_rps: f64,
    /// How late the cloud's list is.
    pub list_lag: Micros,
    /// How long a controller's store lease lasts. A third of the workers' lease: a silent
    /// controller is replaced while its workers still have time to find the new home.
    pub member_lease: Micros,
    /// How long a peer's word that it knows no newer epoch is good for.
    pub confirmation: Micros,
    /// How long a home answers a machine without a word of its tasks' owners; see `cancellation_budget`.
    pub reach: Micros,
    /// How often digests are sent when nothing changes.
    pub digest: Micros,
    /// What operators have set beyond the platform's file.
    pub operators: Operators,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(file: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.into(), source })?;
        Settings::parse(file, &text)
    }

    /// Checks the text of a settings file.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let f: File = toml::from_str(text).map_err(|e| SettingsError::Form {
            file: file.into(),
            reason: e.to_string().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        let bad = |key: &str, reason: &str| SettingsError::Value { key: key.into(), reason: reason.into() };
        let i = &f.settings;
        let next = &i.state.next;
        for (key, v) in [
            ("settings.state.next.rps", next.rps.unwrap_or(1.0)),
            ("settings.state.next.write_rps", next.write_rps.unwrap_or(1.0)),
            ("settings.state.next.value_kb", next.value_kb.unwrap_or(1.0)),
            ("settings.workers.report_s", i.workers.report_s),
            ("settings.workers.lease_s", i.workers.lease_s),
            ("settings.workers.gang_wait_s", i.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", i.workers.gang_peer_s),
            ("settings.workers.cancel_s", i.workers.cancel_s),
            ("settings.state.rps", i.state.rps),
            ("settings.state.write_rps", i.state.write_rps),
            ("settings.state.value_kb", i.state.value_kb),
            ("settings.cloud.rps", i.cloud.rps),
        ] {
            if !v.is_finite() || v <= 0.0 || v > 1e6 {
                return Err(bad(key, "must be a number above 0 and at most 1000000"));
            }
        }
        if !(0.0..=1e6).contains(&i.cloud.list_lag_s) {
            return Err(bad("settings.cloud.list_lag_s", "must be a number from 0 to 1000000"));
        }
        for (key, n) in [
            ("settings.state.txn_ops", i.state.txn_ops),
            ("settings.state.next.txn_ops", next.txn_ops.unwrap_or(4)),
        ] {
            if n < 4 {
                return Err(bad(key, "must be at least 4"));
            }
        }
        let state = i.state.lesser();
        let mut seen = std::collections::BTreeSet::new();
        for (n, t) in i.teams.iter().enumerate() {
            if !seen.insert(t.name.clone()) || t.name.is_empty() {
                return Err(bad(&format!("settings.teams[{n}].name"), "is empty or repeated"));
            }
            for (key, v) in
                [("cpus", t.cpus), ("cpus_max", t.cpus_max), ("gpus", t.gpus), ("gpus_max", t.gpus_max)]
            {
                if !v.is_finite() || !(0.0..=1e9).contains(&v) {
                    return Err(bad(
                        &format!("settings.teams[{n}].{key}"),
                        "must be a number from 0 to 1000000000",
                    ));
                }
            }
        }
        let mut members: Vec<String> = f.seeds.iter().map(|s| s.member.clone()).collect();
        members.push(f.member.clone());
        members.sort();
        let before = members.len();
        members.dedup();
        if members.len() != before || members.iter().any(|m| m.is_empty() || m.contains(' ')) {
            return Err(bad("seeds", "names must be distinct, not empty and without spaces"));
        }
        if members.len() > 64 {
            return Err(bad("seeds", "at most 64 controllers"));
        }
        let me = members.iter().position(|m| *m == f.member).unwrap_or(0);
        let lease = Micros::from_secs(i.workers.lease_s);
        let share = members.len() as f64;
        let member_lease = Micros((lease.0 / 3).clamp(500_000, 60_000_000));
        let report = Micros::from_secs(i.workers.report_s);
        let cancel = Micros::from_secs(i.workers.cancel_s);
        Ok(Settings {
            me,
            members,
            member: f.member,
            zone: f.location,
            api: f.api_addr,
            back: f.back,
            seeds: f.seeds,
            cloud: f.outside.cloud,
            state: f.outside.state,
            teams: f.settings.teams.clone(),
            objectives: f.settings.objectives.clone(),
            report,
            worker_lease: lease,
            gang_wait: Micros::from_secs(i.workers.gang_wait_s),
            gang_peer: Micros::from_secs(i.workers.gang_peer_s),
            cancel,
            reach: CancellationBudget::new(cancel, lease, report).reach,
            // A tenth is left unspent: the service counts in its own seconds.
            store_rps: state.rps * 0.9 / share,
            store_write_rps: state.write_rps * 0.9 / share,
            value_bytes: (state.value_kb * 1024.0) as usize,
            txn_ops: state.txn_ops,
            cloud_rps: i.cloud.rps,
            list_lag: Micros::from_secs(i.cloud.list_lag_s),
            member_lease,
            confirmation: Micros(member_lease.0 / 2),
            digest: Micros((report.0 / 6).clamp(100_000, 1_000_000)),
            operators: Operators::default(),
        })
    }
}

#[cfg(test)]
mod tests;
