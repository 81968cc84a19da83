//! Gangs: all members of an attempt start together, and end together.

use super::JobShard;
use super::job::Job;
use crate::peer::{DesiredAction, TaskPhase};
use crate::units::Micros;

/// How long members may take to be accepted by their machines before the attempt is given up.
const ACCEPT_TIMEOUT: Micros = Micros::from_millis(4_000);
/// Pause before the next attempt of a gang that was not accepted.
const RETRY_PAUSE: Micros = Micros::from_millis(300);

/// A gang's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GangState {
    /// Members are being accepted, since then.
    Holding(Micros),
    /// All were accepted and may start.
    Going,
    /// The attempt is over; its members are being stopped.
    Ending,
}

/// What an attempt needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GangStep {
    /// All members are accepted: they start.
    Start,
    /// Not all were accepted in time: nothing of it was started.
    GiveUp,
    /// A member is missing or stuck.
    Stop,
    /// All members are gone: the next attempt may begin.
    Clear,
}

impl Job {
    /// What its gang's attempt needs next, if anything.
    fn next_gang_step(&self, now: Micros, gang_wait: Micros) -> Option<GangStep> {
        let tasks = self.spec.task_count as usize;
        match self.gang? {
            GangState::Holding(since) => {
                let held = self.assignments.values().filter(|a| a.phase == Some(TaskPhase::Held)).count();
                if held == tasks {
                    return Some(GangStep::Start);
                }
                (now.since(since) > ACCEPT_TIMEOUT).then_some(GangStep::GiveUp)
            }
            GangState::Going => {
                // A member that never gets as far as waiting holds up the rest; theirs run
                // out by themselves after a while, ours is to notice the odd one.
                let stuck = self.assignments.values().any(|assignment| {
                    matches!(assignment.phase, Some(TaskPhase::Queued | TaskPhase::InDoubt) | None)
                        && now.since(assignment.phase_since) > gang_wait
                });
                (self.assignments.len() < tasks || stuck).then_some(GangStep::Stop)
            }
            GangState::Ending => self.assignments.is_empty().then_some(GangStep::Clear),
        }
    }
}

impl JobShard {
    /// Moves the attempts of all gangs on.
    pub(super) fn advance_gangs(&mut self, now: Micros) {
        let mut ended = Vec::new();
        for (id, job) in &mut self.jobs {
            match job.next_gang_step(now, self.gang_wait) {
                Some(GangStep::Start) => {
                    job.gang = Some(GangState::Going);
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
                GangStep::GiveUp => self.give_up_gang(now, &id),
                // A gang taken over is complete only when every machine has been heard.
                _ if !self.jobs.get(&id).is_some_and(Job::has_known_starts) => {}
                _ => self.end_gang(&id),
            }
        }
    }

    /// Withdraws an attempt of which nothing was started: what is no longer named is dropped by the machines' leaders.
    fn give_up_gang(&mut self, now: Micros, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.gang = None;
        job.not_before = now + RETRY_PAUSE;
        for (index, assignment) in std::mem::take(&mut job.assignments) {
            self.unindex_assignment(&assignment.machine, id, index);
            self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
        }
    }

    /// A gang's attempt is over: its other members are stopped, and the next attempt waits until
    /// they are gone. Does nothing if the gang has completed.
    pub(super) fn end_gang(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.done.len() != job.spec.task_count {
            self.stop_gang(id, Micros(0));
        }
    }

    /// Stops all members of a gang.
    pub(super) fn stop_gang(&mut self, id: &str, grace: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.gang = if job.assignments.is_empty() { None } else { Some(GangState::Ending) };
        for (&index, assignment) in &mut job.assignments {
            // One that is saving already keeps its time.
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
