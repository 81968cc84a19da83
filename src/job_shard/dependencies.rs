//! Jobs that depend on others: which job waits for which, what is known of their ends, and the
//! priority that a job inherits from those that need it.
//!
//! What allows a start is a prerequisite's end in the state store. An end never changes, so
//! whoever has seen it may rely on it for ever, whatever becomes of epochs, leases and messages: a
//! controller that is late, frozen or deposed can be slow to release a job, but not early.

use super::JobShard;
use super::job::Job;
use super::outcomes::JobOutcome;
use crate::membership::Membership;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobSpec};
use crate::units::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

mod stored_form;

pub use stored_form::declarations_in_record;
pub(crate) use stored_form::unpack_job_ids;
pub(super) use stored_form::{held, released, released_at, restored, says};

/// Why nothing of a job may start, beside the jobs that it follows. Only whoever has seen that the reason is gone lifts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hold {
    /// A rotation whose release is not on record as complete; what it waits for.
    Release(String),
    /// A merge whose upstreams are not known to be fresh; what is old.
    Batch(String),
}

impl Hold {
    /// The hold that a job begins with.
    pub(super) fn of(spec: &JobSpec, raw: &Value) -> Option<Hold> {
        if spec.merges.is_some() {
            // Fresh inputs must be seen anew by each leader: a newer version may have come.
            return Some(Hold::Batch("its inputs have not been looked at yet".into()));
        }
        // What let a rotation go is on record for ever, so a released one needs no second look.
        (spec.is_rotation() && released_at(raw).is_none())
            .then(|| Hold::Release("its release has not been looked at yet".into()))
    }
    /// In words.
    pub fn reason(&self) -> &str {
        match self {
            Hold::Release(why) | Hold::Batch(why) => why,
        }
    }
}

/// Which jobs depend on which.
#[derive(Debug, Default)]
pub(super) struct Dependents {
    /// By prerequisite whose end is not known, the jobs that wait for it: an end touches only those.
    followers: BTreeMap<String, BTreeSet<String>>,
    /// Prerequisites whose end must be read, since no watch would tell of it.
    unread: BTreeSet<String>,
    /// By controller, the jobs of ours that its waiting jobs need, and the highest priority of those.
    needed_by: BTreeMap<usize, BTreeMap<String, u8>>,
    /// Jobs that our held rotations wait for, and the highest priority of those.
    for_releases: BTreeMap<String, u8>,
}

impl Dependents {
    fn add(&mut self, job: &str, prerequisites: &BTreeSet<String>) {
        for prerequisite in prerequisites {
            let jobs = self.followers.entry(prerequisite.clone()).or_insert_with(|| {
                self.unread.insert(prerequisite.clone());
                BTreeSet::new()
            });
            jobs.insert(job.to_owned());
        }
    }

    fn remove(&mut self, job: &str, prerequisites: &BTreeSet<String>) {
        for prerequisite in prerequisites {
            if let Some(jobs) = self.followers.get_mut(prerequisite) {
                jobs.remove(job);
                if jobs.is_empty() {
                    self.followers.remove(prerequisite);
                    self.unread.remove(prerequisite);
                }
            }
        }
    }

    fn inherited_priority(&self, job: &str) -> u8 {
        self.needed_by.values().filter_map(|needed| needed.get(job)).copied().max().unwrap_or(0)
    }
}

