//! Quota: how much of its team's limit each job may use, which jobs are within their team's guarantee, and which tasks
//! may be preempted for which work.
//!
//! - `ledger` caches the teams' records and tracks the writes to them.
//! - `allocation` computes the next change of a record.
//! - `allocation_write` is such a change, as it is written.
//! - `allocation_notes` is the format of an entry in a record.
//! - `record_pages` splits a record over several values of the state store.
//! - `tier` has the rules of fair share and preemption.
//!
//! A team's record in the state store holds the allocations of its jobs. Resources are allocated to a job before
//! any of its tasks starts, and are released only when the tasks are known to be gone. Allocations belong to jobs,
//! not to controllers, so they stay valid when a job changes its leader. The record also holds the order in which the
//! jobs were accepted, so that all controllers agree on which jobs are within the guarantee, and the requests of jobs
//! for which other controllers must leave resources free.
//!
//! Each controller changes the entries of the jobs that it leads, by compare-and-swap. It must never let a job use more
//! than the smallest allocation that the record and any write that may still be applied leave it.

mod allocation;
mod allocation_notes;
mod allocation_write;
mod ledger;
mod record_pages;
pub mod tier;

pub use allocation::{AllocationInput, QuotaNeed};
pub use allocation_write::{AllocationWrite, QuotaPageWrite};
pub use ledger::{QuotaLedger, TeamUsage};

use crate::units::Resources;

/// The limit of a team without one. Small enough that sums of it don't overflow.
const UNLIMITED: i64 = i64::MAX / 4;

/// `from` minus `taken`, with unlimited memory, because quotas don't limit memory.
fn remaining(from: Resources, taken: Resources) -> Resources {
    Resources { memory: UNLIMITED, ..from - taken }
}

fn sum<'a>(allocations: impl Iterator<Item = &'a Resources>) -> Resources {
    allocations.fold(Resources::default(), |sum, allocation| sum + *allocation)
}

#[cfg(test)]
mod tests;
