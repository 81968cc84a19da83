//! A job's specification as the scheduler uses it, machine types, and the check whether a job can ever run.
//!
//! The form in which users submit a job is [`crate::wire::users::submission`].

use crate::config::settings::TeamSettings;
use crate::units::{Micros, Resources};
use hazelsaddle_coordination::record::{self, Key};
use hazelsaddle_release::calendar::Stage;
use hazelsaddle_release::release_ref::ReleaseRef;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Added to the priority of work within its team's guarantee, which goes before all other work and may preempt what
/// other teams run beyond theirs.
pub const GUARANTEED_PRIORITY_BONUS: u8 = 10;
/// From this priority on, without the guarantee's addition, work is urgent.
const URGENT_PRIORITY: u8 = 2;

/// How a job's tasks hang together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// Independent tasks.
    Array,
    /// All run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// A job's specification, valid in itself.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The job's id.
    pub id: String,
    /// The class that objectives are set for.
    pub class: String,
    /// The team that its use counts for.
    pub team: String,
    /// How its tasks hang together.
    pub kind: JobKind,
    /// Higher goes first: production 3, high 2, normal 1, idle 0.
    pub priority: u8,
    /// How many tasks, at least one.
    pub task_count: u32,
    /// The resources of one task.
    pub resources_per_task: Resources,
    /// Allowed machine types; empty: any.
    pub machine_types: Vec<String>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// Whether spot machines are allowed.
    pub spot_allowed: bool,
    /// The container image.
    pub image: String,
    /// Hash of the image's name.
    pub image_hash: u64,
    /// The submitter's estimate of a task's run time.
    pub estimated_run_time: Micros,
    /// Interval between checkpoints; zero: the job never saves.
    pub checkpoint_interval: Micros,
    /// How long a checkpoint takes when a task is preempted.
    pub checkpoint_duration: Micros,
    /// When it should be complete, from its submission.
    pub deadline: Option<Micros>,
    /// Jobs that must have succeeded before any of its tasks starts: sorted, each once.
    pub dependencies: Vec<String>,
    /// The release that it belongs to.
    pub release: Option<ReleaseRef>,
    /// The batch and version that it is a run of.
    pub batch: Option<BatchRef>,
    /// The batch and version that it may merge.
    pub merges: Option<BatchRef>,
}

/// A batch and a version of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRef {
    /// The batch's name.
    pub name: String,
    /// Its version.
    pub version: u64,
}

impl BatchRef {
    /// The key of the batch's coordination record; None if the name can't be part of a key.
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
    /// All its resources. Rounded down, as tasks' are rounded up.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        let down = |amount: f64| (amount * 1000.0 + 1e-6).floor() as i64;
        Resources { cpus: down(self.cpus), gpus: down(self.gpus), memory: down(self.memory_gb) }
    }
}

/// The machine types by name.
pub type MachineTypes = BTreeMap<String, MachineType>;

/// Why a job can never run on this platform. Users read the texts.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ImpossibleJob {
    /// It depends on itself.
    #[error("follows: {0} can't wait for itself")]
    DependsOnItself(String),
    /// No such team.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// No allowed machine type in an allowed zone holds one task.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// A gang that must be spread, with one zone to run in.
    #[error("a gang's tasks can't be scattered over a single zone")]
    SpreadOverOneZone,
    /// What must run at the same time exceeds the team's limit.
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
    /// Whether it is urgent and never saves: a spot machine that is reclaimed costs it more than a fuller on-demand one
    /// saves.
    #[must_use]
    pub fn is_urgent_without_checkpoints(&self) -> bool {
        self.priority % GUARANTEED_PRIORITY_BONUS >= URGENT_PRIORITY
            && self.checkpoint_interval == Micros(0)
            && self.kind != JobKind::Service
    }

    /// Whether it names a release or a batch. Such jobs are accepted only while every controller knows of coordination
    /// records.
    #[must_use]
    pub fn has_coordination_record(&self) -> bool {
        self.release.is_some() || self.batch.is_some() || self.merges.is_some()
    }

    /// Whether it is a rotation, which waits for its release.
    #[must_use]
    pub fn is_rotation(&self) -> bool {
        self.release.as_ref().is_some_and(|release| release.stage == Stage::Rotation)
    }

    /// Checks that the job can run at all, on an empty platform.
    ///
    /// # Errors
    /// The first reason why it never can.
    pub fn check(&self, types: &MachineTypes, teams: &[TeamSettings]) -> Result<(), ImpossibleJob> {
        if self.dependencies.contains(&self.id) {
            return Err(ImpossibleJob::DependsOnItself(self.id.clone()));
        }
        let team = teams.iter().find(|team| team.name == self.team);
        let team = team.ok_or_else(|| ImpossibleJob::UnknownTeam(self.team.clone()))?;
        if !types.values().any(|machine_type| self.fits(machine_type)) {
            return Err(ImpossibleJob::NoMachineType);
        }
        self.check_spread(types)?;
        self.check_team_limit(team)
    }

    /// Whether a task fits a machine of this type in an allowed zone.
    fn fits(&self, machine_type: &MachineType) -> bool {
        (self.machine_types.is_empty() || self.machine_types.contains(&machine_type.name))
            && match &self.zone {
                Some(zone) => machine_type.zones.contains(zone),
                None => !machine_type.zones.is_empty(),
            }
            && machine_type.capacity().can_hold(self.resources_per_task)
    }

    /// A gang runs all its tasks at the same time, so a spread one needs two zones: accepted without them, it would wait
    /// for ever.
    fn check_spread(&self, types: &MachineTypes) -> Result<(), ImpossibleJob> {
        if self.kind != JobKind::Gang || !self.spread || self.task_count <= 1 {
            return Ok(());
        }
        let is_allowed = |zone: &&String| self.zone.as_ref().is_none_or(|only| only == *zone);
        let fitting = types.values().filter(|machine_type| self.fits(machine_type));
        let zones: BTreeSet<&String> = fitting.flat_map(|t| &t.zones).filter(is_allowed).collect();
        if self.one_zone || zones.len() < 2 {
            return Err(ImpossibleJob::SpreadOverOneZone);
        }
        Ok(())
    }

    /// What must run at the same time must be within the team's limit.
    fn check_team_limit(&self, team: &TeamSettings) -> Result<(), ImpossibleJob> {
        let at_once = if self.kind == JobKind::Array { 1 } else { i64::from(self.task_count) };
        let needed = self.resources_per_task.times(at_once);
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
