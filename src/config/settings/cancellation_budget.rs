//! The budget of time between the answer that a job is cancelled and the end of its last task.
//!
//! See `docs/design.md`, "A budget of time", for each step and why it is bounded.

use super::Settings;
use crate::units::Micros;

/// For steps that only a process's own rounds bound: a worker checks its lease, a machine's leader its clock.
const ROUND_ALLOWANCE: Micros = Micros::from_millis(1000);
/// Least number of heartbeat periods that a machine's leader goes on without hearing from a job's leader: one lost message
/// and a short pause must not cost machines their leases.
const LEAST_REACH_PERIODS: u64 = 2;

/// What `cancel_s` is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancellationBudget {
    /// `cancel_s`: all of it.
    pub whole: Micros,
    /// How long a machine's leader may answer it without hearing from the leaders of its tasks' jobs, by its own clock. The
    /// one part that is free to choose: it gets what the others leave.
    pub reach: Micros,
    /// `lease_s`: from the sending of the last heartbeat that was answered until the worker ends its tasks, by its clock.
    pub worker_lease: Micros,
}

/// `cancel_s` can't be held on these settings while a machine's leader does not hear from a job's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "settings.workers.cancel_s: {} s can't be held when controllers lose sight of one another: lease_s {} s and \
    the least time for that, {} s, add up to {} s",
    whole.as_secs(), worker_lease.as_secs(), reach.as_secs(), needed.as_secs()
)]
pub struct CancellationBudgetError {
    /// `cancel_s`.
    pub whole: Micros,
    /// `lease_s`.
    pub worker_lease: Micros,
    /// How long a machine's leader goes on without hearing from a job's.
    pub reach: Micros,
    /// The sum of all steps.
    pub needed: Micros,
}

impl CancellationBudget {
    /// Divides `cancel_s`. Where the worker's lease leaves too little, the reach is the least that serves.
    pub fn new(cancel: Micros, worker_lease: Micros, report: Micros) -> CancellationBudget {
        let left = cancel.0.saturating_sub(worker_lease.plus_drift().0 + ROUND_ALLOWANCE.0);
        CancellationBudget {
            whole: cancel,
            reach: Micros(left).minus_drift().max(Micros(report.0 * LEAST_REACH_PERIODS)),
            worker_lease,
        }
    }

    /// The budget of these settings.
    pub fn of(settings: &Settings) -> CancellationBudget {
        CancellationBudget::new(settings.cancel, settings.worker_lease, settings.report)
    }

    /// The longest that a task can outlive the answer that its job is cancelled: the reach and the worker's lease, both on
    /// clocks that drift.
    pub fn longest(&self) -> Micros {
        self.reach.plus_drift() + self.worker_lease.plus_drift() + ROUND_ALLOWANCE
    }

    /// Whether that is within `cancel_s`.
    ///
    /// # Errors
    /// If it isn't: with the figures. A controller can run on such settings, but not keep `cancel_s`.
    pub fn check(&self) -> Result<(), CancellationBudgetError> {
        let needed = self.longest();
        if needed <= self.whole {
            return Ok(());
        }
        Err(CancellationBudgetError {
            whole: self.whole,
            worker_lease: self.worker_lease,
            reach: self.reach,
            needed,
        })
    }
}
