//! Which machines' leases may be renewed: those whose tasks' job leaders have been heard of late.
//!
//! Only a job's leader knows that it was cancelled, and only the leader of a machine can have its tasks stopped, or let the
//! worker's lease expire. While the two don't hear each other the machine's leader must not answer the worker for ever: the
//! user was told that the job is cancelled, and its tasks must be gone in time whatever else fails.
//!
//! What counts is the *echo* in a job leader's message: a reading of our own clock that it had heard when it sent the
//! message. A message that takes account of all that we have told, and doesn't ask for a task's stop, was sent before the
//! leader ended that job; so the user was told later than the echoed reading. From there the limit counts. That holds
//! whatever the epochs do meanwhile: what was true at a reading stays true. A task whose job's leader has yet to say
//! anything about it, since the machine has just become ours, or this process has just begun, rests on nothing: its machine
//! is answered once that leader has spoken.
//!
//! It works without the state service: nothing here asks for it.

use super::{Machine, TaskEntry};
use crate::config::settings::Settings;
use crate::peer::{DesiredAction, TaskPhase};
use crate::units::Micros;

/// What the messages of one jobs' leader have said in this epoch.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerStatement {
    /// The latest reading of our clock that it had heard.
    echo: Micros,
    /// The latest state of our machines that it takes account of.
    seen: u64,
}

/// What is known of the messages of all jobs' leaders.
#[derive(Debug)]
pub(super) struct OwnerLiveness {
    limit: Micros,
    statements: Vec<OwnerStatement>,
    /// Somebody has said something since this was last asked.
    has_news: bool,
}

/// What is known about the job leader's word on one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnerBasis {
    /// The job's leader in this epoch, if there is one.
    owner: Option<usize>,
    /// The change of our machines from which on the leader, if it has that state, knows of the task.
    listed_at: u64,
    /// The leader named the task itself in this epoch.
    is_named: bool,
    /// A reading of our clock after which alone a user can have been told that the job is cancelled.
    not_cancelled_before: Micros,
}

impl OwnerBasis {
    /// A task that the job's leader doesn't know to be there before it holds the state numbered `listed_at`.
    pub(super) fn new(owner: Option<usize>, listed_at: u64) -> OwnerBasis {
        OwnerBasis { owner, listed_at, is_named: false, not_cancelled_before: Micros(0) }
    }

    /// The leader has spoken of this very task.
    pub(super) fn mark_named(&mut self) {
        self.is_named = true;
    }

    /// The leader no longer speaks of it: it has to see it once more, in the state numbered `listed_at`.
    pub(super) fn mark_unnamed(&mut self, listed_at: u64) {
        self.is_named = false;
        self.listed_at = listed_at;
    }

    /// A new epoch: the leader may be another, which knows of the task from the state numbered `listed_at` on. What was
    /// known before stays true.
    pub(super) fn adopt_epoch(&mut self, liveness: &OwnerLiveness, owner: Option<usize>, listed_at: u64) {
        let not_cancelled_before = liveness.not_cancelled_before(self);
        *self = OwnerBasis { owner, listed_at, is_named: false, not_cancelled_before };
    }
}

impl OwnerLiveness {
    pub(super) fn new(settings: &Settings) -> OwnerLiveness {
        let statements = vec![OwnerStatement::default(); settings.members.len()];
        OwnerLiveness { limit: settings.reach, statements, has_news: false }
    }

    /// A new epoch: nobody has said anything in it. To be called after every [`OwnerBasis::adopt_epoch`].
    pub(super) fn adopt_epoch(&mut self) {
        self.statements.fill(OwnerStatement::default());
    }

    /// A leader's message of this epoch was taken, and none that it builds on is missing.
    pub(super) fn note_message(&mut self, owner: usize, echo: Micros, seen: u64) {
        if let Some(statement) = self.statements.get_mut(owner) {
            *statement = OwnerStatement { echo: statement.echo.max(echo), seen: statement.seen.max(seen) };
            self.has_news = true;
        }
    }

    /// Whether anybody has said something since this was last called.
    pub(super) fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// The reading of our clock after which alone a user can have been told that the task's job is cancelled.
    fn not_cancelled_before(&self, basis: &OwnerBasis) -> Micros {
        let statement = basis.owner.and_then(|owner| self.statements.get(owner)).copied().unwrap_or_default();
        // A message of a leader that doesn't know of the task says nothing about it by being silent.
        let speaks_for_task = basis.is_named || statement.seen >= basis.listed_at;
        if speaks_for_task {
            basis.not_cancelled_before.max(statement.echo)
        } else {
            basis.not_cancelled_before
        }
    }

    /// Whether the machine's lease may be renewed although this task is there.
    fn covers(&self, now: Micros, task: &TaskEntry) -> bool {
        match (task.phase, task.desired) {
            (TaskPhase::Exited(_) | TaskPhase::Held, _) => true,
            // The response itself tells the worker to stop it.
            (
                TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Saving,
                Some(DesiredAction::Stop(_)),
            ) => true,
            _ => {
                let reading = self.not_cancelled_before(&task.owner_basis);
                reading > Micros(0) && now < reading + self.limit
            }
        }
    }

    /// Whether the machine's lease may be renewed.
    pub(super) fn covers_all(&self, now: Micros, machine: &Machine) -> bool {
        machine.tasks.values().all(|task| self.covers(now, task))
    }
}

#[cfg(test)]
mod tests;
