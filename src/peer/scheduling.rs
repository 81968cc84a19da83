//! Job shard to job shard: machines reserved for waiting work, and GPUs that can be lent.

use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// A machine that a job shard reserves for waiting work: others place nothing of lower priority there.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The machine.
    pub machine: String,
    /// Priority of the work.
    pub priority: u8,
    /// What it needs there.
    pub resources: Resources,
    /// Whether tasks of lower priority are to be preempted for it.
    pub must_preempt: bool,
}

/// What the sender's jobs run on GPUs beyond their teams' guarantees, and what work within a guarantee lacks.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct LendingReport {
    /// Jobs some of whose room could be had.
    pub jobs: Vec<LendableJob>,
    /// By team: what its work within its guarantee lacks, and for how long it has.
    pub shortfalls: Vec<(String, Resources, Micros)>,
}

/// A job some of whose room could be had.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LendableJob {
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// Its priority, without what a guarantee adds.
    pub priority: u8,
    /// Whether it is a gang, which is stopped whole.
    pub is_gang: bool,
    /// What each task takes.
    pub resources_per_task: Resources,
    /// Its tasks.
    pub tasks: Vec<LendableTask>,
}

/// One task of such a job.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LendableTask {
    /// Its number.
    pub index: u32,
    /// Which start.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
    /// Run time that would be lost, in milliseconds.
    pub lost_work_ms: u64,
    /// Whether it must be left alone for now.
    pub is_protected: bool,
}
