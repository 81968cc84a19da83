//! A live job as its leader knows it.

use super::*;

/// What is known of the starts that a job had before it became ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartKnowledge {
    /// Every start that it may ever have had is known.
    Complete,
    /// The names on record are being read: any machine may hold tasks of it.
    RecordsUnread,
    /// Machines in this set may hold tasks of it.
    AwaitsMachines(UnresolvedSetId),
    /// Nobody can have started it if this epoch stands; if a newer one has been raised, its owner there may have.
    AwaitsEpochCheck,
}

/// A live job.
pub struct Job {
    /// What its user asked for.
    pub spec: JobSpec,
    pub(super) raw: Value,
    /// When it was accepted, by the time of day.
    pub accepted_wall: Micros,
    /// Version of its record.
    pub store_version: u64,
    pub(super) start_knowledge: StartKnowledge,
    pub(super) done: Ranges,
    pub(super) recorded: Ranges,
    pub(super) assignments: BTreeMap<u32, Assignment>,
    pub(super) gang: Option<Gang>,
    pub(super) start_count: u64,
    pub(super) not_before: Micros,
    /// The end it is to have, once the store has it.
    pub pending_outcome: Option<JobOutcome>,
    /// A change of its record is under way.
    pub write_in_flight: bool,
    /// Its record's version must be read again first.
    pub needs_reread: bool,
    /// When it may next be written; after a failed try.
    pub(super) next_write: Micros,
    /// When its progress may next be.
    pub(super) next_progress: Micros,
    /// What it has on its way, if it is to end.
    pub(super) cancellation: cancellation::Cancellation,
    /// Jobs that it needs and that are not known to be done.
    pub(super) prerequisites: BTreeSet<String>,
    /// What else holds it.
    pub(super) hold: Option<Hold>,
    /// When its release needs it, by the time of day.
    pub(super) release_due: Option<Micros>,
    /// When the last of those was known to be done.
    pub(super) released_wall: Option<Micros>,
    /// Its priority by its own rank and its team's guarantee.
    pub(super) own_priority: u8,
    /// Machines kept for it while it waits. They stay the same ones: a choice that moved on with
    /// every pass would empty one machine after another.
    pub(super) reserved_machines: Vec<String>,
    /// How it stands to its team's guarantee.
    pub(super) quota_tier: QuotaTier,
}
