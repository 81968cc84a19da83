//! The platform's settings file (TOML), checked, and the timers and limits that follow from it.
//!
//! Settings are read once, before the controller starts, and never change after that.

mod cancellation_budget;

pub use cancellation_budget::{CancellationBudget, CancellationBudgetError};

use crate::config::operators::Operators;
use crate::units::Micros;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Largest rate, size or time.
const AMOUNT_LIMIT: f64 = 1e6;
/// Largest guarantee or limit of a team.
const TEAM_AMOUNT_LIMIT: f64 = 1e9;
/// The longest transaction of a controller must fit.
const LEAST_TRANSACTION: usize = 4;
/// Most controllers.
const MEMBER_LIMIT: usize = 64;
/// How much of the state service's rates the controllers share out. The rest is left unspent: the service counts in its own
/// seconds.
const STORE_RATE_SHARE: f64 = 0.9;
/// Shortest and longest lease of a controller.
const MEMBER_LEASE_RANGE: (Micros, Micros) = (Micros::from_millis(500), Micros::from_millis(60_000));
/// Shortest and longest interval of status messages between controllers.
const DIGEST_RANGE: (Micros, Micros) = (Micros::from_millis(100), Micros::from_millis(1000));

/// Why the settings can't be used: one line that names the file or the key.
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
/// This, like all that [`Settings`] holds, is printed by the verb `check` in its `Debug` form: fields' names are output.
#[derive(Deserialize, Clone, Debug)]
pub struct Seed {
    /// Its name.
    pub member: String,
    /// Its zone; empty if none is given.
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

/// The table `settings`. Like those of its parts, its name is in the texts of errors.
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

/// What is expected for a class of jobs.
#[derive(Deserialize, Clone, Debug)]
pub struct Objective {
    /// `wait`, `finished`, `deadline`, `guarantee` or others.
    #[serde(default)]
    pub kind: String,
    /// The class.
    #[serde(default)]
    pub class: String,
    /// Within how many seconds it is expected.
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
    /// The lesser of each limit, now and later. A write must not depend on a limit that may have gone: nobody says when, and
    /// a refused value looks like a malformed one. Staying within both from the start needs no guess, and a restarted
    /// controller nothing to remember.
    fn lesser(&self) -> State {
        let later = &self.next;
        State {
            rps: later.rps.map_or(self.rps, |limit| limit.min(self.rps)),
            write_rps: later.write_rps.map_or(self.write_rps, |limit| limit.min(self.write_rps)),
            value_kb: later.value_kb.map_or(self.value_kb, |limit| limit.min(self.value_kb)),
            txn_ops: later.txn_ops.map_or(self.txn_ops, |limit| limit.min(self.txn_ops)),
            next: NextState::default(),
        }
    }
}

#[derive(Deserialize, Clone, Debug)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

/// The settings of a controller. The verb `check` prints them in their `Debug` form: fields' names are output.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub member: String,
    /// Its zone.
    pub zone: String,
    /// Where users, workers and health checks connect.
    pub api: SocketAddrV4,
    /// Where peers connect.
    pub back: SocketAddrV4,
    /// The other controllers.
    pub seeds: Vec<Seed>,
    /// All controllers' names, sorted; an index into this list stands for a controller.
    pub members: Vec<String>,
    /// This controller's index.
    pub me: usize,
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The state service's address.
    pub state: SocketAddrV4,
    /// The teams.
    pub teams: Vec<TeamSettings>,
    /// What is expected of each class.
    pub objectives: Vec<Objective>,
    /// Interval of workers' heartbeats.
    pub report: Micros,
    /// How long a worker runs its tasks without an answer to a heartbeat.
    pub worker_lease: Micros,
    /// How long a gang's task waits for the others to start.
    pub gang_wait: Micros,
    /// How soon a gang notices that one of its tasks is lost.
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
    /// How old the cloud's list may be.
    pub list_lag: Micros,
    /// How long a controller's lease at the state service lasts. A third of the workers' lease: a silent controller is
    /// replaced while its workers still have time to find the new leader.
    pub member_lease: Micros,
    /// How long a peer's confirmation that it knows no newer epoch is valid.
    pub confirmation: Micros,
    /// How long a machine's leader answers it without hearing from the leaders of its tasks' jobs; see
    /// [`CancellationBudget`].
    pub reach: Micros,
    /// How often controllers tell each other their status when nothing changes.
    pub digest: Micros,
    /// What operators have set beyond the platform's file.
    pub operators: Operators,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// If it can't be read, is no TOML of this form, or a value is out of range.
    pub fn load(file: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.into(), source })?;
        Settings::parse(file, &text)
    }

    /// Checks the text of a settings file; `file` is named in errors.
    ///
    /// # Errors
    /// As [`Settings::load`].
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let form: SettingsFile = toml::from_str(text).map_err(|e| SettingsError::Form {
            file: file.into(),
            reason: e.to_string().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        let platform = &form.settings;
        platform.check_amounts()?;
        platform.check_transaction_limits()?;
        check_teams(&platform.teams)?;
        let members = member_names(&form)?;
        Ok(Settings::derive(form, members))
    }

    /// The settings that follow from a valid file.
    fn derive(form: SettingsFile, members: Vec<String>) -> Settings {
        let PlatformSettings { teams, objectives, workers, state, cloud } = form.settings;
        let state = state.lesser();
        let me = members.iter().position(|member| *member == form.member).unwrap_or(0);
        let share = members.len() as f64;
        let worker_lease = Micros::from_secs(workers.lease_s);
        let member_lease = Micros((worker_lease.0 / 3).clamp(MEMBER_LEASE_RANGE.0.0, MEMBER_LEASE_RANGE.1.0));
        let report = Micros::from_secs(workers.report_s);
        let cancel = Micros::from_secs(workers.cancel_s);
        Settings {
            me,
            members,
            member: form.member,
            zone: form.location,
            api: form.api_addr,
            back: form.back,
            seeds: form.seeds,
            cloud: form.outside.cloud,
            state: form.outside.state,
            teams,
            objectives,
            report,
            worker_lease,
            gang_wait: Micros::from_secs(workers.gang_wait_s),
            gang_peer: Micros::from_secs(workers.gang_peer_s),
            cancel,
            reach: CancellationBudget::new(cancel, worker_lease, report).reach,
            store_rps: state.rps * STORE_RATE_SHARE / share,
            store_write_rps: state.write_rps * STORE_RATE_SHARE / share,
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
    /// Rates, sizes and times must be numbers that can be used; a limit of later may be missing.
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
            ("settings.state.next.txn_ops", self.state.next.txn_ops.unwrap_or(LEAST_TRANSACTION)),
        ] {
            if limit < LEAST_TRANSACTION {
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

/// The names of all controllers, sorted: each has the same index everywhere.
fn member_names(form: &SettingsFile) -> Result<Vec<String>, SettingsError> {
    let mut names: Vec<String> = form.seeds.iter().map(|seed| seed.member.clone()).collect();
    names.push(form.member.clone());
    names.sort();
    let given = names.len();
    names.dedup();
    if names.len() != given || names.iter().any(|name| name.is_empty() || name.contains(' ')) {
        return Err(out_of_range("seeds", "names must be distinct, not empty and without spaces"));
    }
    if names.len() > MEMBER_LIMIT {
        return Err(out_of_range("seeds", "at most 64 controllers"));
    }
    Ok(names)
}

#[cfg(test)]
mod tests;
