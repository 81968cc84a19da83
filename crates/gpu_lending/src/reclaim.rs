//! When serving beyond its team's guarantee goes, so that a lender that is short gets its GPUs.
//!
//! Replica by replica, the latest first, and no more than the lender lacks. A replica is left alone for a least stay, and a
//! lack counts once it has lasted for a while: that is what keeps room from swinging to and fro.

use crate::Amount;
use crate::ledger::{Ledger, State};
use std::collections::BTreeMap;

/// What operators set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A replica that was taken for is not moved for so long, in microseconds.
    pub stay_us: u64,
    /// A lack counts once it has lasted for so long, in microseconds.
    pub burst_us: u64,
}

/// What work within a team's guarantee lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// How much.
    pub room: Amount,
    /// Since when, in microseconds.
    pub since_us: u64,
}

/// The borrowing team: what it uses, all told, and its guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Borrower {
    /// Thousandths of GPUs in use.
    pub used: i64,
    /// Thousandths of GPUs guaranteed.
    pub guarantee: i64,
}

/// What stands on a loan: which of the borrower's jobs has how many replicas there, and what each takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoanStanding {
    /// How many.
    pub replicas: u32,
    /// Thousandths of GPUs each.
    pub each: i64,
    /// Whether the job is within its team's guarantee.
    pub within: bool,
}

/// The loans that are to be given back now: their replicas stop. Never takes the borrower below its guarantee, and never
/// gives a lender more than it lacks beyond the replica with which that is covered. All loans of a machine and job go together.
#[must_use]
pub fn give_back(
    now_us: u64,
    terms: Terms,
    ledger: &Ledger,
    borrower: Borrower,
    lacks: &BTreeMap<String, Shortfall>,
    stands: impl Fn(&str, &str) -> LoanStanding,
) -> Vec<u64> {
    let mut left = borrower.used;
    let mut coming: BTreeMap<&str, i64> = BTreeMap::new();
    for l in ledger.loans.iter().filter(|l| l.state == State::Returning) {
        *coming.entry(&l.lender).or_default() += l.gpus;
    }
    let mut out: Vec<u64> = Vec::new();
    // The latest first: what has served for long is left where its callers know it.
    let mut held: Vec<_> = ledger.loans.iter().filter(|l| l.state == State::Held).collect();
    held.sort_by_key(|l| (std::cmp::Reverse(l.since_us), l.id));
    for l in held {
        if out.contains(&l.id) {
            continue;
        }
        let Some(lack) = lacks.get(&l.lender) else { continue };
        let long = now_us.saturating_sub(lack.since_us) >= terms.burst_us;
        let stayed = now_us.saturating_sub(l.since_us) >= terms.stay_us;
        if !long || !stayed || coming.get(l.lender.as_str()).copied().unwrap_or(0) >= lack.room.gpus {
            continue;
        }
        let s = stands(&l.job, &l.machine);
        let goes = i64::from(s.replicas) * s.each;
        // Guards the borrower's own guarantee: what is within it stays.
        if s.within || (borrower.guarantee > 0 && left - goes < borrower.guarantee) {
            continue;
        }
        left -= goes;
        let all = ledger
            .loans
            .iter()
            .filter(|o| o.job == l.job && o.machine == l.machine && o.state == State::Held);
        for o in all {
            *coming.entry(&o.lender).or_default() += o.gpus;
            out.push(o.id);
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger::Loan;

    fn loan(id: u64, machine: &str, since_s: u64, state: State) -> Loan {
        Loan {
            id,
            job: "wk-1".into(),
            lender: "vision".into(),
            from: "wk-9".into(),
            tasks: vec![(0, id)],
            gpus: 4000,
            cpus: 0,
            memory: 0,
            replicas: 1,
            hold: (4000, 0, 0),
            machine: machine.into(),
            since_us: since_s * 1_000_000,
            state,
        }
    }

    #[test]
    fn replica_by_replica_and_never_below_the_guarantee() {
        let s = |n: u64| n * 1_000_000;
        let loans =
            vec![loan(1, "a", 10, State::Held), loan(2, "b", 20, State::Held), loan(3, "c", 30, State::Held)];
        let ledger = Ledger { loans, ..Ledger::default() };
        let terms = Terms { stay_us: s(60), burst_us: s(10) };
        let lack = |gpus: i64| {
            let room = Amount { gpus, ..Amount::default() };
            BTreeMap::from([("vision".to_owned(), Shortfall { room, since_us: s(100) })])
        };
        let stands = |_: &str, _: &str| LoanStanding { replicas: 1, each: 4000, within: false };
        let much = Borrower { used: 20_000, guarantee: 8_000 };
        let back = |now, b, lacks: &BTreeMap<_, _>, l: &Ledger| give_back(now, terms, l, b, lacks, stands);
        assert_eq!(back(s(200), much, &lack(4000), &ledger), [3]);
        assert_eq!(back(s(200), much, &lack(5000), &ledger), [3, 2]);
        assert_eq!(back(s(200), much, &lack(90_000), &ledger), [3, 2, 1]);
        assert_eq!(
            back(s(200), Borrower { used: 13_000, ..much }, &lack(90_000), &ledger),
            [3],
            "not below the guarantee"
        );
        assert!(back(s(105), much, &lack(4000), &ledger).is_empty(), "a short burst is waited out");
        let late = BTreeMap::from([("vision".to_owned(), Shortfall { since_us: 0, ..lack(9000)["vision"] })]);
        assert_eq!(back(s(81), much, &late, &ledger), [2, 1], "the third came a short time ago");
        let mut coming = ledger.clone();
        coming.loans[2].state = State::Returning;
        assert!(back(s(200), much, &lack(4000), &coming).is_empty(), "it is on its way");
        let within = |_: &str, _: &str| LoanStanding { replicas: 1, each: 4000, within: true };
        assert!(give_back(s(200), terms, &ledger, much, &lack(4000), within).is_empty());
    }
}
