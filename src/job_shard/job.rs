//! A live job as its leader knows it.

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

/// What is known of the starts that a job had under earlier leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartKnowledge {
    /// Every start that it may ever have had is known.
    Complete,
    /// The machine registry is being read: any machine may run tasks of it.
    RecordsUnread,
    /// Machines in this set may run tasks of it.
    AwaitsMachines(UnresolvedSetId),
    /// Nobody can have started it if this epoch is the newest; the leader of a newer one may have.
    AwaitsEpochCheck,
}

/// A live job.
pub struct Job {
    /// What its user asked for.
    pub spec: JobSpec,
    /// Its description as stored.
    pub(super) raw: Value,
    /// When it was accepted, by the wall clock.
    pub accepted_wall: Micros,
    /// Version of its record.
    pub store_version: u64,
    pub(super) start_knowledge: StartKnowledge,
    /// Completed tasks.
    pub(super) done: TaskIndexSet,
    /// Completed tasks that its record names.
    pub(super) recorded: TaskIndexSet,
    /// Starts that were decided on and have not ended, by task.
    pub(super) assignments: BTreeMap<u32, Assignment>,
    pub(super) gang: Option<GangState>,
    /// Starts so far in this process: the lower part of an attempt's number.
    pub(super) start_count: u64,
    /// Nothing of it is placed before.
    pub(super) not_before: Micros,
    /// The outcome that it is to have once the store has it on record.
    pub pending_outcome: Option<JobOutcome>,
    /// A write or read of its record is under way.
    pub write_in_flight: bool,
    /// Its record's version must be read before it is written.
    pub needs_reread: bool,
    /// When its record may next be written, after a write that failed.
    pub(super) next_write: Micros,
    /// When its progress may next be written.
    pub(super) next_progress: Micros,
    pub(super) cancellation: Cancellation,
    /// Jobs that it needs and that are not known to be done.
    pub(super) prerequisites: BTreeSet<String>,
    /// Why it may not start, beside its prerequisites.
    pub(super) hold: Option<Hold>,
    /// When its release needs it, by the wall clock.
    pub(super) release_due: Option<Micros>,
    /// When it stopped waiting for prerequisites and holds, by the wall clock; None if it never waited.
    pub(super) released_wall: Option<Micros>,
    /// Its priority without what jobs that depend on it add.
    pub(super) own_priority: u8,
    /// Machines reserved for it while it waits. They stay the same from pass to pass: a choice made
    /// anew each time would empty one machine after another.
    pub(super) reserved_machines: Vec<String>,
    pub(super) quota_tier: QuotaTier,
}

impl Job {
    /// Whether every start that it may ever have had is known.
    pub(super) fn has_known_starts(&self) -> bool {
        self.start_knowledge == StartKnowledge::Complete
    }

    /// Tasks that are not completed.
    pub(super) fn unfinished_tasks(&self) -> u32 {
        self.spec.task_count - self.done.len()
    }

    /// How long its tasks may take to save their progress when they are stopped; zero if they never save.
    pub(super) fn stop_grace(&self) -> Micros {
        if self.can_save() { self.spec.checkpoint_duration } else { Micros(0) }
    }

    /// Whether its tasks save their progress.
    pub(super) fn can_save(&self) -> bool {
        self.spec.checkpoint_interval.0 > 0
    }
}
