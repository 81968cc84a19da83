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

use self::assignments::{Assignment, Key, OpenRetiredStarts, RetiredStart, UNSENT, touch};
use self::dependencies::Waiting;
use self::failure_attribution::FailureAttribution;
use self::gang::Gang;
use self::job::Evidence;
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
    finals: BTreeMap<String, (JobOutcome, u32)>,
    finals_order: VecDeque<String>,
    leftovers: BTreeMap<(String, u32, String, u64), RetiredStart>,
    /// Per job, the leftovers that still matter to placing: those alive, with their zone, and those
    /// that ended without completing. Completed ones wait in hundreds for their record.
    open_left: BTreeMap<String, OpenRetiredStarts>,
    /// The leftovers of each machine, by job, task and attempt, and whether each is alive.
    left_on: BTreeMap<String, BTreeMap<(String, u32, u64), bool>>,
    by_machine: BTreeMap<String, BTreeSet<(String, u32)>>,
    views: Vec<MachineView>,
    /// Machines that may hold tasks we don't know of.
    unheard: BTreeSet<String>,
    /// Those that jobs taken over wait for; a job keeps its own over epochs.
    doubts: UnresolvedSets,
    /// The set that jobs read in this epoch wait for.
    of_epoch: Option<UnresolvedSetId>,
    /// Some set has become empty: jobs may be settled.
    ends_doubt: bool,
    vouching: start_replication::StartReplication,
    /// Jobs whose record was written after this epoch was raised, which may not have been in it, and when we read it.
    maybe_new: BTreeMap<String, Micros>,
    revs: Vec<u64>,
    /// Starts of which the homes are to hear.
    touched: BTreeSet<Key>,
    /// Per home, the starts that changed, and the latest message that named them. They are named
    /// again until the home says that it has seen it, so that a lost message heals.
    unacked: Vec<BTreeMap<Key, u64>>,
    /// Homes to which something new is to be said.
    dirty: Vec<bool>,
    /// Records have been read in this epoch.
    pub loaded: bool,
    /// Nobody else can be answering as the owner of our jobs.
    pub alone: bool,
    /// Something changed that may let a task be placed.
    pub replan: bool,
    endings: cancellation::EndQueue,
    blame: FailureAttribution,
    waiting: Waiting,
    /// Every end says its job's class: what is upstream of a merge must be known by it.
    keep_class: bool,
    demands: Vec<Demand>,
    doubted: unresolved_starts::UnresolvedStarts,
    loans: gpu_lending::Loans,
    gang_wait: Micros,
    /// How long a home answers a machine without our word.
    reach: Micros,
    /// From when on nobody else can be answering workers, by what this epoch says.
    older_silent: Micros,
    objectives: Vec<Objective>,
    /// What each team is guaranteed, of those that are guaranteed anything.
    guaranteed: BTreeMap<String, Resources>,
    /// Machines kept for our waiting work.
    reserved: Vec<Reservation>,
    /// The same of other owners.
    others: reservations::OtherReservations,
    /// When tasks were last stopped on a machine to make room.
    evicted: BTreeMap<String, Micros>,
    /// Machines on which room is being asked back, and since when.
    reclaiming: BTreeMap<String, Micros>,
    asked: preemption::PreemptionRequests,
    refusals: reservations::PlacementRefusals,
    /// Types that the decider leaves to urgent work.
    kept_types: Vec<(String, bool, u8)>,
    /// The same for single machines.
    kept_machines: BTreeMap<String, u8>,
    /// Whether this process has had the decider's word on that. Until then nothing is placed: after
    /// a restart queued work would take the machines that urgent work needs.
    steered: bool,
    loaded_at: Option<Micros>,
    /// Shapes of jobs seen of late, and when.
    shapes: Vec<(Demand, Micros)>,
    /// The time of day at the last placing pass.
    wall: Micros,
    /// Per class, how long completed tasks ran and how long they were expected to. Users' guesses
    /// are off by half, on some days all to one side.
    ran: BTreeMap<String, (Micros, Micros)>,
}

