//! The owner side of jobs: records, where each task stands, starts and stops, gangs, takeover.

pub use dependencies::{Hold, says_of_record};
pub use preemption::headroom;
pub use stale_inputs::Attempt;

mod adoption;
mod cancellation;
pub(crate) mod dependencies;
mod failure_attribution;
mod gpu_lending;
mod handoff;
mod preemption;
mod queue_order;
mod reconciliation;
mod records;
mod reservations;
mod scheduling_pass;
mod stale_inputs;
mod start_replication;
mod unresolved_starts;

use self::dependencies::Waiting;
use self::failure_attribution::FailureAttribution;
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

/// Finals kept in memory; older ones are read from the store.
const FINALS: usize = 2000;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All its tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// A start that has been placed.
#[derive(Clone, Debug)]
struct Assignment {
    machine: String,
    zone: String,
    attempt: u64,
    want: DesiredAction,
    /// The first message to its home that named it; `u64::MAX` before that.
    asked: u64,
    phase: Option<TaskPhase>,
    since: Micros,
    /// Taken over while under way: how long it has run is not known.
    taken_over: bool,
}

/// A gang's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gang {
    /// Members are being accepted.
    Holding(Micros),
    /// All were accepted and may start.
    Going,
    /// The attempt is over; its members are being stopped.
    Ending,
}

/// What is known of the starts that a job had before it became ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Every start that it may ever have had is known.
    Complete,
    /// The names on record are being read: any machine may hold tasks of it.
    Unread,
    /// Machines in this set may hold tasks of it.
    Waits(UnresolvedSetId),
    /// Nobody can have started it if this epoch stands; if a newer one has been raised, its owner there may have.
    IfEpochStands,
}

/// A live job.
pub struct Job {
    /// What its user asked for.
    pub spec: JobSpec,
    raw: Value,
    /// When it was accepted, by the time of day.
    pub accepted_wall: Micros,
    /// Version of its record.
    pub store_version: u64,
    evidence: Evidence,
    done: Ranges,
    durable: Ranges,
    placed: BTreeMap<u32, Assignment>,
    gang: Option<Gang>,
    starts: u64,
    not_before: Micros,
    /// The end it is to have, once the store has it.
    pub ending: Option<JobOutcome>,
    /// A change of its record is under way.
    pub writing: bool,
    /// Its record's version must be read again first.
    pub verify: bool,
    /// When it may next be written; after a failed try.
    next_write: Micros,
    /// When its progress may next be.
    next_progress: Micros,
    /// What it has on its way, if it is to end.
    withdrawal: cancellation::Cancellation,
    /// Jobs that it needs and that are not known to be done.
    waits_for: BTreeSet<String>,
    /// What else holds it.
    hold: Option<Hold>,
    /// When its release needs it, by the time of day.
    due: Option<Micros>,
    /// When the last of those was known to be done.
    released_wall: Option<Micros>,
    /// Its priority by its own rank and its team's guarantee.
    rank: u8,
    /// Machines kept for it while it waits. They stay the same ones: a choice that moved on with
    /// every pass would empty one machine after another.
    keeps: Vec<String>,
    /// How it stands to its team's guarantee.
    footing: QuotaTier,
}

/// An old start that is stopping or waits to be forgotten.
#[derive(Clone, Debug)]
struct RetiredStart {
    room: Resources,
    priority: u8,
    want: DesiredAction,
    alive: bool,
    /// The worker is known to have had it.
    arrived: bool,
    /// It completed: the worker may forget it once that is on record.
    done: bool,
    asked: u64,
}

