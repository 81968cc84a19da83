//! The owner side of jobs: records, where each task stands, starts and stops, gangs, takeover.

pub use dependencies::{Hold, says_of_record};
pub use job::Job;
pub use outcomes::JobOutcome;
pub use preemption::headroom;
pub use stale_inputs::Attempt;

mod adoption;
mod assignments;
mod cancellation;
pub(crate) mod dependencies;
mod epoch_adoption;
mod failure_attribution;
mod gang;
mod gpu_lending;
mod handoff;
mod job;
mod outcomes;
mod preemption;
mod queue_order;
mod reconciliation;
mod records;
mod reservations;
mod scheduling_pass;
mod stale_inputs;
mod start_replication;
mod unresolved_starts;

use self::assignments::{Assignment, Key, OpenRetiredStarts, RetiredStart, UNSENT, mark_changed};
use self::dependencies::Dependents;
use self::failure_attribution::FailureAttribution;
use self::gang::Gang;
use self::job::StartKnowledge;
use crate::config::settings::{Objective, Settings};
use crate::machine_view::{MachineSnapshot, MachineView};
use crate::membership::Membership;
use crate::peer::{Demand, DesiredAction, InventoryState, Reservation, TaskKey, TaskPhase};
use crate::quota::tier::QuotaTier;
use crate::spec::{GUARANTEED, JobKind, JobSpec};
use crate::units::{Micros, Ranges, Resources};
use hazelsaddle_failover::unresolved::{UnresolvedSetId, UnresolvedSets};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A change of a job's record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordWrite {
    /// Progress.
    Progress(Value, Ranges),
    /// The end.
    End(JobOutcome, Value),
}

/// All that a controller knows as the owner of jobs.
pub struct JobShard {
    me: usize,
    value_bytes: usize,
    /// Live jobs.
    pub jobs: BTreeMap<String, Job>,
    outcomes: BTreeMap<String, (JobOutcome, u32)>,
    outcome_order: VecDeque<String>,
    retired_starts: BTreeMap<(String, u32, String, u64), RetiredStart>,
    /// Per job, the leftovers that still matter to placing: those alive, with their zone, and those
    /// that ended without completing. Completed ones wait in hundreds for their record.
    open_retired_starts: BTreeMap<String, OpenRetiredStarts>,
    /// The leftovers of each machine, by job, task and attempt, and whether each is alive.
    retired_by_machine: BTreeMap<String, BTreeMap<(String, u32, u64), bool>>,
    assigned_by_machine: BTreeMap<String, BTreeSet<(String, u32)>>,
    views: Vec<MachineView>,
    /// Machines that may hold tasks we don't know of.
    unconfirmed_machines: BTreeSet<String>,
    /// Those that jobs taken over wait for; a job keeps its own over epochs.
    unresolved_sets: UnresolvedSets,
    /// The set that jobs read in this epoch wait for.
    set_of_epoch: Option<UnresolvedSetId>,
    /// Some set has become empty: jobs may be settled.
    some_set_resolved: bool,
    start_replication: start_replication::StartReplication,
    /// Jobs whose record was written after this epoch was raised, which may not have been in it, and when we read it.
    awaiting_epoch_check: BTreeMap<String, Micros>,
    revisions: Vec<u64>,
    /// Starts of which the homes are to hear.
    changed_starts: BTreeSet<Key>,
    /// Per home, the starts that changed, and the latest message that named them. They are named
    /// again until the home says that it has seen it, so that a lost message heals.
    unacknowledged: Vec<BTreeMap<Key, u64>>,
    /// Homes to which something new is to be said.
    has_changes: Vec<bool>,
    /// Records have been read in this epoch.
    pub loaded: bool,
    /// Nobody else can be answering as the owner of our jobs.
    pub alone: bool,
    /// Something changed that may let a task be placed.
    pub replan: bool,
    end_queue: cancellation::EndQueue,
    failures: FailureAttribution,
    dependents: Dependents,
    /// Every end says its job's class: what is upstream of a merge must be known by it.
    class_in_end_records: bool,
    demands: Vec<Demand>,
    unresolved_demand: unresolved_starts::UnresolvedDemand,
    loans: gpu_lending::Loans,
    gang_wait: Micros,
    /// How long a home answers a machine without our word.
    leader_silence_limit: Micros,
    /// From when on nobody else can be answering workers, by what this epoch says.
    older_epochs_silent_at: Micros,
    objectives: Vec<Objective>,
    /// What each team is guaranteed, of those that are guaranteed anything.
    guarantees: BTreeMap<String, Resources>,
    /// Machines kept for our waiting work.
    reservations: Vec<Reservation>,
    /// The same of other owners.
    peer_reservations: reservations::PeerReservations,
    /// When tasks were last stopped on a machine to make room.
    last_preemption: BTreeMap<String, Micros>,
    /// Machines on which room is being asked back, and since when.
    reclaim_since: BTreeMap<String, Micros>,
    preemption_requests: preemption::PreemptionRequests,
    placement_refusals: reservations::PlacementRefusals,
    /// Types that the decider leaves to urgent work.
    autoscaler_reserved_types: Vec<(String, bool, u8)>,
    /// The same for single machines.
    autoscaler_reserved_machines: BTreeMap<String, u8>,
    /// Whether this process has had the decider's word on that. Until then nothing is placed: after
    /// a restart queued work would take the machines that urgent work needs.
    has_autoscaler_reservations: bool,
    loaded_at: Option<Micros>,
    /// Shapes of jobs seen of late, and when.
    recent_shapes: Vec<(Demand, Micros)>,
    /// The time of day at the last placing pass.
    wall_clock: Micros,
    /// Per class, how long completed tasks ran and how long they were expected to. Users' guesses
    /// are off by half, on some days all to one side.
    run_times: BTreeMap<String, (Micros, Micros)>,
}