impl Job {
    /// Whether a job that it needs is not known to be done, or a hold is not lifted: nothing of it may start, and
    /// it holds no place in any queue. The one place that decides this.
    pub fn is_waiting(&self) -> bool {
        !self.prerequisites.is_empty() || self.hold.is_some()
    }
    /// What holds it beside the jobs that it follows.
    pub fn hold(&self) -> Option<&Hold> {
        self.hold.as_ref()
    }
    /// All jobs that it followed, also those that are done: as its user named them.
    pub fn declared_dependencies(&self) -> Vec<String> {
        match self.spec.dependencies.is_empty() {
            false => self.spec.dependencies.clone(),
            true => stored_form::followed(&self.raw),
        }
    }
    /// Its description as stored: with all that it says of coordination records.
    pub fn raw_spec(&self) -> &Value {
        &self.raw
    }
    /// The jobs that it needs and that are not known to be done.
    pub fn unfinished_dependencies(&self) -> impl Iterator<Item = &str> {
        self.prerequisites.iter().map(String::as_str)
    }
    /// From when the times promised for its class count, its deadline aside.
    pub(super) fn ready_wall(&self) -> Micros {
        self.released_wall.unwrap_or(self.accepted_wall)
    }
}

impl JobShard {
    /// A job has come: notes what it waits for, and what priority it inherits.
    pub(super) fn note_prerequisites(&mut self, id: &str) {
        if let Some(job) = self.jobs.get(id) {
            self.dependents.add(id, &job.prerequisites);
        }
        self.inherit_priority(id);
    }

    /// A job has ended, or has another leader now.
    pub(super) fn forget_prerequisites(&mut self, id: &str, job: &Job) {
        self.dependents.remove(id, &job.prerequisites);
    }

    /// A new epoch: what others said of the priorities of their waiting jobs is said anew.
    pub(super) fn keep_dependents(&mut self) {
        let jobs = &self.jobs;
        self.dependents.followers.retain(|_, followers| {
            followers.retain(|id| jobs.contains_key(id));
            !followers.is_empty()
        });
        let followers = &self.dependents.followers;
        self.dependents.unread.retain(|prerequisite| followers.contains_key(prerequisite));
        let needed_by = std::mem::take(&mut self.dependents.needed_by);
        for id in needed_by.into_values().flat_map(BTreeMap::into_keys) {
            self.inherit_priority(&id);
        }
    }

    /// Whether any job waits, so that ends must be watched.
    pub fn has_awaited_dependencies(&self) -> bool {
        !self.dependents.followers.is_empty()
    }
    /// Whether a job waits for this one.
    pub fn is_awaited(&self, prerequisite: &str) -> bool {
        self.dependents.followers.contains_key(prerequisite)
    }
    /// Nobody has watched ends for a while: all that matter must be read.
    pub fn reread_dependencies(&mut self) {
        self.dependents.unread = self.dependents.followers.keys().cloned().collect();
    }
    /// The next prerequisite whose end must be read. From then on a watch that began before tells of it.
    pub fn next_unread_dependency(&mut self) -> Option<String> {
        self.dependents.unread.pop_first()
    }
    /// A prerequisite's end could not be read: it is read again if a job still waits for it.
    pub fn retry_dependency_read(&mut self, prerequisite: &str) {
        if self.is_awaited(prerequisite) {
            self.dependents.unread.insert(prerequisite.to_owned());
        }
    }

    /// The store has the end of a job on record: those that wait for it go on, or end with it.
    pub fn apply_dependency_outcome(&mut self, prerequisite: &str, end: JobOutcome) {
        self.dependents.unread.remove(prerequisite);
        for id in self.dependents.followers.remove(prerequisite).unwrap_or_default() {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            match end {
                JobOutcome::Done => {
                    job.prerequisites.remove(prerequisite);
                    if !job.is_waiting() {
                        job.released_wall = Some(self.wall_clock.max(job.accepted_wall));
                        let waited = self.wall_clock.since(job.accepted_wall).as_secs();
                        tracing::info!(job = %id, last = prerequisite, waited, "prerequisites done");
                    }
                }
                // It stays a waiting job until its own end is on record.
                JobOutcome::Cancelled => {
                    if self.cancel(&id) {
                        tracing::info!(job = %id, needs = prerequisite, "job cancelled: prerequisite was cancelled");
                    }
                }
            }
            self.replan = true;
        }
    }

