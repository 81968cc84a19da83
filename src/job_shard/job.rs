//! A live job as its leader sees it.

use super::assignments::Assignment;
use super::cancellation::Cancellation;
use super::dependencies::Hold;
use super::gang::GangState;
use super::outcomes::JobOutcome;
use crate::quota::tier::QuotaTier;
use crate::spec::JobSpec;
use crate::units::{Micros, TaskIndexSet};
use hazelsaddle_failover::unresolved::UnresolvedSetId;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of the attempts that a job had under earlier leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartKnowledge {
    /// Every attempt that the job may ever have had is known.
    Complete,
    /// The machine registry is being read: any machine may run tasks of the job.
    RecordsUnread,
    /// Machines in this set may run tasks of the job.
    AwaitsMachines(UnresolvedSetId),
    /// No task of the job can have been started if this epoch is the newest; the leader of a newer epoch may
    /// have started some.
    AwaitsEpochCheck,
}

/// A live job.
pub struct Job {
    /// The specification that the user submitted.
    pub spec: JobSpec,
    /// The job's description as JSON, restored from its record.
    pub(super) raw_spec: Value,
    /// When it was accepted, by the wall clock.
    pub accepted_wall: Micros,
    /// Store version of its record.
    pub store_version: u64,
    pub(super) start_knowledge: StartKnowledge,
    /// Completed tasks.
    pub(super) done: TaskIndexSet,
    /// Completed tasks that its stored record lists.
    pub(super) recorded: TaskIndexSet,
    /// Attempts that were assigned and have not ended, by task.
    pub(super) assignments: BTreeMap<u32, Assignment>,
    pub(super) gang: Option<GangState>,
    /// Number of attempts started by this process so far: the lower part of an attempt number.
    pub(super) start_count: u64,
    /// Nothing is placed before this time.
    pub(super) not_before: Micros,
    /// The outcome that the job is to have once its final record is stored.
    pub pending_outcome: Option<JobOutcome>,
    /// Whether a write or read of its record is in flight.
    pub write_in_flight: bool,
    /// Whether the version of its record must be read before the record is written.
    pub needs_reread: bool,
    /// Earliest time of the next write of its record, after a failed one.
    pub(super) next_write: Micros,
    /// Earliest time of the next write of its progress.
    pub(super) next_progress: Micros,
    pub(super) cancellation: Cancellation,
    /// Dependencies that are not known to be done.
    pub(super) unfinished_dependencies: BTreeSet<String>,
    /// Set once a dependency is cancelled for good: a time before which no user can have been told of that.
    pub(super) orphaned_after: Option<Micros>,
    /// Whether this controller has led it since it was accepted.
    pub(super) was_accepted_here: bool,
    /// The reason why it may not start, apart from its dependencies.
    pub(super) hold: Option<Hold>,
    /// Wall-clock time at which its release needs it.
    pub(super) release_due: Option<Micros>,
    /// Wall-clock time at which it stopped waiting for dependencies and holds; None if it never waited.
    pub(super) released_wall: Option<Micros>,
    /// Its priority without what it inherits from its dependents.
    pub(super) own_priority: u8,
    /// Machines reserved for it while it waits. They stay the same across scheduling passes: a new choice in
    /// each pass would empty one machine after another.
    pub(super) reserved_machines: Vec<String>,
    pub(super) quota_tier: QuotaTier,
}

impl Job {
    /// Whether every attempt that the job may ever have had is known.
    pub(super) fn has_known_starts(&self) -> bool {
        self.start_knowledge == StartKnowledge::Complete
    }

    /// The number of tasks that are not completed.
    pub(super) fn unfinished_tasks(&self) -> u32 {
        self.spec.task_count - self.done.len()
    }

    /// How long its tasks may take for a checkpoint when they are stopped; zero if they have none.
    pub(super) fn stop_grace(&self) -> Micros {
        if self.has_checkpoints() { self.spec.checkpoint_duration } else { Micros(0) }
    }

    /// Whether its tasks write checkpoints.
    pub(super) fn has_checkpoints(&self) -> bool {
        self.spec.checkpoint_interval.0 > 0
    }
}
