//! Reclaim: decides when replicas beyond their team's guarantee must stop, because the lender of their GPUs is short of GPUs.
//!
//! Replicas are stopped one at a time, the most recently started first, and no more than cover the lender's shortfall. To keep
//! resources from moving back and forth, a replica is not stopped before a minimum stay, and a shortfall counts only after a
//! minimum duration.

use crate::ResourceVector;
use crate::ledger::{Ledger, Loan, LoanState};
use std::collections::BTreeMap;

/// The minimum durations before a loan is reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReclaimTerms {
    /// Minimum stay of a replica, in microseconds.
    pub min_stay_us: u64,
    /// Minimum duration of a lender's shortfall, in microseconds.
    pub min_shortfall_us: u64,
}

/// The resources that work within a team's guarantee is short of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// The resources.
    pub resources: ResourceVector,
    /// When the shortfall began, in microseconds since 1970.
    pub since_us: u64,
}

/// The borrowing team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Borrower {
    /// GPUs that the team uses in total, in thousandths.
    pub used_milligpus: i64,
    /// GPUs that are guaranteed to the team, in thousandths.
    pub guaranteed_milligpus: i64,
}

/// The replicas of a job on a machine with lent resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicasOnLoan {
    /// Number of replicas.
    pub replicas: u32,
    /// GPUs of one replica, in thousandths.
    pub milligpus_per_replica: i64,
    /// Whether the job is within its team's guarantee.
    pub within_guarantee: bool,
}

/// The ids of the loans whose replicas must stop now, so that their lenders get their GPUs back. The borrower never falls below
/// its guarantee, and reclaiming for a lender ends with the replica that covers its shortfall. All loans of a job on a machine
/// are reclaimed together. `replicas`: looks up the replicas of a job on a machine. `shortfalls`: by lending team.
#[must_use]
pub fn loans_to_reclaim(
    now_us: u64,
    terms: ReclaimTerms,
    ledger: &Ledger,
    borrower: Borrower,
    shortfalls: &BTreeMap<String, Shortfall>,
    replicas: impl Fn(&str, &str) -> ReplicasOnLoan,
) -> Vec<u64> {
    let mut used = borrower.used_milligpus;
    // GPUs being returned, in thousandths, by lending team.
    let mut returning: BTreeMap<&str, i64> = BTreeMap::new();
    for loan in ledger.loans.iter().filter(|loan| loan.state == LoanState::Returning) {
        *returning.entry(&loan.lender).or_default() += loan.gpus;
    }
    let mut reclaimed: Vec<u64> = Vec::new();
    // The most recently started first: clients of a replica that has run for long keep its address.
    let mut held: Vec<_> = ledger.loans.iter().filter(|loan| loan.state == LoanState::Held).collect();
    held.sort_by_key(|loan| (std::cmp::Reverse(loan.since_us), loan.id));
    for loan in held {
        if reclaimed.contains(&loan.id) {
            continue;
        }
        let Some(shortfall) = shortfalls.get(&loan.lender) else { continue };
        let is_covered =
            returning.get(loan.lender.as_str()).copied().unwrap_or(0) >= shortfall.resources.gpus;
        if !terms.can_reclaim(now_us, shortfall, loan) || is_covered {
            continue;
        }
        let on_loan = replicas(&loan.job, &loan.machine);
        let freed = i64::from(on_loan.replicas) * on_loan.milligpus_per_replica;
        // Protects the borrower's own guarantee.
        if on_loan.within_guarantee
            || (borrower.guaranteed_milligpus > 0 && used - freed < borrower.guaranteed_milligpus)
        {
            continue;
        }
        used -= freed;
        let is_of_same_replicas = |other: &&Loan| {
            other.job == loan.job && other.machine == loan.machine && other.state == LoanState::Held
        };
        for other in ledger.loans.iter().filter(is_of_same_replicas) {
            *returning.entry(&other.lender).or_default() += other.gpus;
            reclaimed.push(other.id);
        }
    }
    reclaimed
}

impl ReclaimTerms {
    /// Whether the shortfall has lasted, and the replica has stayed, for the minimum durations.
    fn can_reclaim(&self, now_us: u64, shortfall: &Shortfall, loan: &Loan) -> bool {
        now_us.saturating_sub(shortfall.since_us) >= self.min_shortfall_us
            && now_us.saturating_sub(loan.since_us) >= self.min_stay_us
    }
}

#[cfg(test)]
mod tests;
