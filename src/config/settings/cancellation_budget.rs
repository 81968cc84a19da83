//! The cancellation_budget of time between a user's being told that a job is cancelled and the end of its last task.
//!
//! See `docs/design.md`, "A cancellation_budget of time", for each step and why it is bounded.

use super::Settings;
use crate::units::Micros;

/// For what is bounded by nothing but a process's own rounds: a worker that looks at its lease, a home that looks at its
/// clock.
const ROUNDS: Micros = Micros::from_millis(1000);
/// A home must go on for at least as many report periods without a word of an owner: one lost message and a hiccup must
/// not cost machines their leases.
const LEAST: u64 = 2;

/// What `cancel_s` is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancellationBudget {
    /// `cancel_s`: all of it.
    pub whole: Micros,
    /// How long a home may answer a machine without a word of its tasks' owners, by its own clock. The part that is ours
    /// to choose: it gets what the others leave.
    pub reach: Micros,
    /// `lease_s`: from the sending of the last report that was answered until the worker ends its tasks, by its clock.
    pub worker_lease: Micros,
}

/// `cancel_s` can't be held on these settings if a home loses sight of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "settings.workers.cancel_s: {} s can't be held when controllers lose sight of one another: lease_s {} s and \
    the least time for that, {} s, add up to {} s",
    whole.secs(), worker_lease.secs(), reach.secs(), needed.secs()
)]
pub struct CancellationBudgetError {
    /// `cancel_s`.
    pub whole: Micros,
    /// `lease_s`.
    pub worker_lease: Micros,
    /// How long a home goes on without a word.
    pub reach: Micros,
    /// The sum of all steps.
    pub needed: Micros,
}

impl CancellationBudget {
    /// Divides `cancel_s` by the workers' settings. Where they leave too little, the least that serves is taken.
    pub fn new(cancel: Micros, worker_lease: Micros, report: Micros) -> CancellationBudget {
        let left = cancel.0.saturating_sub(worker_lease.stretched().0 + ROUNDS.0);
        CancellationBudget {
            whole: cancel,
            reach: Micros(left).shortened().max(Micros(report.0 * LEAST)),
            worker_lease,
        }
    }

    /// The cancellation_budget of these settings.
    pub fn of(s: &Settings) -> CancellationBudget {
        CancellationBudget::new(s.cancel, s.worker_lease, s.report)
    }

    /// The longest that a task can outlive the word that its job is cancelled: the home's time without a word of the
    /// owner and the worker's lease, both on clocks that drift.
    pub fn longest(&self) -> Micros {
        self.reach.stretched() + self.worker_lease.stretched() + ROUNDS
    }

    /// Whether that is within `cancel_s`.
    ///
    /// # Errors
    /// If it isn't: with the figures. The service can run on such settings, but not keep that promise.
    pub fn check(&self) -> Result<(), CancellationBudgetError> {
        let needed = self.longest();
        match needed <= self.whole {
            true => Ok(()),
            false => Err(CancellationBudgetError {
                whole: self.whole,
                worker_lease: self.worker_lease,
                reach: self.reach,
                needed,
            }),
        }
    }
}
