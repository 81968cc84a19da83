//! Decides which machines' leases may be renewed: those whose tasks' job leaders have sent messages recently enough.
//!
//! Only the job leader has the information that a job was cancelled, and only the machine leader can have the job's
//! tasks stopped or let the worker's lease expire. While these two controllers do not receive each other's messages,
//! the machine leader must stop responding to the worker in time: the user has been told that the job is cancelled,
//! so its tasks must end within `cancel_s`, whatever else fails.
//!
//! The evidence is the *echo* in a job leader's message: the latest reading of this controller's clock that the job
//! leader had received when it sent the message. A message that takes this shard's whole status into account and does
//! not ask to stop a task was sent before the job leader ended that job, so the user was told later than the echoed
//! reading. The time limit counts from that reading. This holds across epochs, since a fact about a past reading
//! stays true. If the job leader has sent nothing yet about a task, because this controller has just begun to lead
//! the machine or this process has just started, there is no evidence, and the machine gets no response until the job
//! leader has sent a message.
//!
//! Nothing here depends on the state store.

use super::{Machine, TaskEntry};
use crate::config::settings::Settings;
use crate::peer::{DesiredAction, TaskPhase};
use crate::units::Micros;

/// What the messages of one job leader have shown in this epoch.
#[derive(Clone, Copy, Debug, Default)]
struct MessageEvidence {
    /// The latest reading of this controller's clock that the job leader had received.
    echo: Micros,
    /// The latest revision of this shard's status that the job leader's messages take into account.
    seen_revision: u64,
}

/// What the messages of all job leaders have shown.
#[derive(Debug)]
pub(super) struct JobLeaderLiveness {
    /// How long after the echoed reading a lease may be renewed.
    contact_limit: Micros,
    latest_messages: Vec<MessageEvidence>,
    /// Whether a message was recorded since this flag was last taken.
    has_new_message: bool,
}

/// Evidence from a job leader's messages that the job of one task has not been cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct JobLeaderEvidence {
    /// The job leader in this epoch, if there is one.
    job_leader: Option<usize>,
    /// The revision of this shard's status that first lists the task to this job leader.
    status_revision: u64,
    /// Whether the job leader's desired state of this epoch has listed the task.
    is_desired: bool,
    /// A reading of this controller's clock: a user can have been told only later than this that the job is cancelled.
    not_cancelled_before: Micros,
}

impl JobLeaderEvidence {
    /// Creates the evidence for a task that the job leader learns of from the status numbered `status_revision`.
    pub(super) fn new(job_leader: Option<usize>, status_revision: u64) -> JobLeaderEvidence {
        JobLeaderEvidence { job_leader, status_revision, is_desired: false, not_cancelled_before: Micros(0) }
    }

    /// Records that the job leader's desired state lists this task.
    pub(super) fn mark_desired(&mut self) {
        self.is_desired = true;
    }

    /// Records that the job leader's desired state no longer lists the task. The job leader's messages count again once
    /// they take the status numbered `status_revision` into account.
    pub(super) fn mark_undesired(&mut self, status_revision: u64) {
        self.is_desired = false;
        self.status_revision = status_revision;
    }

    /// Adopts a new epoch. The job leader may have changed; it learns of the task from the status numbered
    /// `status_revision`. Evidence from earlier epochs stays valid.
    pub(super) fn adopt_epoch(
        &mut self,
        liveness: &JobLeaderLiveness,
        job_leader: Option<usize>,
        status_revision: u64,
    ) {
        let not_cancelled_before = liveness.not_cancelled_before(self);
        *self = JobLeaderEvidence { job_leader, status_revision, is_desired: false, not_cancelled_before };
    }
}

impl JobLeaderLiveness {
    pub(super) fn new(settings: &Settings) -> JobLeaderLiveness {
        let latest_messages = vec![MessageEvidence::default(); settings.members.len()];
        JobLeaderLiveness { contact_limit: settings.reach, latest_messages, has_new_message: false }
    }

    /// Adopts a new epoch, in which no message has arrived yet. Call it after every [`JobLeaderEvidence::adopt_epoch`].
    pub(super) fn adopt_epoch(&mut self) {
        self.latest_messages.fill(MessageEvidence::default());
    }

    /// Records a job leader's message of this epoch. None of the messages that it builds on may be missing.
    pub(super) fn record_message(&mut self, job_leader: usize, echo: Micros, seen_revision: u64) {
        if let Some(latest) = self.latest_messages.get_mut(job_leader) {
            *latest = MessageEvidence {
                echo: latest.echo.max(echo),
                seen_revision: latest.seen_revision.max(seen_revision),
            };
            self.has_new_message = true;
        }
    }

    /// Returns whether a message was recorded since the last call, and clears that flag.
    pub(super) fn take_new_message_flag(&mut self) -> bool {
        std::mem::take(&mut self.has_new_message)
    }

    /// Returns a reading of this controller's clock: a user can have been told only later that the task's job is
    /// cancelled.
    fn not_cancelled_before(&self, evidence: &JobLeaderEvidence) -> Micros {
        let latest = evidence
            .job_leader
            .and_then(|job_leader| self.latest_messages.get(job_leader))
            .copied()
            .unwrap_or_default();
        // A job leader that has not learned of the task omits it whatever became of the job.
        let has_learned_of_task = evidence.is_desired || latest.seen_revision >= evidence.status_revision;
        if has_learned_of_task {
            evidence.not_cancelled_before.max(latest.echo)
        } else {
            evidence.not_cancelled_before
        }
    }

    /// Whether the machine's lease may be renewed although this task is on it.
    fn can_renew_for_task(&self, now: Micros, task: &TaskEntry) -> bool {
        match (task.phase, task.desired) {
            (TaskPhase::Exited(_) | TaskPhase::Held, _) => true,
            // The response itself carries the command to stop the task.
            (phase, Some(DesiredAction::Stop(_) | DesiredAction::Forget)) if phase.is_live_on_worker() => {
                true
            }
            _ => {
                let not_cancelled_before = self.not_cancelled_before(&task.job_leader_evidence);
                not_cancelled_before > Micros(0) && now < not_cancelled_before + self.contact_limit
            }
        }
    }

    /// Whether the machine's lease may be renewed, given all the tasks that are on it.
    pub(super) fn can_renew_lease(&self, now: Micros, machine: &Machine) -> bool {
        machine.tasks.values().all(|task| self.can_renew_for_task(now, task))
    }
}

#[cfg(test)]
mod tests;
