//! Dependencies between jobs: which jobs wait for which, what is known of the outcomes of their dependencies,
//! and the priority that a job inherits from its dependents.
//!
//! A job is released by the final records of its dependencies in the state store. An outcome never changes,
//! so a controller that has read it may rely on it forever, regardless of epochs, leases and messages. A
//! controller that is slow, paused or deposed can therefore release a job late, but never early.

use super::JobShard;
use super::job::Job;
use super::outcomes::JobOutcome;
use crate::membership::Membership;
use crate::peer::Refusal;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobSpec};
use crate::units::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

mod awaited_dependencies;
mod outcome_evidence;
mod stored_form;

use awaited_dependencies::AwaitedDependencies;
pub use awaited_dependencies::{DependencyCounts, DependencyRead};
use outcome_evidence::OutcomeEvidence;
pub use stored_form::declarations_in_record;
pub(crate) use stored_form::unpack_job_ids;
pub(super) use stored_form::{
    declarations, decode_description, encode_released, encode_waiting, released_at,
};

/// Number of jobs remembered as cancelled, for jobs accepted later that follow them.
const MAX_KNOWN_CANCELLED: usize = 2000;

/// Why no task of a job may start, apart from its dependencies. Only a controller that has verified that the
/// reason is gone lifts the hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hold {
    /// A rotation whose release is not stored as complete; the text states what it waits for.
    Release(String),
    /// A merge whose upstream jobs are not known to be fresh; the text states what is stale.
    Batch(String),
}

impl Hold {
    /// The initial hold of a job.
    pub(super) fn of(spec: &JobSpec, raw_spec: &Value) -> Option<Hold> {
        if spec.merges.is_some() {
            // Each new leader must verify again that the inputs are fresh: a newer version may have arrived.
            return Some(Hold::Batch("its inputs have not been looked at yet".into()));
        }
        // The release of a rotation is stored permanently, so a released rotation is not checked again.
        (spec.is_rotation() && released_at(raw_spec).is_none())
            .then(|| Hold::Release("its release has not been looked at yet".into()))
    }
    /// The reason as text.
    pub fn reason(&self) -> &str {
        match self {
            Hold::Release(why) | Hold::Batch(why) => why,
        }
    }
}

/// The dependents of jobs.
#[derive(Debug, Default)]
pub(super) struct Dependents {
    /// The dependencies whose outcomes are unknown, so that an outcome only touches the jobs that wait for it.
    awaited: AwaitedDependencies,
    /// Up to when none of them can have been cancelled.
    evidence: OutcomeEvidence,
    /// Jobs that are certain to be cancelled, as far as this process has learned.
    known_cancelled: BTreeSet<String>,
    /// Jobs that have become orphans since they were last taken.
    newly_orphaned: Vec<String>,
    /// By controller, the jobs led here that its waiting jobs depend on, with the highest priority of those.
    needed_by_peers: BTreeMap<usize, BTreeMap<String, u8>>,
    /// Jobs that held rotations of this shard wait for, with the highest priority of those.
    needed_by_releases: BTreeMap<String, u8>,
}

impl Dependents {
    fn note_cancelled(&mut self, job: &str) {
        if self.known_cancelled.len() >= MAX_KNOWN_CANCELLED {
            self.known_cancelled.clear();
        }
        self.known_cancelled.insert(job.to_owned());
    }

    fn inherited_priority(&self, job: &str) -> u8 {
        self.needed_by_peers.values().filter_map(|needed| needed.get(job)).copied().max().unwrap_or(0)
    }
}