impl JobShard {
    /// Owns nothing yet.
    pub fn new(s: &Settings) -> JobShard {
        let n = s.members.len();
        JobShard {
            me: s.me,
            value_bytes: s.value_bytes,
            jobs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            outcome_order: VecDeque::new(),
            retired_starts: BTreeMap::new(),
            open_retired_starts: BTreeMap::new(),
            retired_by_machine: BTreeMap::new(),
            assigned_by_machine: BTreeMap::new(),
            views: (0..n).map(|_| MachineView::default()).collect(),
            unconfirmed_machines: BTreeSet::new(),
            unresolved_sets: UnresolvedSets::default(),
            set_of_epoch: None,
            some_set_resolved: false,
            start_replication: start_replication::StartReplication::default(),
            awaiting_epoch_check: BTreeMap::new(),
            revisions: vec![0; n],
            changed_starts: BTreeSet::new(),
            unacknowledged: vec![BTreeMap::new(); n],
            has_changes: vec![true; n],
            loaded: false,
            alone: true,
            replan: true,
            end_queue: cancellation::EndQueue::default(),
            failures: FailureAttribution::default(),
            dependents: Dependents::default(),
            class_in_end_records: s.operators.freshness.is_some(),
            demands: Vec::new(),
            unresolved_demand: unresolved_starts::UnresolvedDemand::default(),
            loans: gpu_lending::Loans::new(s.operators.loans.clone()),
            gang_wait: s.gang_wait,
            leader_silence_limit: s.reach,
            older_epochs_silent_at: Micros(0),
            objectives: s.objectives.clone(),
            guarantees: s
                .teams
                .iter()
                .filter(|t| t.cpus > 0.0 || t.gpus > 0.0)
                .map(|t| (t.name.clone(), Resources::need(t.cpus, t.gpus, 0.0)))
                .collect(),
            reservations: Vec::new(),
            peer_reservations: reservations::PeerReservations::default(),
            last_preemption: BTreeMap::new(),
            reclaim_since: BTreeMap::new(),
            preemption_requests: preemption::PreemptionRequests::default(),
            placement_refusals: reservations::PlacementRefusals::default(),
            autoscaler_reserved_types: Vec::new(),
            autoscaler_reserved_machines: BTreeMap::new(),
            has_autoscaler_reservations: false,
            loaded_at: None,
            recent_shapes: Vec::new(),
            wall_clock: Micros(0),
            run_times: BTreeMap::new(),
        }
    }

