//! Parses and checks the platform's settings file (TOML) and derives the controller's timers and limits from it.
//!
//! Settings are read once, before the controller starts, and never change after that.

mod cancellation_budget;

pub use cancellation_budget::{CancellationBudget, CancellationBudgetError};

use crate::config::operators::Operators;
use crate::units::Micros;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Largest rate, size or time that a settings file may have.
const AMOUNT_LIMIT: f64 = 1e6;
/// Largest guarantee or quota limit of a team.
const TEAM_AMOUNT_LIMIT: f64 = 1e9;
/// Least limit of operations per transaction with which a controller's longest transaction still fits.
const MIN_TRANSACTION_OPS: usize = 4;
/// Most controllers.
const MEMBER_LIMIT: usize = 64;
/// Fraction of the state service's rate limits that the controllers use together. The rest is a reserve, because the
/// one-second windows in which the service counts requests are not aligned with the controllers' windows.
const STORE_RATE_SHARE: f64 = 0.9;
/// Shortest and longest lease of a controller.
const MEMBER_LEASE_RANGE: (Micros, Micros) = (Micros::from_millis(500), Micros::from_millis(60_000));
/// Shortest and longest interval of status messages between controllers.
const DIGEST_RANGE: (Micros, Micros) = (Micros::from_millis(100), Micros::from_millis(1000));

/// Descriptors of a process whose settings name no limit.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
/// Most threads that the platform allows a process; each HTTP connection has one.
const THREAD_LIMIT: usize = 2000;
/// Descriptors and threads kept for everything but HTTP connections: peers' connections in both directions, calls to the
/// state service, the cloud and workers, standard streams and listeners.
const RESERVED_FOR_OUTBOUND: usize = 128;
/// Fewest HTTP connections, however low the limits are.
const MIN_HTTP_CONNECTIONS: usize = 16;

/// Why the settings can't be used; the message is one line that names the file or the key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file's name.
        file: String,
        /// The operating system's error.
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
struct SettingsFile {
    member: String,
    #[serde(default)]
    location: String,
    api_addr: SocketAddrV4,
    back: SocketAddrV4,
    #[serde(default)]
    seeds: Vec<Seed>,
    outside: Outside,
    settings: PlatformSettings,
}

/// Another controller.
///
/// The subcommand `check` prints this, like all of [`Settings`], in its `Debug` format, so field names are output.
#[derive(Deserialize, Clone, Debug)]
pub struct Seed {
    /// Its name.
    pub member: String,
    /// Its zone; empty if the file names none.
    #[serde(default)]
    pub location: String,
    /// The address at which it listens for peers.
    pub addr: SocketAddrV4,
}

#[derive(Deserialize, Clone, Debug)]
struct Outside {
    cloud: SocketAddrV4,
    state: SocketAddrV4,
}

/// The table `settings`. Error messages contain the names of this struct (as given by `expecting`) and of its sub-tables.
#[derive(Deserialize, Clone, Debug)]
#[serde(expecting = "struct Inner")]
struct PlatformSettings {
    #[serde(default)]
    teams: Vec<TeamSettings>,
    #[serde(default)]
    objectives: Vec<Objective>,
    workers: Workers,
    state: State,
    cloud: Cloud,
    #[serde(default)]
    quota: ProcessQuota,
}

/// Limits of the controller's process.
#[derive(Deserialize, Clone, Debug, Default)]
struct ProcessQuota {
    fd_limit: Option<usize>,
}

impl ProcessQuota {
    /// Most HTTP connections, so that everything else always gets a descriptor and a thread.
    fn http_connections(&self) -> usize {
        let limit = self.fd_limit.unwrap_or(DEFAULT_DESCRIPTOR_LIMIT).min(THREAD_LIMIT);
        limit.saturating_sub(RESERVED_FOR_OUTBOUND).max(MIN_HTTP_CONNECTIONS)
    }
}

/// A team's guarantee and quota limit; 0 means none.
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

/// A service-level objective for a class of jobs.
#[derive(Deserialize, Clone, Debug)]
pub struct Objective {
    /// `wait`, `finished`, `deadline`, `guarantee` or others.
    #[serde(default)]
    pub kind: String,
    /// The class.
    #[serde(default)]
    pub class: String,
    /// The objective's time limit, in seconds.
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

/// Limits of the state service that will come into force at some unknown time, without notice.
#[derive(Deserialize, Clone, Debug, Default)]
struct NextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

impl State {
    /// The lower one of each present limit and its future value. The service does not announce the change, and its answer
    /// to a value that is too long looks like the one to a malformed value. Observing both limits from the start avoids
    /// guessing when the change came, and leaves a restarted controller no state to recover.
    fn lower_limits(&self) -> State {
        let next = &self.next;
        State {
            rps: next.rps.map_or(self.rps, |limit| limit.min(self.rps)),
            write_rps: next.write_rps.map_or(self.write_rps, |limit| limit.min(self.write_rps)),
            value_kb: next.value_kb.map_or(self.value_kb, |limit| limit.min(self.value_kb)),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |limit| limit.min(self.txn_ops)),
            next: NextState::default(),
        }
    }
}

