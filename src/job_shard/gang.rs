//! Gang scheduling: all members of a gang's attempt, which share its attempt number, start and end together.

use super::JobShard;
use super::job::Job;
use crate::peer::{DesiredAction, TaskPhase};
use crate::units::Micros;

/// How long the machines may take to accept all members before the attempt is abandoned.
const ACCEPT_TIMEOUT: Micros = Micros::from_millis(4_000);
/// Pause before the next attempt of a gang whose members were not all accepted.
const RETRY_PAUSE: Micros = Micros::from_millis(300);

/// The state of a gang's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GangState {
    /// Members are being accepted, since the given time.
    Accepting(Micros),
    /// All members were accepted and may start.
    Started,
    /// The attempt has failed; its members are being stopped.
    Stopping,
}

/// The next step of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GangStep {
    /// Start all members, since all are accepted.
    Start,
    /// Abandon the attempt: not all members were accepted in time, and none has started.
    Abandon,
    /// Stop the attempt: a member is missing or stuck.
    Stop,
    /// Allow the next attempt: all members are gone.
    Clear,
}

impl Job {
    /// The next step of its gang's attempt, if any.
    fn next_gang_step(&self, now: Micros, gang_wait: Micros) -> Option<GangStep> {
        let tasks = self.spec.task_count as usize;
        match self.gang? {
            GangState::Accepting(since) => {
                let held = self.assignments.values().filter(|a| a.phase == Some(TaskPhase::Held)).count();
                if held == tasks {
                    return Some(GangStep::Start);
                }
                (now.since(since) > ACCEPT_TIMEOUT).then_some(GangStep::Abandon)
            }
            GangState::Started => {
                // A member that never reaches its waiting phase blocks the others. Those time out on their
                // workers; the stuck one must be detected here.
                let has_stuck_member = self.assignments.values().any(|assignment| {
                    matches!(assignment.phase, Some(TaskPhase::Queued | TaskPhase::InDoubt) | None)
                        && now.since(assignment.phase_since) > gang_wait
                });
                (self.assignments.len() < tasks || has_stuck_member).then_some(GangStep::Stop)
            }
            GangState::Stopping => self.assignments.is_empty().then_some(GangStep::Clear),
        }
    }
}

impl JobShard {
    /// Advances the attempts of all gangs.
    pub(super) fn advance_gangs(&mut self, now: Micros) {
        let mut ended = Vec::new();
        for (id, job) in &mut self.jobs {
            match job.next_gang_step(now, self.gang_wait) {
                Some(GangStep::Start) => {
                    job.gang = Some(GangState::Started);
                    for (&index, assignment) in &mut job.assignments {
                        assignment.action = DesiredAction::Run;
                        self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
                    }
                }
                Some(GangStep::Clear) => job.gang = None,
                Some(step) => ended.push((id.clone(), step)),
                None => {}
            }
        }
        for (id, step) in ended {
            match step {
                GangStep::Abandon => self.abandon_gang_attempt(now, &id),
                // The members of a gang taken over from another leader are all known only once every machine
                // has reported.
                _ if !self.jobs.get(&id).is_some_and(Job::has_known_starts) => {}
                _ => self.end_gang_attempt(&id),
            }
        }
    }

    /// Withdraws an attempt of which no member has started. Machine leaders drop attempts that are no longer
    /// listed.
    fn abandon_gang_attempt(&mut self, now: Micros, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.gang = None;
        job.not_before = now + RETRY_PAUSE;
        for (index, assignment) in std::mem::take(&mut job.assignments) {
            self.unindex_assignment(&assignment.machine, id, index);
            self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
        }
    }

    /// Ends a gang's attempt: its remaining members are stopped, and the next attempt waits until they are
    /// gone. Does nothing if the gang has completed.
    pub(super) fn end_gang_attempt(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.done.len() != job.spec.task_count {
            self.stop_gang(id, Micros(0));
        }
    }

    /// Stops all members of a gang.
    pub(super) fn stop_gang(&mut self, id: &str, grace: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.gang = if job.assignments.is_empty() { None } else { Some(GangState::Stopping) };
        for (&index, assignment) in &mut job.assignments {
            // A member that is already writing its checkpoint keeps its grace period.
            if !assignment.is_stopping() {
                assignment.action = DesiredAction::Stop(grace);
                self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
            }
        }
    }

    /// Stops one task of a job that is not a gang.
    pub(super) fn stop_task(&mut self, id: &str, index: u32, grace: Micros) {
        if let Some(assignment) = self.jobs.get_mut(id).and_then(|job| job.assignments.get_mut(&index)) {
            assignment.action = DesiredAction::Stop(grace);
            self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
        }
    }
}