    /// Lifts a job's hold: whoever calls this has seen that its reason is gone. Does nothing if it has none.
    pub fn lift_hold(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(hold) = job.hold.take() else { return };
        if !job.is_waiting() {
            job.released_wall = Some(self.wall_clock.max(job.accepted_wall));
        }
        let waited = self.wall_clock.since(job.accepted_wall).as_secs();
        tracing::info!(job = id, was = hold.reason(), waited, "hold lifted");
        self.replan = true;
    }

    /// Holds a job, or says anew why it is held. What of it runs goes on: whoever holds it decides about that.
    pub fn hold_job(&mut self, id: &str, hold: Hold) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.hold = Some(hold);
        }
    }

    /// Jobs that are held and not about to end.
    pub fn held_jobs(&self) -> impl Iterator<Item = (&String, &Job, &Hold)> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.pending_outcome.is_none())
            .filter_map(|(id, job)| job.hold.as_ref().map(|hold| (id, job, hold)))
    }

    /// The jobs of one controller that our waiting jobs need, and the priority that each inherits. Priority passes on
    /// through jobs that wait themselves. Guarantees don't pass on: they are a team's own.
    pub fn inherited_priorities_for(&self, leader: usize, membership: &Membership) -> Vec<(String, u8)> {
        let is_theirs = |id: &str| membership.job_leader(id) == Some(leader);
        let rank_of = |id: &String| {
            let job = self.jobs.get(id).filter(|job| job.pending_outcome.is_none())?;
            Some(job.spec.priority % GUARANTEED_PRIORITY_BONUS)
        };
        let mut needed: BTreeMap<String, u8> = BTreeMap::new();
        for (prerequisite, jobs) in self.dependents.followers.iter().filter(|(id, _)| is_theirs(id)) {
            needed.insert(prerequisite.clone(), jobs.iter().filter_map(rank_of).max().unwrap_or(0));
        }
        for (id, rank) in self.dependents.for_releases.iter().filter(|(id, _)| is_theirs(id)) {
            let needed = needed.entry(id.clone()).or_default();
            *needed = (*needed).max(*rank);
        }
        needed.into_iter().filter(|(_, rank)| *rank > 0).collect()
    }

    /// Notes when a job's release needs it, by the wall clock.
    pub fn set_release_due(&mut self, id: &str, at: Option<Micros>) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.release_due = at;
        }
    }

    /// Takes the jobs that our held rotations wait for, and the priorities of those: the whole list.
    pub fn set_release_priorities(&mut self, list: BTreeMap<String, u8>) {
        self.dependents.for_releases = list;
    }

    /// Takes the jobs of ours that another controller's waiting jobs need, and the priorities of those: the whole list.
    pub fn apply_inherited_priorities(&mut self, from: usize, list: Vec<(String, u8)>) {
        let list: BTreeMap<String, u8> = list.into_iter().collect();
        let before = self.dependents.needed_by.insert(from, list.clone()).unwrap_or_default();
        let changed = before.keys().chain(list.keys()).filter(|id| before.get(*id) != list.get(*id));
        for id in changed.cloned().collect::<BTreeSet<_>>() {
            self.inherit_priority(&id);
        }
    }

    fn inherit_priority(&mut self, id: &str) {
        let inherited = self.dependents.inherited_priority(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let guaranteed = job.own_priority / GUARANTEED_PRIORITY_BONUS * GUARANTEED_PRIORITY_BONUS;
        let priority = guaranteed
            + (job.own_priority % GUARANTEED_PRIORITY_BONUS)
                .max(inherited.min(GUARANTEED_PRIORITY_BONUS - 1));
        if job.spec.priority != priority {
            tracing::debug!(
                job = id,
                from = job.spec.priority,
                to = priority,
                "priority inherited from dependent jobs"
            );
            job.spec.priority = priority;
            self.replan = true;
        }
    }

    /// Jobs that wait, those that have waited for longest first. For operators.
    pub fn waiting_jobs(&self) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| job.is_waiting()).collect();
        jobs.sort_by_key(|job| job.accepted_wall);
        jobs
    }
}