impl JobShard {
    /// Owns nothing yet.
    pub fn new(s: &Settings) -> JobShard {
        let n = s.members.len();
        JobShard {
            me: s.me,
            value_bytes: s.value_bytes,
            jobs: BTreeMap::new(),
            finals: BTreeMap::new(),
            finals_order: VecDeque::new(),
            leftovers: BTreeMap::new(),
            open_left: BTreeMap::new(),
            left_on: BTreeMap::new(),
            by_machine: BTreeMap::new(),
            views: (0..n).map(|_| MachineView::default()).collect(),
            unheard: BTreeSet::new(),
            doubts: UnresolvedSets::default(),
            of_epoch: None,
            ends_doubt: false,
            vouching: start_replication::StartReplication::default(),
            maybe_new: BTreeMap::new(),
            revs: vec![0; n],
            touched: BTreeSet::new(),
            unacked: vec![BTreeMap::new(); n],
            dirty: vec![true; n],
            loaded: false,
            alone: true,
            replan: true,
            endings: cancellation::EndQueue::default(),
            blame: FailureAttribution::default(),
            waiting: Waiting::default(),
            keep_class: s.operators.freshness.is_some(),
            demands: Vec::new(),
            doubted: unresolved_starts::UnresolvedStarts::default(),
            loans: gpu_lending::Loans::new(s.operators.loans.clone()),
            gang_wait: s.gang_wait,
            reach: s.reach,
            older_silent: Micros(0),
            objectives: s.objectives.clone(),
            guaranteed: s
                .teams
                .iter()
                .filter(|t| t.cpus > 0.0 || t.gpus > 0.0)
                .map(|t| (t.name.clone(), Resources::need(t.cpus, t.gpus, 0.0)))
                .collect(),
            reserved: Vec::new(),
            others: reservations::OtherReservations::default(),
            evicted: BTreeMap::new(),
            reclaiming: BTreeMap::new(),
            asked: preemption::PreemptionRequests::default(),
            refusals: reservations::PlacementRefusals::default(),
            kept_types: Vec::new(),
            kept_machines: BTreeMap::new(),
            steered: false,
            loaded_at: None,
            shapes: Vec::new(),
            wall: Micros(0),
            ran: BTreeMap::new(),
        }
    }

    /// The time of day, for what happens between placing passes.
    pub fn note_time(&mut self, wall: Micros) {
        self.wall = self.wall.max(wall);
    }

    /// What a user sees of a live job: whether a task runs, and how many are done and run.
    pub fn stance(&self, id: &str) -> Option<(&'static str, u32, u32)> {
        let j = self.jobs.get(id)?;
        let running = j
            .placed
            .values()
            .filter(|p| matches!(p.phase, Some(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32;
        Some((if running > 0 { "running" } else { "pending" }, j.done.len(), running))
    }

    /// Whether all that an ended job's tasks used is free again: every machine has been heard, and
    /// no start of the job is left alive.
    pub fn released(&self, id: &str) -> bool {
        self.loaded && self.unheard.is_empty() && !self.jobs.contains_key(id) && !self.alive_leftover(id)
    }

    fn alive_leftover(&self, id: &str) -> bool {
        self.open_of(id).any(|(_, (alive, _))| *alive)
    }

    fn open_of(&self, id: &str) -> impl Iterator<Item = (&(u32, String, u64), &(bool, String))> {
        self.open_left.get(id).into_iter().flatten()
    }

    fn in_use(&self, id: &str, j: &Job) -> Resources {
        let left = self.open_of(id).filter(|(_, (alive, _))| *alive).count();
        Resources { memory: 0, ..j.spec.room.times((j.placed.len() + left) as i64) }
    }

    /// Some of the machines that have not been heard since the epoch began.
    pub fn unheard_machines(&self, most: usize) -> impl Iterator<Item = &String> {
        self.unheard.iter().take(most)
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
        self.loaded && self.unheard.is_empty()
    }
    /// How many machines have not been heard since the epoch began.
    pub fn unheard(&self) -> usize {
        self.unheard.len()
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
        self.blame.suspects(now)
    }
    /// Started, waiting and total tasks of live jobs.
    pub fn counts(&self) -> (usize, usize, usize) {
        let placed = self.jobs.values().map(|j| j.placed.len()).sum();
        let left: usize = self.jobs.values().map(|j| (j.spec.tasks - j.done.len()) as usize).sum();
        (self.jobs.len(), placed, left)
    }
}

#[cfg(test)]
mod tests;