#[derive(Deserialize, Clone, Debug)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

/// The settings of a controller. The subcommand `check` prints them in their `Debug` format, so field names are output.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub member: String,
    /// Its zone.
    pub zone: String,
    /// The address for users, workers and health checks.
    pub api: SocketAddrV4,
    /// Most connections to that address at a time.
    pub http_connections: usize,
    /// The address for peers.
    pub back: SocketAddrV4,
    /// The other controllers.
    pub seeds: Vec<Seed>,
    /// All controllers' names, sorted. A controller's member index is its position in this list.
    pub members: Vec<String>,
    /// This controller's member index.
    pub me: usize,
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The state service's address.
    pub state: SocketAddrV4,
    /// The teams.
    pub teams: Vec<TeamSettings>,
    /// The service-level objectives of job classes.
    pub objectives: Vec<Objective>,
    /// Interval of workers' heartbeats.
    pub report: Micros,
    /// How long a worker goes on running its tasks after the last heartbeat that was answered.
    pub worker_lease: Micros,
    /// How long a gang's task waits for the others to start.
    pub gang_wait: Micros,
    /// Time within which a gang's tasks detect that one of them is lost.
    pub gang_peer: Micros,
    /// Time within which all tasks of a cancelled job must have stopped.
    pub cancel: Micros,
    /// This controller's share of the state service's requests per second. For this and the three limits below the lower
    /// one of the present and the announced limit counts.
    pub store_rps: f64,
    /// This controller's share of the state service's writes per second.
    pub store_write_rps: f64,
    /// Longest value of the state service, in bytes.
    pub value_bytes: usize,
    /// Most operations per transaction of the state service.
    pub txn_ops: usize,
    /// Cloud calls per second.
    pub cloud_rps: f64,
    /// How stale the cloud's machine list may be.
    pub list_lag: Micros,
    /// Duration of a controller's lease at the state service. It is a third of the workers' lease, so that a failed
    /// controller is replaced while its workers still have time to find the new leader.
    pub member_lease: Micros,
    /// How long a peer's confirmation that it has seen no newer epoch stays valid.
    pub confirmation: Micros,
    /// How long a machine leader goes on answering the machine's heartbeats while it gets no messages from the leaders of
    /// its tasks' jobs; see [`CancellationBudget::leader_silence_limit`].
    pub reach: Micros,
    /// Interval of status messages between controllers while nothing changes.
    pub digest: Micros,
    /// The operators' settings; set after the platform's file has been read.
    pub operators: Operators,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// If the file can't be read, is not TOML of this structure, or a value is out of range.
    pub fn load(file: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.into(), source })?;
        Settings::parse(file, &text)
    }

    /// Parses the text of a settings file; `file` is its name in error messages.
    ///
    /// # Errors
    /// As [`Settings::load`].
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let parsed: SettingsFile = toml::from_str(text).map_err(|e| SettingsError::Form {
            file: file.into(),
            reason: e.to_string().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        let platform = &parsed.settings;
        platform.check_amounts()?;
        platform.check_transaction_limits()?;
        check_teams(&platform.teams)?;
        let members = member_names(&parsed)?;
        Ok(Settings::derive(parsed, members))
    }

    /// Derives the settings from a valid file.
    fn derive(file: SettingsFile, members: Vec<String>) -> Settings {
        let PlatformSettings { teams, objectives, workers, state, cloud, quota } = file.settings;
        let state = state.lower_limits();
        let me = members.iter().position(|member| *member == file.member).unwrap_or(0);
        let controller_count = members.len() as f64;
        let worker_lease = Micros::from_secs(workers.lease_s);
        let member_lease = Micros((worker_lease.0 / 3).clamp(MEMBER_LEASE_RANGE.0.0, MEMBER_LEASE_RANGE.1.0));
        let report = Micros::from_secs(workers.report_s);
        let cancel = Micros::from_secs(workers.cancel_s);
        Settings {
            me,
            members,
            member: file.member,
            zone: file.location,
            api: file.api_addr,
            http_connections: quota.http_connections(),
            back: file.back,
            seeds: file.seeds,
            cloud: file.outside.cloud,
            state: file.outside.state,
            teams,
            objectives,
            report,
            worker_lease,
            gang_wait: Micros::from_secs(workers.gang_wait_s),
            gang_peer: Micros::from_secs(workers.gang_peer_s),
            cancel,
            reach: CancellationBudget::new(cancel, worker_lease, report).leader_silence_limit,
            store_rps: state.rps * STORE_RATE_SHARE / controller_count,
            store_write_rps: state.write_rps * STORE_RATE_SHARE / controller_count,
            value_bytes: (state.value_kb * 1024.0) as usize,
            txn_ops: state.txn_ops,
            cloud_rps: cloud.rps,
            list_lag: Micros::from_secs(cloud.list_lag_s),
            member_lease,
            confirmation: Micros(member_lease.0 / 2),
            digest: Micros((report.0 / 6).clamp(DIGEST_RANGE.0.0, DIGEST_RANGE.1.0)),
            operators: Operators::default(),
        }
    }
}

