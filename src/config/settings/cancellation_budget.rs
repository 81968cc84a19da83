//! The time budget from the answer that a job is cancelled until its last task has ended.
//!
//! See `docs/design.md`, "A budget of time", for each step and why it is bounded.

use super::Settings;
use crate::units::Micros;

/// Allowance for polling intervals: a worker checks the expiry of its lease, and a machine leader its timers, only once
/// per round of its main loop.
const POLLING_ALLOWANCE: Micros = Micros::from_millis(1000);
/// Least value of [`CancellationBudget::leader_silence_limit`], in heartbeat intervals: one lost message and a short pause
/// must not cost machines their leases.
const MIN_LEADER_SILENCE_INTERVALS: u64 = 2;

/// How `cancel_s` is divided between the steps of a cancellation in a network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancellationBudget {
    /// `cancel_s`: the total.
    pub total: Micros,
    /// How long a machine leader goes on answering the machine's heartbeats while it gets no messages from the leaders of
    /// its tasks' jobs, by the machine leader's clock. The only part that can be chosen: it gets what the others leave.
    pub leader_silence_limit: Micros,
    /// `lease_s`: from the sending of the last heartbeat that was answered until the worker ends its tasks, by the
    /// worker's clock.
    pub worker_lease: Micros,
}

/// With these settings `cancel_s` can't be held while a machine leader is partitioned from a job leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "settings.workers.cancel_s: {} s can't be held when controllers lose sight of one another: lease_s {} s and \
    the least time for that, {} s, add up to {} s",
    total.as_secs(), worker_lease.as_secs(), leader_silence_limit.as_secs(), needed.as_secs()
)]
pub struct CancellationBudgetError {
    /// `cancel_s`.
    pub total: Micros,
    /// `lease_s`.
    pub worker_lease: Micros,
    /// See [`CancellationBudget::leader_silence_limit`].
    pub leader_silence_limit: Micros,
    /// The sum of all steps.
    pub needed: Micros,
}

impl CancellationBudget {
    /// Divides `cancel_s`; `report` is the heartbeat interval. If the worker's lease leaves too little, the leader silence
    /// limit gets its minimum, and [`CancellationBudget::check`] fails.
    pub fn new(cancel: Micros, worker_lease: Micros, report: Micros) -> CancellationBudget {
        let left = cancel.0.saturating_sub(worker_lease.plus_drift().0 + POLLING_ALLOWANCE.0);
        CancellationBudget {
            total: cancel,
            leader_silence_limit: Micros(left)
                .minus_drift()
                .max(Micros(report.0 * MIN_LEADER_SILENCE_INTERVALS)),
            worker_lease,
        }
    }

    /// The budget of these settings.
    pub fn from_settings(settings: &Settings) -> CancellationBudget {
        CancellationBudget::new(settings.cancel, settings.worker_lease, settings.report)
    }

    /// The longest time that a task can run on after the answer that its job is cancelled: the leader silence limit and
    /// the worker's lease, both lengthened by the clock drift allowed for.
    pub fn max_time_to_stop(&self) -> Micros {
        self.leader_silence_limit.plus_drift() + self.worker_lease.plus_drift() + POLLING_ALLOWANCE
    }

    /// Checks that this time is within `cancel_s`.
    ///
    /// # Errors
    /// The figures, if it isn't. A controller can run with such settings, but may miss `cancel_s`.
    pub fn check(&self) -> Result<(), CancellationBudgetError> {
        let needed = self.max_time_to_stop();
        if needed <= self.total {
            return Ok(());
        }
        Err(CancellationBudgetError {
            total: self.total,
            worker_lease: self.worker_lease,
            leader_silence_limit: self.leader_silence_limit,
            needed,
        })
    }
}
