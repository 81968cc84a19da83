//! Which machines' leases a home may keep alive: those whose tasks' owners have been heard of late.
//!
//! Only a job's owner knows that it was cancelled, and only the home of a machine can have its tasks stopped, or let the
//! worker's lease run out. While the two don't hear each other the home must not answer the worker for ever: the user
//! was told that the job is cancelled, and its tasks must be gone in time whatever else fails.
//!
//! What a home goes by is the *echo* in an owner's message: a reading of the home's own clock that the owner had heard when
//! it sent the message. A message that takes account of all that the home has told, and doesn't ask for a task's stop, was
//! sent before the owner's end of that job; so the user was told later than the echoed reading. From there the home counts.
//! That holds whatever the epochs do meanwhile: what was true at a reading stays true. A task whose owner has yet to say
//! anything about it, since the machine has just become ours, or this process has just begun, rests on nothing: its machine
//! is answered once the owner has spoken.
//!
//! The way to do without the state service is part of it: nothing here asks for it.

use super::{Entry, Machine};
use crate::config::settings::Settings;
use crate::peer::{DesiredAction, TaskPhase};
use crate::units::Micros;

/// What an owner's latest message of this epoch said.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerStatement {
    /// The reading of our clock that it had heard.
    echo: Micros,
    /// The state of our machines that it takes account of.
    seen: u64,
}

/// What a home knows of the owners' messages.
#[derive(Debug)]
pub(super) struct OwnerLiveness {
    limit: Micros,
    said: Vec<OwnerStatement>,
    /// Somebody has said something since this was last asked.
    news: bool,
}

/// What is known about the owner of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnerBasis {
    /// The owner in this epoch, if anybody is.
    owner: Option<usize>,
    /// The change of our machines from which on the owner, if it has that state, knows of the task.
    listed: u64,
    /// The owner named the task itself in this epoch.
    named: bool,
    /// A reading of our clock after which alone its user can have been told that the job is cancelled.
    before: Micros,
}

impl OwnerBasis {
    /// A task that the owner doesn't know to be there before it holds the state numbered `listed`.
    pub(super) fn new(owner: Option<usize>, listed: u64) -> OwnerBasis {
        OwnerBasis { owner, listed, named: false, before: Micros(0) }
    }
    /// The owner has spoken of this very task.
    pub(super) fn named(&mut self) {
        self.named = true;
    }
    /// The owner no longer speaks of it: it has to see it once more, in the state numbered `listed`.
    pub(super) fn unnamed(&mut self, listed: u64) {
        self.named = false;
        self.listed = listed;
    }
    /// A new epoch: the owner may be another, which knows of it from the state numbered `listed` on. What was known
    /// before stays true.
    pub(super) fn adopt(&mut self, reach: &OwnerLiveness, owner: Option<usize>, listed: u64) {
        *self = OwnerBasis { owner, listed, named: false, before: reach.before(self) };
    }
}

impl OwnerLiveness {
    pub(super) fn new(s: &Settings) -> OwnerLiveness {
        OwnerLiveness { limit: s.reach, said: vec![OwnerStatement::default(); s.members.len()], news: false }
    }

    /// A new epoch: nobody has said anything in it. To be called after the tasks' standpoints were carried over.
    pub(super) fn adopt(&mut self) {
        self.said.fill(OwnerStatement::default());
    }

    /// An owner's message of this epoch was taken, and none that it builds on is missing.
    pub(super) fn said(&mut self, owner: usize, echo: Micros, seen: u64) {
        if let Some(s) = self.said.get_mut(owner) {
            *s = OwnerStatement { echo: s.echo.max(echo), seen: s.seen.max(seen) };
            self.news = true;
        }
    }

    /// Whether anybody has said something since this was last asked.
    pub(super) fn news(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    fn before(&self, p: &OwnerBasis) -> Micros {
        let said = p.owner.and_then(|o| self.said.get(o)).copied().unwrap_or_default();
        // A message of an owner that doesn't know of the task says nothing about it by being silent.
        if p.named || said.seen >= p.listed { p.before.max(said.echo) } else { p.before }
    }

    /// Whether the worker may be answered with 200 although this task is there.
    fn covers(&self, now: Micros, e: &Entry) -> bool {
        match (e.phase, e.want) {
            (TaskPhase::Exited(_) | TaskPhase::Held, _) => true,
            // The answer itself tells the worker to stop it.
            (
                TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Saving,
                Some(DesiredAction::Stop(_)),
            ) => true,
            _ => {
                let before = self.before(&e.standpoint);
                before > Micros(0) && now < before + self.limit
            }
        }
    }

    /// Whether an answer may keep the machine's lease alive.
    pub(super) fn covers_all(&self, now: Micros, x: &Machine) -> bool {
        x.entries.values().all(|e| self.covers(now, e))
    }
}

#[cfg(test)]
mod tests;
