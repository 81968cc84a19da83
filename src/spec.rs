//! Job specifications as the scheduler uses them, machine types, and the check whether a job can ever run.
//!
//! The format in which users submit a job is in [`crate::wire::users::submission`].

use crate::config::settings::TeamSettings;
use crate::units::{Micros, Resources};
use hazelsaddle_coordination::record::{self, Key};
use hazelsaddle_release::calendar::Stage;
use hazelsaddle_release::release_ref::ReleaseRef;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Added to the priority of work within its team's guarantee. Such work goes before all other work and may preempt the
/// work that other teams run beyond their guarantees.
pub const GUARANTEED_PRIORITY_BONUS: u8 = 10;
/// Least base priority (without [`GUARANTEED_PRIORITY_BONUS`]) of urgent work.
const URGENT_PRIORITY: u8 = 2;

/// How a job's tasks depend on one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// Independent tasks.
    Array,
    /// Tasks that all run at the same time or not at all.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// A job's specification. Its fields are valid, but whether the platform can ever run it is up to [`JobSpec::check`].
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The job's id.
    pub id: String,
    /// The job's class; objectives are set per class.
    pub class: String,
    /// The team whose quota it uses.
    pub team: String,
    /// How its tasks depend on one another.
    pub kind: JobKind,
    /// Jobs of higher priority go first: production 3, high 2, normal 1, idle 0; within the team's guarantee,
    /// [`GUARANTEED_PRIORITY_BONUS`] is added.
    pub priority: u8,
    /// How many tasks, at least one.
    pub task_count: u32,
    /// The resources of one task.
    pub resources_per_task: Resources,
    /// Allowed machine types; empty: any.
    pub machine_types: Vec<String>,
    /// The only allowed zone; None: any.
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether spot machines are allowed.
    pub spot_allowed: bool,
    /// The container image.
    pub image: String,
    /// Hash of the image's name.
    pub image_hash: u64,
    /// The submitter's estimate of a task's run time.
    pub estimated_run_time: Micros,
    /// Interval between checkpoints; zero: the job writes none.
    pub checkpoint_interval: Micros,
    /// How long a checkpoint takes when a task is preempted.
    pub checkpoint_duration: Micros,
    /// How long after its submission it should be complete.
    pub deadline: Option<Micros>,
    /// Jobs that must have succeeded before any of its tasks starts: sorted, without duplicates.
    pub dependencies: Vec<String>,
    /// The release that it belongs to.
    pub release: Option<ReleaseRef>,
    /// The batch and version that it is a run of.
    pub batch: Option<BatchRef>,
    /// The batch and version that it merges.
    pub merges: Option<BatchRef>,
}

/// A batch and one version of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRef {
    /// The batch's name.
    pub name: String,
    /// Its version.
    pub version: u64,
}

impl BatchRef {
    /// The key of the batch's coordination record; None if the name contains characters that a key must not have.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        Key::new(record::Kind::Batch, &self.name).ok()
    }
}

/// A machine type of the cloud.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(from = "crate::wire::cloud::machine_type::MachineType")]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// Processors.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
    /// Price an hour.
    pub price: f64,
    /// Price an hour as a spot machine.
    pub spot_price: f64,
    /// Usual boot time, in seconds.
    pub boot_s: f64,
    /// Zones that offer it.
    pub zones: Vec<String>,
}

impl MachineType {
    /// The resources of a whole machine. They are rounded down, because those of tasks are rounded up.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        let round_down = |amount: f64| (amount * 1000.0 + 1e-6).floor() as i64;
        Resources {
            cpus: round_down(self.cpus),
            gpus: round_down(self.gpus),
            memory: round_down(self.memory_gb),
        }
    }
}

/// The machine types by name.
pub type MachineTypes = BTreeMap<String, MachineType>;

/// Why a job can never run on this platform. The texts are sent to users.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ImpossibleJob {
    /// It depends on itself.
    #[error("follows: {0} can't wait for itself")]
    DependsOnItself(String),
    /// The team is not in the settings.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// No machine of an allowed type in an allowed zone can hold one task.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// A gang that must be spread, with one zone to run in.
    #[error("a gang's tasks can't be scattered over a single zone")]
    SpreadOverOneZone,
    /// The tasks that must run at the same time exceed the team's quota limit.
    #[error("the job needs more {resource} than its team's limit")]
    OverTeamLimit {
        /// `processors` or `GPUs`.
        resource: &'static str,
    },
}

