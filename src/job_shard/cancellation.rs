//! What a cancelled job has on its way to machines: nothing of it may start once its user has been told.
//!
//! An end on record calls nothing back that is out: a start may wait at a machine's leader, or travel in the answer to a
//! heartbeat. So the starts go first. Those that are not known to have arrived are withdrawn, and the end goes on record,
//! which comes before any answer, once each of them has arrived or is gone, or can't arrive any more:
//!
//! - A leader of machines that has taken account of the withdrawal sends nothing of it from then on. What it sent before,
//!   an agent drops `RESPONSE_TIMEOUT` after it sent the heartbeat.
//! - A leader of machines that doesn't hear us answers a machine with such a start for no longer than
//!   `leader_silence_limit` after our last word without the withdrawal, whatever epochs do meanwhile
//!   (`machine_shard/owner_liveness`).
//! - Starts of an adopted job that are not known yet were sent before the older epochs fell silent.

use super::JobShard;
use super::assignments::MachineStart;
use super::gang::GangState;
use super::job::Job;
use super::outcomes::JobOutcome;
use crate::machine_shard::RESPONSE_TIMEOUT;
use crate::peer::DesiredAction;
use crate::spec::JobKind;
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How far a cancelled job's starts have been withdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cancellation {
    /// Since when it is to end.
    pub(super) since: Option<Micros>,
    /// Since when the machines' leaders have taken account of that for all that is still on its way.
    delivered_at: Option<Micros>,
}

impl Cancellation {
    /// A new epoch: machines may have other leaders.
    pub(super) fn adopt_epoch(&mut self) {
        self.delivered_at = None;
    }
}

/// A job that is to end. Ordered as ends go on record: cancellations first, then by how long they wait.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedEnd {
    pub(super) done: bool,
    since: Micros,
    pub(super) id: String,
}

impl QueuedEnd {
    fn new(outcome: JobOutcome, since: Micros, id: &str) -> QueuedEnd {
        QueuedEnd { done: outcome != JobOutcome::Cancelled, since, id: id.to_owned() }
    }
}

/// Jobs that are to end, so that no pass over all jobs looks for them.
#[derive(Debug, Default)]
pub(super) struct EndQueue {
    /// Jobs that may have become complete, or were cancelled, since that was last noted.
    changed: BTreeSet<String>,
    pub(super) queue: BTreeSet<QueuedEnd>,
}

impl EndQueue {
    /// A job may have become complete, or was cancelled.
    pub(super) fn mark_changed(&mut self, id: &str) {
        self.changed.insert(id.to_owned());
    }

    /// Drops what is not among the live jobs.
    pub(super) fn keep(&mut self, jobs: &BTreeMap<String, Job>) {
        self.changed.retain(|id| jobs.contains_key(id));
        self.queue.retain(|end| jobs.contains_key(&end.id));
    }

    /// A job's end is on record.
    pub(super) fn remove(&mut self, id: &str, job: &Job) {
        if let (Some(outcome), Some(since)) = (job.pending_outcome, job.cancellation.since) {
            self.queue.remove(&QueuedEnd::new(outcome, since, id));
        }
    }
}

impl JobShard {
    /// A live job is to end as cancelled, unless it is to end already. Returns whether that is new.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.pending_outcome.is_none()) else {
            return false;
        };
        job.pending_outcome = Some(JobOutcome::Cancelled);
        self.end_queue.mark_changed(id);
        true
    }

    /// Takes note of jobs that are to end, and withdraws what cancelled ones have on their way.
    pub(super) fn note_ends(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.end_queue.changed) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let complete = job.spec.kind != JobKind::Service && job.done.len() == job.spec.task_count;
            if job.pending_outcome.is_none() && complete {
                // While its record is written or read it is looked at again.
                if job.write_in_flight || job.needs_reread {
                    self.end_queue.changed.insert(id);
                    continue;
                }
                job.pending_outcome = Some(JobOutcome::Done);
            }
            let Some(outcome) = job.pending_outcome else { continue };
            if job.cancellation.since.is_none() {
                job.cancellation.since = Some(now);
                self.end_queue.queue.insert(QueuedEnd::new(outcome, now, &id));
                if outcome == JobOutcome::Cancelled {
                    self.withdraw_starts(&id);
                }
            }
        }
    }

    /// The starts of a job that are not known to have arrived.
    fn starts_on_their_way(&self, id: &str, job: &Job) -> Vec<MachineStart> {
        let assigned = job.assignments.iter().filter(|(_, assignment)| !assignment.has_arrived());
        let assigned = assigned.map(|(&index, a)| MachineStart::new(&a.machine, id, index, a.attempt));
        let retired = self.retired_starts.of_job(id).filter(|(_, start)| start.alive && !start.arrived);
        assigned.chain(retired.map(|(key, _)| key.on_machine())).collect()
    }

    fn withdraw_starts(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut any = false;
        for (&index, assignment) in &mut job.assignments {
            if !assignment.has_arrived() && !assignment.is_stopping() {
                assignment.action = DesiredAction::Stop(Micros(0));
                self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
                any = true;
            }
        }
        // The others of a gang's attempt must not be told to begin.
        if any && job.spec.kind == JobKind::Gang {
            job.gang = Some(GangState::Ending);
        }
    }

    /// Whether nothing of a job that is to end as cancelled can start any more.
    pub(super) fn is_withdrawn(&mut self, now: Micros, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let on_their_way = self.starts_on_their_way(id, job);
        if on_their_way.is_empty() && job.has_known_starts() {
            return true;
        }
        let all_delivered = on_their_way.iter().all(|start| self.delivery.is_delivered(start));
        let Some(job) = self.jobs.get_mut(id) else { return true };
        let cancellation = &mut job.cancellation;
        let since = *cancellation.since.get_or_insert(now);
        cancellation.delivered_at = all_delivered.then(|| cancellation.delivered_at.unwrap_or(now));
        let late = RESPONSE_TIMEOUT.plus_drift();
        let is_dropped = |delivered_at: Micros| now >= delivered_at.max(self.older_epochs_silent_at) + late;
        cancellation.delivered_at.is_some_and(is_dropped)
            || now >= since + self.leader_silence_limit.plus_drift() + late
    }
}

#[cfg(test)]
mod tests;