impl Job {
    /// Whether a dependency is not known to be done, or a hold is not lifted. While this holds, no task of
    /// the job may start and the job takes no part in any queue. All callers rely on this method for that
    /// decision.
    pub fn is_waiting(&self) -> bool {
        !self.unfinished_dependencies.is_empty() || self.hold.is_some()
    }
    /// The hold that applies in addition to dependencies.
    pub fn hold(&self) -> Option<&Hold> {
        self.hold.as_ref()
    }
    /// All dependencies that the user declared, including those that are done.
    pub fn declared_dependencies(&self) -> Vec<String> {
        match self.spec.dependencies.is_empty() {
            false => self.spec.dependencies.clone(),
            true => stored_form::released_dependencies(&self.raw_spec),
        }
    }
    /// The stored job description, including the coordination records it refers to.
    pub fn raw_spec(&self) -> &Value {
        &self.raw_spec
    }
    /// The dependencies that are not known to be done.
    pub fn unfinished_dependencies(&self) -> impl Iterator<Item = &str> {
        self.unfinished_dependencies.iter().map(String::as_str)
    }
    /// Time from which the objectives of its class are measured. Its deadline is measured from submission.
    pub(super) fn ready_wall(&self) -> Micros {
        self.released_wall.unwrap_or(self.accepted_wall)
    }
}

impl JobShard {
    /// Registers a job's dependencies and computes the priority that the job inherits.
    pub(super) fn register_dependencies(&mut self, id: &str) {
        if let Some(job) = self.jobs.get(id) {
            let dependencies = &job.unfinished_dependencies;
            self.dependents.awaited.add(id, dependencies, !self.loaded);
            let known_cancelled = &self.dependents.known_cancelled;
            let cancelled = dependencies.iter().find(|job| known_cancelled.contains(*job)).cloned();
            if let Some(dependency) = cancelled {
                self.apply_cancelled_dependency(&dependency);
            }
        }
        self.inherit_priority(id);
    }

    /// Removes the dependencies of a job that has ended or has another leader now.
    pub(super) fn unregister_dependencies(&mut self, id: &str, job: &Job) {
        self.dependents.awaited.remove(id, &job.unfinished_dependencies);
    }

    /// Adopts a new epoch: peers send the inherited priorities of their waiting jobs, and evidence, again.
    pub(super) fn retain_dependents(&mut self, membership: &Membership) {
        self.dependents.awaited.retain_dependents(&self.jobs);
        // The watch would tell within two seconds what ended in the last epoch. Until then nobody could be told that there is
        // nothing to announce.
        self.dependents.awaited.begin_epoch();
        self.dependents.evidence.adopt_epoch(membership.others());
        let needed_by_peers = std::mem::take(&mut self.dependents.needed_by_peers);
        for id in needed_by_peers.into_values().flat_map(BTreeMap::into_keys) {
            self.inherit_priority(&id);
        }
    }

    /// Whether any job waits for a dependency, so that final records must be watched.
    pub fn has_awaited_dependencies(&self) -> bool {
        !self.dependents.awaited.is_empty()
    }
    /// Whether a job waits for this dependency.
    pub fn is_awaited(&self, dependency: &str) -> bool {
        self.dependents.awaited.contains(dependency)
    }
    /// Makes all awaited dependencies due to be read, after a time in which final records were not watched.
    pub fn reread_dependencies(&mut self) {
        self.dependents.awaited.require_reads();
    }
    /// Begins the next read of a dependency's final record that is due. Later changes are reported by a watch that
    /// began before the read.
    pub fn begin_dependency_read(&mut self) -> Option<DependencyRead> {
        self.dependents.awaited.begin_read()
    }
    /// Handles a failed read of a dependency's outcome: it is read again if a job still waits for it.
    pub fn retry_dependency_read(&mut self, dependency: &str) {
        self.dependents.awaited.retry_read(dependency);
    }
    /// Handles that a read found no final record of a dependency.
    pub fn note_absent_outcome(&mut self, read: &DependencyRead) {
        self.dependents.awaited.note_absent(read);
    }
    /// Handles a member's answer that it has nothing to announce: before the reading `echo` of this controller's clock it
    /// told no user of a cancellation that this controller has not acknowledged.
    pub fn note_nothing_to_announce(&mut self, now: Micros, member: usize, echo: Micros) {
        self.dependents.evidence.note_nothing_to_announce(member, echo);
        self.refresh_cancellation_evidence(now);
    }
    /// Handles that a member can't be asked whether it has anything to announce.
    pub fn exempt_from_evidence(&mut self, member: usize) {
        self.dependents.evidence.exempt(member);
    }
    /// Updates up to when all cancellations are known here.
    pub fn refresh_cancellation_evidence(&mut self, now: Micros) {
        if self.has_looked_for_outcomes() {
            self.dependents.evidence.refresh(now);
        }
    }
    /// Whether the final records of all dependencies that were awaited when the epoch began have been looked for since, so
    /// that this controller knows which of its jobs were cancelled with others in earlier epochs. Later ones don't count:
    /// with a stream of new jobs some dependency is always about to be read.
    pub fn has_looked_for_outcomes(&self) -> bool {
        self.loaded && !self.dependents.awaited.has_any_of_earlier_epoch()
    }
    /// How many dependencies are awaited, and what has been read of them.
    pub fn dependency_counts(&self) -> DependencyCounts {
        self.dependents.awaited.counts()
    }

