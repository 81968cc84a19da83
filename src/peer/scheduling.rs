//! Job shard to job shard: reservations of machines for waiting work, and GPUs that can be lent.

use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// A machine that a job shard reserves for waiting work. Other job shards place no work of lower priority on it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The machine.
    pub machine: String,
    /// Priority of the work.
    pub priority: u8,
    /// Resources that the work needs on the machine.
    pub resources: Resources,
    /// Whether tasks of lower priority must be preempted for the work.
    pub must_preempt: bool,
}

/// The sender's jobs that use GPUs beyond their teams' guarantees, and the resources that work within a guarantee
/// lacks.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct LendingReport {
    /// Jobs from which GPUs could be reclaimed.
    pub jobs: Vec<LendableJob>,
    /// By team: the resources that its work within the guarantee lacks, and for how long it has lacked them.
    pub shortfalls: Vec<(String, Resources, Micros)>,
}

/// A job from which GPUs could be reclaimed by preempting some of its tasks.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LendableJob {
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// Its priority, without the bonus of a guarantee.
    pub priority: u8,
    /// Whether it is a gang, whose tasks can only be stopped all together.
    pub is_gang: bool,
    /// Resources of one task.
    pub resources_per_task: Resources,
    /// Its tasks.
    pub tasks: Vec<LendableTask>,
}

/// A task of a `LendableJob`.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LendableTask {
    /// Its number.
    pub index: u32,
    /// The attempt's number.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
    /// Run time that would be lost by preempting it, in milliseconds.
    pub lost_work_ms: u64,
    /// Whether it must not be preempted at present.
    pub is_protected: bool,
}