/// A job's leftovers by task, machine and attempt: whether each is alive, and its zone.
type OpenRetiredStarts = BTreeMap<(u32, String, u64), (bool, String)>;
/// A start on a machine.
type Key = (String, TaskKey);
/// Stands for the number of a message that has not gone out yet.
const UNSENT: u64 = u64::MAX;

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

    /// Takes up a new epoch. Jobs stay only if the epoch follows directly: otherwise another may
    /// have owned them in between. Placed starts stay in doubt until their home has spoken.
    pub fn adopt(&mut self, m: &Membership, follows: bool) {
        self.loaded = false;
        self.older_silent = m.older_silent_at();
        let blame = &mut self.blame;
        self.jobs.retain(|id, _| {
            let stays = follows && m.job_leader(id) == Some(m.me);
            if !stays {
                blame.forget(id);
            }
            stays
        });
        self.keep_waiting();
        self.endings.keep(&self.jobs);
        self.leftovers.retain(|(id, ..), _| follows && m.job_leader(id) == Some(m.me));
        self.finals.clear();
        self.finals_order.clear();
        for j in self.jobs.values_mut() {
            j.writing = false;
            j.verify = true;
            if j.evidence == Evidence::IfEpochStands {
                j.evidence = Evidence::Unread;
            }
            j.withdrawal.anew();
            for p in j.placed.values_mut() {
                p.asked = u64::MAX;
            }
        }
        for l in self.leftovers.values_mut() {
            l.asked = u64::MAX;
        }
        let jobs = &self.jobs;
        for set in self.by_machine.values_mut() {
            set.retain(|(id, _)| jobs.contains_key(id));
        }
        self.by_machine.retain(|_, s| !s.is_empty());
        self.left_on.clear();
        self.open_left.retain(|id, _| follows && m.job_leader(id) == Some(m.me));
        for ((id, idx, machine, attempt), l) in &self.leftovers {
            self.left_on.entry(machine.clone()).or_default().insert((id.clone(), *idx, *attempt), l.alive);
        }
        // The first message to each home of the new epoch holds everything.
        self.touched.clear();
        self.unacked.fill(BTreeMap::new());
        for v in &mut self.views {
            v.forget_awaited();
        }
        for (id, j) in &self.jobs {
            for (&index, p) in &j.placed {
                let key = TaskKey { job: id.clone(), index, attempt: p.attempt };
                self.touched.insert((p.machine.clone(), key));
            }
        }
        for (id, index, machine, attempt) in self.leftovers.keys() {
            let key = TaskKey { job: id.clone(), index: *index, attempt: *attempt };
            self.touched.insert((machine.clone(), key));
        }
        // Message numbers never go back, not even over a restart, since the epoch is their head.
        for r in &mut self.revs {
            *r = (*r).max(m.epoch << 32);
        }
        self.unheard.clear();
        self.of_epoch = None;
        self.vouching = start_replication::StartReplication::default();
        self.maybe_new.clear();
        let used = self.jobs.values().filter_map(|j| match j.evidence {
            Evidence::Waits(d) => Some(d),
            _ => None,
        });
        self.doubts.keep(&used.collect());
        self.dirty.fill(true);
        self.loans.anew();
        self.demands.clear();
        self.doubted = unresolved_starts::UnresolvedStarts::default();
        self.others.inherit(&std::mem::take(&mut self.reserved));
    }

    /// The records were read: `machines` are those that may hold tasks.
    pub fn load_done(&mut self, machines: impl Iterator<Item = String>) {
        self.unheard = machines.collect();
        self.loaded = true;
        self.replan = true;
        self.dirty.fill(true);
        self.doubts.on_record(&self.unheard);
        self.of_epoch = self.doubts.open(self.unheard.clone());
        self.vouching.jobs_changed = true;
        let read = self.of_epoch.map_or(Evidence::Complete, Evidence::Waits);
        for j in self.jobs.values_mut().filter(|j| j.evidence == Evidence::Unread) {
            j.evidence = read;
        }
        self.settle();
    }

    /// Takes a job's record from the store, unless the job's end is known: an end is never taken back. `fresh` if this process has just written it and it
    /// can't have been started before.
    pub fn insert(
        &mut self,
        raw: Value,
        spec: JobSpec,
        accepted_wall: Micros,
        done: Ranges,
        store_version: u64,
        fresh: bool,
    ) {
        let mut spec = spec;
        if self.guaranteed.contains_key(&spec.team) {
            spec.priority += GUARANTEED;
        }
        let id = spec.id.clone();
        // Guards against a live record that was read, or written, before the end: its answer may come after that of the end.
        if self.finals.contains_key(&id) {
            return;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.store_version = j.store_version.max(store_version);
            j.verify = false;
            return;
        }
        let job = Job {
            accepted_wall,
            store_version,
            evidence: match (fresh, self.loaded, self.of_epoch) {
                (true, ..) => Evidence::Complete,
                (_, false, _) => Evidence::Unread,
                (_, _, Some(d)) if self.doubts.is_open(d) => Evidence::Waits(d),
                _ => Evidence::Complete,
            },
            durable: done.clone(),
            done,
            placed: BTreeMap::new(),
            gang: None,
            starts: 0,
            not_before: Micros(0),
            ending: None,
            writing: false,
            verify: false,
            next_write: Micros(0),
            next_progress: Micros(0),
            withdrawal: cancellation::Cancellation::default(),
            waits_for: spec.follows.iter().cloned().collect(),
            hold: Hold::of(&spec, &raw),
            due: None,
            released_wall: dependencies::released_at(&raw),
            rank: spec.priority,
            keeps: Vec::new(),
            footing: if self.guaranteed.contains_key(&spec.team) {
                QuotaTier::Unknown
            } else {
                QuotaTier::NoGuarantee
            },
            spec,
            raw,
        };
        self.jobs.insert(id.clone(), job);
        // All its tasks may be done on record.
        self.endings.changed(&id);
        self.vouching.jobs_changed = true;
        self.note_waiting(&id);
        self.replan = true;
    }

    /// The time of day, for what happens between placing passes.
    pub fn note_time(&mut self, wall: Micros) {
        self.wall = self.wall.max(wall);
    }

    /// The end of a job, if it is remembered.
    pub fn final_of(&self, id: &str) -> Option<(JobOutcome, u32)> {
        self.finals.get(id).copied()
    }
    /// Remembers the end of a job that the store has on record.
    pub fn remember_final(&mut self, id: &str, f: JobOutcome, done: u32) {
        if self.finals.insert(id.into(), (f, done)).is_none() {
            self.finals_order.push_back(id.into());
            if self.finals_order.len() > FINALS
                && let Some(old) = self.finals_order.pop_front()
            {
                self.finals.remove(&old);
            }
        }
    }

    /// The job's end is on record: it is live no more, and what it left behind is cleared away.
    pub fn ended(&mut self, id: &str, f: JobOutcome) {
        // Whoever waits for it must hear even if it was not ours any more: the store has its end.
        self.prerequisite_ended(id, f);
        let Some(j) = self.jobs.remove(id) else { return };
        self.vouching.jobs_changed = true;
        self.endings.ended(id, &j);
        self.forget_waiting(id, &j);
        self.blame.forget(id);
        tracing::info!(job = id, end = ?f, tasks = j.spec.tasks, "job ended");
        self.remember_final(id, f, j.done.len());
        for (idx, p) in j.placed {
            self.unindex(&p.machine, id, idx);
            self.leave(id, idx, &p, j.spec.room, DesiredAction::Stop(Micros(0)), true, false);
        }
        let left = self.leftovers.range_mut((id.to_owned(), 0, String::new(), 0)..);
        for ((job, idx, machine, attempt), l) in left {
            if job != id {
                break;
            }
            if !l.alive && l.want != DesiredAction::Forget {
                l.want = DesiredAction::Forget;
                touch(&mut self.touched, machine, job, *idx, *attempt);
            }
        }
        self.replan = true;
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

    /// A task has completed. A gang completes as a whole. Replicas of a service never do.
    fn complete(&mut self, id: &str, idx: u32) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        match j.spec.kind {
            JobKind::Array => {
                if idx < j.spec.tasks {
                    j.done.insert(idx);
                }
            }
            JobKind::Gang => {
                for i in 0..j.spec.tasks {
                    j.done.insert(i);
                }
            }
            JobKind::Service => {}
        }
        self.endings.changed(id);
        self.replan = true;
    }

    /// A gang's attempt is over: its other members are stopped, and the next attempt waits until
    /// they are gone.
    fn end_gang(&mut self, id: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        if j.done.len() == j.spec.tasks {
            return;
        }
        self.stop_gang(id, Micros(0));
    }

    fn stop_gang(&mut self, id: &str, grace: Micros) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        j.gang = if j.placed.is_empty() { None } else { Some(Gang::Ending) };
        for (&idx, p) in &mut j.placed {
            // One that is saving already keeps its time.
            if !matches!(p.want, DesiredAction::Stop(_)) {
                p.want = DesiredAction::Stop(grace);
                touch(&mut self.touched, &p.machine, id, idx, p.attempt);
            }
        }
    }

    fn settle(&mut self) {
        for j in self.jobs.values_mut() {
            if matches!(j.evidence, Evidence::Waits(d) if !self.doubts.is_open(d)) {
                j.evidence = Evidence::Complete;
                self.vouching.jobs_changed = true;
                self.replan = true;
            }
        }
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

fn touch(touched: &mut BTreeSet<Key>, machine: &str, job: &str, index: u32, attempt: u64) {
    touched.insert((machine.to_owned(), TaskKey { job: job.to_owned(), index, attempt }));
}

#[cfg(test)]
mod tests {
    use super::scheduling_pass::{likely, note_run};
    use super::*;
    use crate::membership::EpochRecord;
    use crate::peer::{
        DesiredState, InventoryState, MachineStatus, MachineStatusDelta, ObservedTask, TaskExit,
    };
    use crate::quota::QuotaLedger;

    fn settings() -> Settings {
        let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
            state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"t\"\n[settings.workers]\nreport_s = 3.0\n\
            lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
            write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
        Settings::parse("test", text).expect("valid")
    }

    pub(super) fn raw(kind: &str, tasks: u32, checkpoint: f64) -> Value {
        json!({"uid":"wk-1","breed":"b","herd":"t","gait":kind,"rank":"high","strides":tasks,"vcpus":2.0,
            "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":true,"scatter":false,"borrowed":true,
            "rideS":1,"restS":checkpoint,"unsaddleS":5.0})
    }

    pub(super) fn whole(
        m: &Membership,
        seq: u64,
        rev_seen: u64,
        machines: Vec<MachineStatus>,
    ) -> MachineStatusDelta {
        MachineStatusDelta {
            sequence: (m.epoch << 32) + seq,
            base_sequence: 0,
            revision_seen: rev_seen,
            machines,
        }
    }

    /// An owner of one job, and one machine with room as its home describes it.
    pub(super) fn owner_of(raw: Value) -> (Membership, QuotaLedger, JobShard, MachineStatus) {
        let s = settings();
        let mut m = Membership::new(&s, 1);
        m.adopt(Micros(1), &EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] }, 1);
        let teams = QuotaLedger::new(&s.teams);
        let mut owner = JobShard::new(&s);
        owner.adopt(&m, false);
        owner.load_done(std::iter::empty());
        owner.keep(Vec::new(), Vec::new());
        let spec = JobSpec::from_value(&raw).expect("valid");
        owner.insert(raw, spec, Micros(1), Ranges::default(), 1, true);
        let room = Resources { cpus: 8000, gpus: 0, memory: 9000 };
        let machine = MachineStatus {
            name: "i-1".into(),
            kind: "k".into(),
            zone: "z".into(),
            spot: true,
            standing: InventoryState::Known,
            open: true,
            notice: None,
            free: room,
            total: room,
            by_priority: Vec::new(),
            images: Vec::new(),
            busy: 0,
            idle: None,
            silent: None,
            tasks: Vec::new(),
        };
        (m, teams, owner, machine)
    }

    #[test]
    fn what_can_save_is_stopped_with_grace_before_its_machine_is_taken() {
        for (checkpoint, stops) in [(10.0, true), (0.0, false)] {
            let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 1, checkpoint));
            let now = Micros::from_millis(1000);
            owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
            owner.plan(now, now, &m, &teams);
            let DesiredState { revision: rev, list: wanted, .. } = owner.wanted(0, &m);
            assert_eq!(wanted[0].action, DesiredAction::Run);
            machine.tasks = vec![ObservedTask { key: wanted[0].key.clone(), phase: TaskPhase::Running }];
            machine.notice = Some(Micros::from_millis(9000));
            owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine]));
            owner.make_room(now, &m);
            // What stays as it was is not said again.
            let expected = stops.then_some(DesiredAction::Stop(Micros::from_millis(5000)));
            assert_eq!(owner.wanted(0, &m).list.first().map(|w| w.action), expected);
        }
    }

    /// The cost of a message to a home is that of what changed, not of all that runs there.
    #[test]
    fn a_home_hears_only_what_changed() {
        let (m, teams, mut owner, machine) = owner_of(raw("batch", 400, 0.0));
        let now = Micros::from_millis(1000);
        let fleet: Vec<MachineStatus> =
            (0..100).map(|i| MachineStatus { name: format!("i-{i}"), ..machine.clone() }).collect();
        owner.digest(now, &m, 0, whole(&m, 1, 0, fleet.clone()));
        owner.plan(now, now, &m, &teams);
        let first = owner.wanted(0, &m);
        assert_eq!(first.list.len(), 400);
        // Not yet seen by the home, so it is said again.
        assert_eq!(owner.wanted(0, &m).list.len(), 400);
        let seen = MachineStatusDelta {
            sequence: (m.epoch << 32) + 2,
            base_sequence: 0,
            revision_seen: first.revision + 1,
            machines: Vec::new(),
        };
        let on = |d: &MachineStatus| {
            let here = first.list.iter().filter(|w| w.machine == d.name);
            MachineStatus { tasks: here.map(|w| running(&w.key)).collect(), ..d.clone() }
        };
        owner.digest(
            now,
            &m,
            0,
            MachineStatusDelta { machines: fleet.iter().map(on).collect(), ..seen.clone() },
        );
        assert!(owner.wanted(0, &m).list.is_empty());
        let mut one = on(&fleet[7]);
        one.tasks[0].phase = TaskPhase::Exited(TaskExit::Stopped(false));
        let change = MachineStatusDelta {
            sequence: seen.sequence + 1,
            base_sequence: seen.sequence,
            machines: vec![one],
            ..seen
        };
        assert!(owner.digest(now, &m, 0, change));
        assert_eq!(owner.wanted(0, &m).list.len(), 1);
    }

    /// Found in an incident on sanaq-forms-grown: in a surge that no fleet could have carried, first come
    /// first served made three jobs of four late.
    #[test]
    fn jobs_that_can_still_be_on_time_go_first_and_short_ones_before_long_ones() {
        let (m, teams, mut owner, _) = owner_of(raw("batch", 50, 0.0));
        owner.objectives = vec![Objective { kind: "finished".into(), class: "b".into(), within_s: 40.0 }];
        let mut add = |id: &str, tasks: u32, accepted_s: u64| {
            let mut r = raw("batch", tasks, 0.0);
            r["uid"] = json!(id);
            let spec = JobSpec::from_value(&r).expect("valid");
            owner.insert(r, spec, Micros::from_millis(accepted_s * 1000), Ranges::default(), 1, true);
        };
        add("wk-2", 9, 90);
        add("wk-3", 2, 58);
        let now = Micros::from_millis(100_000);
        // The first was accepted just after the time of day began.
        owner.jobs.get_mut("wk-1").expect("live").accepted_wall = Micros::from_millis(80_000);
        owner.plan(now, now, &m, &teams);
        assert_eq!(owner.order(), ["wk-2", "wk-1", "wk-3"], "the third can't be on time any more");
        owner.jobs.get_mut("wk-1").expect("live").spec.tasks = 9;
        assert_eq!(owner.order(), ["wk-1", "wk-2", "wk-3"], "by age while the queue is short");
        // Whatever is late goes behind, but what has waited for 45 s to begin is not overtaken for ever.
        owner.note_time(Micros::from_millis(104_000));
        assert_eq!(owner.order(), ["wk-3", "wk-1", "wk-2"]);
    }

    /// Seen on a day with GPUs: of a gang of 24 small tasks and one of four on GPUs came a shape of 24 on GPUs, which
    /// nobody had asked for, and all GPU machines were kept for it while other work waited for them.
    #[test]
    fn two_unlike_gangs_do_not_make_a_third() {
        let (.., mut owner, _) = owner_of(raw("batch", 1, 0.0));
        let mut note = |tasks: u32, cpus: f64, gpus: f64| {
            let mut r = raw("group", tasks, 0.0);
            (r["vcpus"], r["cards"]) = (json!(cpus), json!(gpus));
            owner.note_shape(Micros(1), &JobSpec::from_value(&r).expect("valid"), Micros(0));
            owner.demands().iter().map(|d| (d.together, d.room.cpus / 1000)).collect::<Vec<_>>()
        };
        note(24, 15.0, 0.0);
        note(4, 96.0, 8.0);
        assert_eq!(note(12, 16.0, 0.0), [(24, 16), (4, 96)], "those that differ a little are one");
    }

    #[test]
    fn guesses_are_corrected_by_what_was_seen() {
        let s = JobSpec::from_value(&json!({"uid":"wk-1","breed":"b","herd":"t","gait":"batch","rank":"idle",
            "strides":1,"vcpus":1.0,"cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":false,"scatter":false,
            "borrowed":true,"rideS":40.0,"restS":0,"unsaddleS":0}))
        .expect("valid");
        let mut ran = BTreeMap::new();
        assert_eq!(likely(&ran, &s), s.estimate);
        for _ in 0..3 {
            note_run(&mut ran, &s, Micros::from_millis(20_000));
        }
        assert!(likely(&ran, &s) > Micros::from_millis(35_000), "a few tell little");
        for _ in 0..500 {
            note_run(&mut ran, &s, Micros::from_millis(20_000));
        }
        assert!(likely(&ran, &s) < Micros::from_millis(21_000));
    }

    pub(super) fn running(key: &TaskKey) -> ObservedTask {
        ObservedTask { key: key.clone(), phase: TaskPhase::Running }
    }

    #[test]
    fn a_job_being_ended_starts_nothing() {
        let (m, teams, mut owner, machine) = owner_of(raw("batch", 3, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine]));
        assert!(owner.cancel("wk-1"));
        owner.plan(now, now, &m, &teams);
        assert!(owner.wanted(0, &m).list.is_empty());
    }

    #[test]
    fn a_task_waits_until_its_old_start_is_gone() {
        let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 1, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
        owner.plan(now, now, &m, &teams);
        let DesiredState { revision: rev, list: wanted, .. } = owner.wanted(0, &m);
        let old = TaskKey { attempt: 5, ..wanted[0].key.clone() };
        machine.tasks = vec![running(&old), running(&wanted[0].key)];
        owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine.clone()]));
        machine.tasks = vec![running(&old)];
        let other = MachineStatus { name: "i-2".into(), tasks: Vec::new(), ..machine.clone() };
        owner.digest(now, &m, 0, whole(&m, 3, rev, vec![machine, other]));
        let later = Micros::from_millis(9000);
        owner.plan(later, later, &m, &teams);
        let wanted = owner.wanted(0, &m).list;
        assert_eq!(wanted.len(), 1);
        assert_eq!((&wanted[0].key, wanted[0].action), (&old, DesiredAction::Stop(Micros(0))));
        // It counts towards its team's room all the while.
        assert_eq!(owner.in_use("wk-1", &owner.jobs["wk-1"]).cpus, 2000);
    }

    #[test]
    fn a_completed_task_is_forgotten_only_once_that_is_on_record() {
        let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 2, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
        owner.plan(now, now, &m, &teams);
        let DesiredState { revision: rev, list: wanted, .. } = owner.wanted(0, &m);
        let done = ObservedTask { key: wanted[0].key.clone(), phase: TaskPhase::Exited(TaskExit::Done) };
        machine.tasks = vec![done, running(&wanted[1].key)];
        let want_of = |owner: &mut JobShard| {
            let list = owner.wanted(0, &m).list;
            list.iter().find(|w| w.key.index == 0).map(|w| w.action)
        };
        for seq in 2..5 {
            owner.digest(now, &m, 0, whole(&m, seq, rev, vec![machine.clone()]));
            assert_eq!(want_of(&mut owner), Some(DesiredAction::Keep));
        }
        let (id, write, _) = owner.next_write(now, false).expect("progress is due");
        let RecordWrite::Progress(_, kept) = write else { panic!("not an end") };
        owner.progress_written(now, &id, kept, 9);
        assert_eq!(want_of(&mut owner), Some(DesiredAction::Forget));
    }

    #[test]
    fn a_new_epoch_leaves_starts_in_doubt_until_their_home_has_seen_them() {
        let (mut m, teams, mut owner, machine) = owner_of(raw("batch", 1, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
        owner.plan(now, now, &m, &teams);
        owner.wanted(0, &m);
        m.adopt(now, &EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] }, 2);
        owner.adopt(&m, true);
        owner.load_done(std::iter::empty());
        // The home has not yet had our wishes of this epoch; whatever it has seen is of the last.
        owner.digest(now, &m, 0, whole(&m, 1, u64::MAX - 1, vec![machine.clone()]));
        assert_eq!(owner.counts().1, 1);
        let rev = owner.wanted(0, &m).revision;
        owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine]));
        assert_eq!(owner.counts().1, 0, "now its absence is an answer");
    }

    /// Found on sanaq-forms: a gang without places was taken for one being held, asked for machines
    /// only every few seconds and lost the machines kept for it in between.
    #[test]
    fn a_gang_without_places_asks_for_room_at_every_pass() {
        let (m, teams, mut owner, _) = owner_of(raw("group", 2, 0.0));
        for i in 0..20 {
            let now = Micros::from_millis(1000 + i * 100);
            owner.plan(now, now, &m, &teams);
            let waiting: u32 = owner.demands().iter().map(|d| d.count).sum();
            assert_eq!(waiting, 2, "at pass {i}");
        }
    }
}
