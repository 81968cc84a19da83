//! Quota: what each job may use of its team's limit, which work lies within its team's guarantee, and what may be
//! preempted for whom.
//!
//! - `ledger` keeps the teams' records as last seen and follows the writes to them.
//! - `allocation` works out the next change of a record.
//! - `allocation_notes` is the form of an entry in a record.
//! - `tier` holds the rules of fair share and preemption.
//!
//! Allocations are batched: a job is allotted room in its team's record before any of its tasks starts, and the room is
//! given back only when the tasks are known to be gone. They are kept by job, not by controller: when a job changes its
//! leader its allocation goes along. The record also says in which order a team's jobs came, so that all controllers
//! agree on which lie within the guarantee, and for which job others are to leave room.
//!
//! Each controller writes for the jobs that it leads, by compare-and-swap. It must never let a job start more than the
//! least that any write which may yet be applied leaves it.

mod allocation;
mod allocation_notes;
mod ledger;
pub mod tier;

pub use allocation::{AllocationInput, AllocationWrite, QuotaNeed};
pub use ledger::{QuotaLedger, TeamUsage};

use crate::units::Resources;

/// What a team or job without a limit may use: so much that sums of it don't overflow.
const UNLIMITED: i64 = i64::MAX / 4;

/// `from` without `taken`. Memory is not limited.
fn remaining(from: Resources, taken: Resources) -> Resources {
    Resources { memory: UNLIMITED, ..from - taken }
}

fn sum<'a>(allocations: impl Iterator<Item = &'a Resources>) -> Resources {
    allocations.fold(Resources::default(), |sum, allocation| sum + *allocation)
}

#[cfg(test)]
mod tests;
