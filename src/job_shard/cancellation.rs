//! Withdraws the attempts of a cancelled job that are still in transit to machines. None of them may start
//! once the user has been told that the job is cancelled.
//!
//! Storing the final record does not recall an attempt in transit: it may be queued at a machine's leader or
//! be contained in a heartbeat response. Therefore attempts are withdrawn first. The final record, which
//! precedes any answer to the user, is stored once each attempt that is not known to have arrived has either
//! arrived or is gone, or can no longer arrive:
//!
//! - A machine leader that has processed the withdrawal sends the attempt no more. A worker drops any earlier
//!   response `RESPONSE_TIMEOUT` after it sent the heartbeat.
//! - A machine leader that receives no messages from the job's leader keeps answering a machine with such an
//!   attempt for at most `leader_silence_limit` after the last message without the withdrawal, regardless of
//!   epoch changes (`machine_shard/owner_liveness`).
//! - Unknown attempts of a job taken over from an earlier leader were sent before the leaders of older epochs
//!   stopped.

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

/// How far the attempts of a cancelled job have been withdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cancellation {
    /// Since when the job is to end.
    pub(super) since: Option<Micros>,
    /// Since when the machines' leaders have processed the withdrawal of every attempt that is still in
    /// transit.
    delivered_at: Option<Micros>,
}

impl Cancellation {
    /// Resets the state for a new epoch, in which machines may have other leaders.
    pub(super) fn adopt_epoch(&mut self) {
        self.delivered_at = None;
    }
}

/// A job that is to end. Ordered as final records are written: cancellations first, then by waiting time.
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

/// Jobs that are to end. The queue avoids a scan over all jobs.
#[derive(Debug, Default)]
pub(super) struct EndQueue {
    /// Jobs that may have completed, or were cancelled, since the queue was last updated.
    changed: BTreeSet<String>,
    pub(super) queue: BTreeSet<QueuedEnd>,
}

impl EndQueue {
    /// Marks a job that may have completed or was cancelled.
    pub(super) fn mark_changed(&mut self, id: &str) {
        self.changed.insert(id.to_owned());
    }

    /// Removes jobs that are no longer live.
    pub(super) fn retain_live(&mut self, jobs: &BTreeMap<String, Job>) {
        self.changed.retain(|id| jobs.contains_key(id));
        self.queue.retain(|end| jobs.contains_key(&end.id));
    }

    /// Removes a job whose final record is stored.
    pub(super) fn remove(&mut self, id: &str, job: &Job) {
        if let (Some(outcome), Some(since)) = (job.pending_outcome, job.cancellation.since) {
            self.queue.remove(&QueuedEnd::new(outcome, since, id));
        }
    }
}

impl JobShard {
    /// Marks a live job to end as cancelled, unless it is already ending. Returns whether the state changed.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.pending_outcome.is_none()) else {
            return false;
        };
        job.pending_outcome = Some(JobOutcome::Cancelled);
        self.end_queue.mark_changed(id);
        true
    }

    /// Queues jobs that are to end, and withdraws the attempts in transit of those that are cancelled.
    pub(super) fn collect_ends(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.end_queue.changed) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let complete = job.spec.kind != JobKind::Service && job.done.len() == job.spec.task_count;
            if job.pending_outcome.is_none() && complete {
                // The job is checked again while its record is being written or read.
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
                    self.withdraw_attempts(&id);
                }
            }
        }
    }

    /// The attempts of a job that are not known to have arrived.
    fn attempts_in_transit(&self, id: &str, job: &Job) -> Vec<MachineStart> {
        let assigned = job.assignments.iter().filter(|(_, assignment)| !assignment.has_arrived());
        let assigned = assigned.map(|(&index, a)| MachineStart::new(&a.machine, id, index, a.attempt));
        let retired =
            self.retired_starts.attempts_of_job(id).filter(|(_, start)| start.alive && !start.arrived);
        assigned.chain(retired.map(|(key, _)| key.on_machine())).collect()
    }

    fn withdraw_attempts(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut any = false;
        for (&index, assignment) in &mut job.assignments {
            if !assignment.has_arrived() && !assignment.is_stopping() {
                assignment.action = DesiredAction::Stop(Micros(0));
                self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
                any = true;
            }
        }
        // The other members of the gang's attempt must not be told to start.
        if any && job.spec.kind == JobKind::Gang {
            job.gang = Some(GangState::Stopping);
        }
    }

    /// Whether no attempt of a job that is to end as cancelled can start any more.
    pub(super) fn is_withdrawn(&mut self, now: Micros, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let in_transit = self.attempts_in_transit(id, job);
        if in_transit.is_empty() && job.has_known_starts() {
            return true;
        }
        let all_delivered = in_transit.iter().all(|start| self.delivery.is_delivered(start));
        let Some(job) = self.jobs.get_mut(id) else { return true };
        let cancellation = &mut job.cancellation;
        let since = *cancellation.since.get_or_insert(now);
        cancellation.delivered_at = all_delivered.then(|| cancellation.delivered_at.unwrap_or(now));
        let max_response_delay = RESPONSE_TIMEOUT.plus_drift();
        let is_dropped =
            |delivered_at: Micros| now >= delivered_at.max(self.older_epochs_stopped_at) + max_response_delay;
        cancellation.delivered_at.is_some_and(is_dropped)
            || now >= since + self.leader_silence_limit.plus_drift() + max_response_delay
    }
}

#[cfg(test)]
mod tests;