    /// The time of day, for what happens between placing passes.
    pub fn note_time(&mut self, wall: Micros) {
        self.wall_clock = self.wall_clock.max(wall);
    }

    /// What a user sees of a live job: whether a task runs, and how many are done and run.
    pub fn stance(&self, id: &str) -> Option<(&'static str, u32, u32)> {
        let j = self.jobs.get(id)?;
        let running = j
            .assignments
            .values()
            .filter(|p| matches!(p.phase, Some(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32;
        Some((if running > 0 { "running" } else { "pending" }, j.done.len(), running))
    }

    /// Whether all that an ended job's tasks used is free again: every machine has been heard, and
    /// no start of the job is left alive.
    pub fn released(&self, id: &str) -> bool {
        self.loaded && self.unconfirmed_machines.is_empty() && !self.jobs.contains_key(id) && !self.alive_leftover(id)
    }

    fn alive_leftover(&self, id: &str) -> bool {
        self.open_of(id).any(|(_, (alive, _))| *alive)
    }

    fn open_of(&self, id: &str) -> impl Iterator<Item = (&(u32, String, u64), &(bool, String))> {
        self.open_retired_starts.get(id).into_iter().flatten()
    }

    fn in_use(&self, id: &str, j: &Job) -> Resources {
        let left = self.open_of(id).filter(|(_, (alive, _))| *alive).count();
        Resources { memory: 0, ..j.spec.room.times((j.assignments.len() + left) as i64) }
    }

    /// Some of the machines that have not been heard since the epoch began.
    pub fn unheard_machines(&self, most: usize) -> impl Iterator<Item = &String> {
        self.unconfirmed_machines.iter().take(most)
    }

    /// How many jobs wait for evidence of starts that they may have had under another owner.
    pub fn in_doubt(&self) -> usize {
        self.jobs.values().filter(|j| !j.settled()).count()
    }

    /// This controller's number.
    pub fn me(&self) -> usize {
        self.me
    }
    /// Whether everything that could be running is known.
    pub fn rebuilt(&self) -> bool {
        self.loaded && self.unconfirmed_machines.is_empty()
    }
    /// How many machines have not been heard since the epoch began.
    pub fn unheard(&self) -> usize {
        self.unconfirmed_machines.len()
    }
    /// Machines of all homes as last seen.
    pub fn machines(&self, epoch: u64) -> impl Iterator<Item = &MachineSnapshot> {
        self.views.iter().filter_map(move |v| v.machines(epoch)).flat_map(BTreeMap::values)
    }
    /// One machine as its home last described it.
    pub fn seen(&self, name: &str, m: &Membership) -> Option<&MachineSnapshot> {
        self.views.get(m.machine_leader(name)?)?.machines(m.epoch)?.get(name)
    }
    /// Whether a machine of another home is certainly gone: its home has spoken in this epoch and
    /// says so, or doesn't name it.
    pub fn gone(&self, name: &str, m: &Membership) -> bool {
        let view = m.machine_leader(name).and_then(|h| self.views.get(h)?.machines(m.epoch));
        view.is_some_and(|v| v.get(name).is_none_or(|d| d.standing == InventoryState::Gone))
    }
    /// Whether all homes have spoken in this epoch.
    pub fn all_homes_heard(&self, m: &Membership) -> bool {
        m.members.iter().all(|&h| self.views.get(h).is_some_and(|v| v.machines(m.epoch).is_some()))
    }
    /// Jobs and machines that are suspected of failing everything.
    pub fn suspects(&self, now: Micros) -> (Vec<&str>, Vec<&str>) {
        self.failures.suspects(now)
    }
    /// Started, waiting and total tasks of live jobs.
    pub fn counts(&self) -> (usize, usize, usize) {
        let placed = self.jobs.values().map(|j| j.assignments.len()).sum();
        let left: usize = self.jobs.values().map(|j| (j.spec.tasks - j.done.len()) as usize).sum();
        (self.jobs.len(), placed, left)
    }
}

#[cfg(test)]
mod tests;