    /// Handles the stored outcome of a dependency: its dependents are released, or cancelled with it.
    pub fn apply_dependency_outcome(&mut self, dependency: &str, end: JobOutcome) {
        match end {
            JobOutcome::Done => self.apply_completed_dependency(dependency),
            JobOutcome::Cancelled => self.apply_cancelled_dependency(dependency),
        }
    }

    fn apply_completed_dependency(&mut self, dependency: &str) {
        for id in self.dependents.awaited.take(dependency) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.unfinished_dependencies.remove(dependency);
            if !job.is_waiting() {
                job.released_wall = Some(self.wall_clock.max(job.accepted_wall));
                let waited = self.wall_clock.since(job.accepted_wall).as_secs();
                tracing::info!(job = %id, last = dependency, waited, "all dependencies done");
            }
            self.replan = true;
        }
    }

    /// Handles that a dependency is cancelled for good: it is on record as cancelled, or follows a job that is. Its
    /// dependents, direct and transitive, can only be cancelled too. They keep waiting until their own final records are
    /// stored.
    pub fn apply_cancelled_dependency(&mut self, dependency: &str) {
        let mut cancelled = vec![dependency.to_owned()];
        while let Some(dependency) = cancelled.pop() {
            self.dependents.note_cancelled(&dependency);
            for id in self.dependents.awaited.take(&dependency) {
                if self.orphan(&id, &dependency) {
                    cancelled.push(id);
                }
            }
        }
    }

    /// Cancels a job because a dependency is cancelled. Returns whether that is new.
    fn orphan(&mut self, id: &str, dependency: &str) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.orphaned_after.is_none()) else {
            return false;
        };
        job.orphaned_after = Some(self.dependents.evidence.known_until());
        if self.cancel(id) {
            tracing::info!(job = %id, needs = dependency, "job cancelled: prerequisite was cancelled");
        }
        self.dependents.newly_orphaned.push(id.to_owned());
        self.replan = true;
        true
    }

    /// Takes the jobs that have become orphans since the last call.
    pub fn take_newly_orphaned(&mut self) -> Vec<String> {
        std::mem::take(&mut self.dependents.newly_orphaned)
    }

    /// The live jobs that can only be cancelled, because they follow one that is.
    pub fn orphans(&self) -> impl Iterator<Item = &String> {
        self.jobs.iter().filter(|(_, job)| job.orphaned_after.is_some()).map(|(id, _)| id)
    }

    /// Why a live job must not be called queued any more: it follows a job that was, or may have been, cancelled so long
    /// ago that its user expects its end. It is not called cancelled before its end is on record, since another leader
    /// could say something older then.
    pub fn state_refusal(&self, now: Micros, wall: Micros, id: &str) -> Option<Refusal> {
        let job = self.jobs.get(id)?;
        let Dependents { awaited, evidence, .. } = &self.dependents;
        let since_acceptance = wall.since(job.accepted_wall);
        let (refusal, uncertain_for) = if let Some(orphaned_after) = job.orphaned_after {
            (Refusal::EndPending, now.since(orphaned_after))
        } else if job.unfinished_dependencies.iter().any(|dependency| awaited.is_unread(dependency)) {
            (Refusal::DependencyUnread, since_acceptance)
        } else if job.unfinished_dependencies.is_empty() {
            return None;
        } else {
            let uncertain_for = now.since(evidence.known_until());
            if uncertain_for < self.orphan_grace {
                return None;
            }
            (Refusal::DependencyUncertain, uncertain_for)
        };
        // What is known of a job since its acceptance is known only if this controller has led it from the beginning.
        let may_be_queued = job.was_accepted_here && uncertain_for.min(since_acceptance) < self.orphan_grace;
        (!may_be_queued).then_some(refusal)
    }

    /// Lifts a job's hold. The caller has verified that its reason is gone. Does nothing if the job is not
    /// held.
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

    /// Holds a job, or updates the reason of its hold. Running tasks are left alone: the caller decides about
    /// them.
    pub fn hold_job(&mut self, id: &str, hold: Hold) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.hold = Some(hold);
        }
    }

    /// Held jobs that are not about to end.
    pub fn held_jobs(&self) -> impl Iterator<Item = (&String, &Job, &Hold)> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.pending_outcome.is_none())
            .filter_map(|(id, job)| job.hold.as_ref().map(|hold| (id, job, hold)))
    }

    /// The jobs led by `leader` that waiting jobs of this shard depend on, with the priority that each
    /// inherits. Priority is passed on through jobs that are waiting themselves. Guarantees are not passed
    /// on, since they belong to a team.
    pub fn inherited_priorities_for(&self, leader: usize, membership: &Membership) -> Vec<(String, u8)> {
        let is_led_by_peer = |id: &str| membership.job_leader(id) == Some(leader);
        let base_priority_of = |id: &String| {
            let job = self.jobs.get(id).filter(|job| job.pending_outcome.is_none())?;
            Some(job.spec.priority % GUARANTEED_PRIORITY_BONUS)
        };
        let mut needed: BTreeMap<String, u8> = BTreeMap::new();
        for (dependency, jobs) in self.dependents.awaited.iter().filter(|(id, _)| is_led_by_peer(id)) {
            needed.insert(dependency.clone(), jobs.iter().filter_map(base_priority_of).max().unwrap_or(0));
        }
        for (id, base_priority) in
            self.dependents.needed_by_releases.iter().filter(|(id, _)| is_led_by_peer(id))
        {
            let needed = needed.entry(id.clone()).or_default();
            *needed = (*needed).max(*base_priority);
        }
        needed.into_iter().filter(|(_, base_priority)| *base_priority > 0).collect()
    }

    /// Sets the wall-clock time at which a job's release needs it.
    pub fn set_release_due(&mut self, id: &str, at: Option<Micros>) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.release_due = at;
        }
    }

    /// Replaces the jobs that held rotations of this shard wait for, with the priorities of the rotations.
    pub fn set_release_priorities(&mut self, list: BTreeMap<String, u8>) {
        self.dependents.needed_by_releases = list;
    }

    /// Replaces the jobs led here that another controller's waiting jobs depend on, with the priorities of
    /// those.
    pub fn apply_inherited_priorities(&mut self, from: usize, list: Vec<(String, u8)>) {
        let list: BTreeMap<String, u8> = list.into_iter().collect();
        let before = self.dependents.needed_by_peers.insert(from, list.clone()).unwrap_or_default();
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

    /// Waiting jobs, oldest first, for operators.
    pub fn waiting_jobs(&self) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| job.is_waiting()).collect();
        jobs.sort_by_key(|job| job.accepted_wall);
        jobs
    }
}