impl PlatformSettings {
    /// Checks that rates, sizes and times are finite and in range. Future limits are optional.
    fn check_amounts(&self) -> Result<(), SettingsError> {
        let (workers, state) = (&self.workers, &self.state);
        let next = &state.next;
        for (key, amount) in [
            ("settings.state.next.rps", next.rps.unwrap_or(1.0)),
            ("settings.state.next.write_rps", next.write_rps.unwrap_or(1.0)),
            ("settings.state.next.value_kb", next.value_kb.unwrap_or(1.0)),
            ("settings.workers.report_s", workers.report_s),
            ("settings.workers.lease_s", workers.lease_s),
            ("settings.workers.gang_wait_s", workers.gang_wait_s),
            ("settings.workers.gang_peer_s", workers.gang_peer_s),
            ("settings.workers.cancel_s", workers.cancel_s),
            ("settings.state.rps", state.rps),
            ("settings.state.write_rps", state.write_rps),
            ("settings.state.value_kb", state.value_kb),
            ("settings.cloud.rps", self.cloud.rps),
        ] {
            if !amount.is_finite() || amount <= 0.0 || amount > AMOUNT_LIMIT {
                return Err(out_of_range(key, "must be a number above 0 and at most 1000000"));
            }
        }
        if !(0.0..=AMOUNT_LIMIT).contains(&self.cloud.list_lag_s) {
            return Err(out_of_range("settings.cloud.list_lag_s", "must be a number from 0 to 1000000"));
        }
        Ok(())
    }

    fn check_transaction_limits(&self) -> Result<(), SettingsError> {
        for (key, limit) in [
            ("settings.state.txn_ops", self.state.txn_ops),
            ("settings.state.next.txn_ops", self.state.next.txn_ops.unwrap_or(MIN_TRANSACTION_OPS)),
        ] {
            if limit < MIN_TRANSACTION_OPS {
                return Err(out_of_range(key, "must be at least 4"));
            }
        }
        Ok(())
    }
}

fn out_of_range(key: &str, reason: &str) -> SettingsError {
    SettingsError::Value { key: key.into(), reason: reason.into() }
}

fn check_teams(teams: &[TeamSettings]) -> Result<(), SettingsError> {
    let mut names = BTreeSet::new();
    for (n, team) in teams.iter().enumerate() {
        if !names.insert(team.name.as_str()) || team.name.is_empty() {
            return Err(out_of_range(&format!("settings.teams[{n}].name"), "is empty or repeated"));
        }
        for (key, amount) in [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ] {
            if !amount.is_finite() || !(0.0..=TEAM_AMOUNT_LIMIT).contains(&amount) {
                let key = format!("settings.teams[{n}].{key}");
                return Err(out_of_range(&key, "must be a number from 0 to 1000000000"));
            }
        }
    }
    Ok(())
}

/// The names of all controllers, sorted, so that each has the same member index on all controllers.
fn member_names(file: &SettingsFile) -> Result<Vec<String>, SettingsError> {
    let mut names: Vec<String> = file.seeds.iter().map(|seed| seed.member.clone()).collect();
    names.push(file.member.clone());
    names.sort();
    let count_with_duplicates = names.len();
    names.dedup();
    if names.len() != count_with_duplicates || names.iter().any(|name| name.is_empty() || name.contains(' '))
    {
        return Err(out_of_range("seeds", "names must be distinct, not empty and without spaces"));
    }
    if names.len() > MEMBER_LIMIT {
        return Err(out_of_range("seeds", "at most 64 controllers"));
    }
    Ok(names)
}

#[cfg(test)]
mod tests;