/// Whether this is a job id: `wk-` and 1 to 18 digits.
#[must_use]
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("wk-").is_some_and(|number| {
        (1..=18).contains(&number.len()) && number.bytes().all(|byte| byte.is_ascii_digit())
    })
}

impl JobSpec {
    /// Whether the job is urgent and writes no checkpoints. Placement avoids spot machines for such a job even if an
    /// on-demand machine is less full: the loss of a spot machine costs it more than tighter packing saves.
    #[must_use]
    pub fn is_urgent_without_checkpoints(&self) -> bool {
        self.priority % GUARANTEED_PRIORITY_BONUS >= URGENT_PRIORITY
            && self.checkpoint_interval == Micros(0)
            && self.kind != JobKind::Service
    }

    /// Whether the job names a release or a batch. Such jobs are accepted only while every controller supports
    /// coordination records.
    #[must_use]
    pub fn has_coordination_record(&self) -> bool {
        self.release.is_some() || self.batch.is_some() || self.merges.is_some()
    }

    /// Whether the job is a rotation, which waits until its release is complete.
    #[must_use]
    pub fn is_rotation(&self) -> bool {
        self.release.as_ref().is_some_and(|release| release.stage == Stage::Rotation)
    }

    /// Checks that the job could run if the platform were empty.
    ///
    /// # Errors
    /// The first reason why it can never run.
    pub fn check(&self, types: &MachineTypes, teams: &[TeamSettings]) -> Result<(), ImpossibleJob> {
        if self.dependencies.contains(&self.id) {
            return Err(ImpossibleJob::DependsOnItself(self.id.clone()));
        }
        let team = teams.iter().find(|team| team.name == self.team);
        let team = team.ok_or_else(|| ImpossibleJob::UnknownTeam(self.team.clone()))?;
        if !types.values().any(|machine_type| self.can_use(machine_type)) {
            return Err(ImpossibleJob::NoMachineType);
        }
        self.check_spread(types)?;
        self.check_team_limit(team)
    }

    /// Whether a task fits on a machine of this type in an allowed zone.
    fn can_use(&self, machine_type: &MachineType) -> bool {
        (self.machine_types.is_empty() || self.machine_types.contains(&machine_type.name))
            && match &self.zone {
                Some(zone) => machine_type.zones.contains(zone),
                None => !machine_type.zones.is_empty(),
            }
            && machine_type.capacity().can_hold(self.resources_per_task)
    }

    /// Checks that a gang with the `spread` constraint has at least two zones. It runs all its tasks at the same time, so
    /// with a single zone it would wait for ever.
    fn check_spread(&self, types: &MachineTypes) -> Result<(), ImpossibleJob> {
        if self.kind != JobKind::Gang || !self.spread || self.task_count <= 1 {
            return Ok(());
        }
        let is_allowed = |zone: &&String| self.zone.as_ref().is_none_or(|only| only == *zone);
        let usable = types.values().filter(|machine_type| self.can_use(machine_type));
        let zones: BTreeSet<&String> =
            usable.flat_map(|machine_type| &machine_type.zones).filter(is_allowed).collect();
        if self.one_zone || zones.len() < 2 {
            return Err(ImpossibleJob::SpreadOverOneZone);
        }
        Ok(())
    }

    /// Checks that the tasks that must run at the same time are within the team's limit.
    fn check_team_limit(&self, team: &TeamSettings) -> Result<(), ImpossibleJob> {
        let concurrent_tasks = if self.kind == JobKind::Array { 1 } else { i64::from(self.task_count) };
        let needed = self.resources_per_task.times(concurrent_tasks);
        for (needed, limit, resource) in
            [(needed.cpus, team.cpus_max, "processors"), (needed.gpus, team.gpus_max, "GPUs")]
        {
            if limit > 0.0 && needed > (limit * 1000.0 + 1e-6) as i64 {
                return Err(ImpossibleJob::OverTeamLimit { resource });
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
