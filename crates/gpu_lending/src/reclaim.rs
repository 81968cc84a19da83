//! Reclaim: when services beyond their team's guarantee stop, so that a lender that lacks GPUs gets them.
//!
//! Replica by replica, the latest first, and no more than the lender lacks. A replica is left alone for a least stay, and a
//! lack counts once it has lasted for a while, which keeps resources from swinging to and fro.

use crate::ResourceVector;
use crate::ledger::{Ledger, Loan, LoanState};
use std::collections::BTreeMap;

/// How long things must have lasted before a loan is reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReclaimTerms {
    /// Least stay of a replica, in microseconds.
    pub min_stay_us: u64,
    /// Least duration of a lack, in microseconds.
    pub min_shortfall_us: u64,
}

/// What work within a team's guarantee lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// How much.
    pub resources: ResourceVector,
    /// Since when, in microseconds.
    pub since_us: u64,
}

/// The borrowing team: what it uses in all, and its guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Borrower {
    /// Thousandths of GPUs in use.
    pub used_milligpus: i64,
    /// Thousandths of GPUs guaranteed.
    pub guaranteed_milligpus: i64,
}

/// The replicas that a job has on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicasOnLoan {
    /// How many.
    pub replicas: u32,
    /// Thousandths of GPUs each.
    pub milligpus_per_replica: i64,
    /// Whether the job is within its team's guarantee.
    pub within_guarantee: bool,
}

/// The loans whose replicas are to stop now, so that their lenders get their GPUs. Never takes the borrower below its
/// guarantee, and never gives a lender more than it lacks beyond the replica with which that is covered. All loans of a machine
/// and job go together. `replicas`: by job and machine.
#[must_use]
pub fn loans_to_reclaim(
    now_us: u64,
    terms: ReclaimTerms,
    ledger: &Ledger,
    borrower: Borrower,
    lacks: &BTreeMap<String, Shortfall>,
    replicas: impl Fn(&str, &str) -> ReplicasOnLoan,
) -> Vec<u64> {
    let mut used = borrower.used_milligpus;
    let mut returning: BTreeMap<&str, i64> = BTreeMap::new();
    for loan in ledger.loans.iter().filter(|loan| loan.state == LoanState::Returning) {
        *returning.entry(&loan.lender).or_default() += loan.gpus;
    }
    let mut reclaimed: Vec<u64> = Vec::new();
    // The latest first: what has served for long is left where its callers know it.
    let mut held: Vec<_> = ledger.loans.iter().filter(|loan| loan.state == LoanState::Held).collect();
    held.sort_by_key(|loan| (std::cmp::Reverse(loan.since_us), loan.id));
    for loan in held {
        if reclaimed.contains(&loan.id) {
            continue;
        }
        let Some(lack) = lacks.get(&loan.lender) else { continue };
        let is_covered = returning.get(loan.lender.as_str()).copied().unwrap_or(0) >= lack.resources.gpus;
        if !terms.allow(now_us, lack, loan) || is_covered {
            continue;
        }
        let on_loan = replicas(&loan.job, &loan.machine);
        let freed = i64::from(on_loan.replicas) * on_loan.milligpus_per_replica;
        // Guards the borrower's own guarantee: what is within it stays.
        if on_loan.within_guarantee
            || (borrower.guaranteed_milligpus > 0 && used - freed < borrower.guaranteed_milligpus)
        {
            continue;
        }
        used -= freed;
        let is_beside = |other: &&Loan| {
            other.job == loan.job && other.machine == loan.machine && other.state == LoanState::Held
        };
        for other in ledger.loans.iter().filter(is_beside) {
            *returning.entry(&other.lender).or_default() += other.gpus;
            reclaimed.push(other.id);
        }
    }
    reclaimed
}

impl ReclaimTerms {
    /// Whether the lack has lasted, and the replica stayed, for long enough.
    fn allow(&self, now_us: u64, lack: &Shortfall, loan: &Loan) -> bool {
        now_us.saturating_sub(lack.since_us) >= self.min_shortfall_us
            && now_us.saturating_sub(loan.since_us) >= self.min_stay_us
    }
}

#[cfg(test)]
mod tests;
