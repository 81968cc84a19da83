//! The ledger of one borrowing team: what was taken for which of its jobs, on record before anything is stopped.
//!
//! A loan goes `taking` (claimed; the lender's owner may stop those tasks now), `held` (a replica stands there), `returning`
//! (the room is kept for the lender's job), and then it is dropped. It never goes back. Every change raises the fence and is
//! written on condition of the record's mark, and on those of the other teams' ledgers as read, which cost no change.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// A claim that shows no effect for so long is given up.
pub const TAKING_S: u64 = 60;

/// How far a loan has got. It only goes forward.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// On record; the tasks it names may be stopped.
    Taking,
    /// A replica of the borrower stands on the machine.
    Held,
    /// The borrower is done with it: the room is kept for the lender's job.
    Returning,
}

/// One job's room on one machine, lent.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Its number in this ledger, never used again.
    pub id: u64,
    /// The borrower: a service.
    pub job: String,
    /// The team that lends.
    pub lender: String,
    /// Its job whose tasks are stopped.
    #[serde(default)]
    pub from: String,
    /// Those tasks: number and attempt. A start that came later is not meant. A gang is always stopped whole.
    #[serde(default)]
    pub tasks: Vec<(u32, u64)>,
    /// Thousandths of GPUs that these tasks take there.
    pub gpus: i64,
    /// Thousandths of processors that they take there.
    pub cpus: i64,
    /// Thousandths of gigabytes that they take there.
    #[serde(default)]
    pub memory: i64,
    /// How many replicas come there for it; 0 on all but one of the loans that make room together.
    #[serde(default)]
    pub replicas: u32,
    /// Room that those replicas take: thousandths of GPUs, processors and gigabytes. It is kept for them.
    #[serde(default)]
    pub hold: (i64, i64, i64),
    /// The machine.
    pub machine: String,
    /// When the present state began, by the time of day, in microseconds.
    pub since_us: u64,
    /// How far it has got.
    pub state: State,
}

/// Why a ledger can't be used. What rests on it is held.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ledger can't be read: {0}")]
pub struct Unreadable(pub String);

/// Why a claim is refused. Nothing is changed then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// What is on record already covers the need.
    #[error("{0} replicas are claimed for already, and {1} are missing")]
    Enough(u32, u32),
    /// Somebody else has claimed that task.
    #[error("task {0}/{1} is lent already")]
    Lent(String, u32),
    /// The record has no room left.
    #[error("the ledger would have {0} bytes")]
    Full(usize),
}

/// What a claim asks for: room on one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The machine.
    pub machine: String,
    /// How many replicas come there.
    pub replicas: u32,
    /// What each takes.
    pub each: crate::Amount,
    /// What is stopped there, by lender's job.
    pub parts: Vec<Part>,
}

/// What one job gives up on the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its team.
    pub lender: String,
    /// The job.
    pub from: String,
    /// Its tasks there.
    pub tasks: Vec<(u32, u64)>,
    /// What they take.
    pub room: crate::Amount,
}

/// How things stand with one loan, as far as the one who looks knows. `None`: it does not know, and nothing is changed for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Whether the borrower is a live job that is not being ended.
    pub live: Option<bool>,
    /// How many of its replicas stand on the machine, asked for and in doubt included.
    pub there: Option<u32>,
    /// How many of its replicas have no place.
    pub missing: Option<u32>,
    /// Whether the machine is certainly gone.
    pub gone: bool,
    /// Whether the lender's job has come to lie within its team's guarantee since it was offered, and goes on: nothing of
    /// it is stopped.
    pub refused: bool,
    /// Whether the lender's job still lacks places; false also if it has ended.
    pub lender_lacks: Option<bool>,
}

/// The ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Rises with every change.
    pub fence: u64,
    /// All loans, oldest first.
    pub loans: Vec<Loan>,
    /// Members of the body that are others' business, such as drains' budgets: handed on untouched.
    pub rest: Map<String, Value>,
}

impl Ledger {
    /// Reads a record's body.
    ///
    /// # Errors
    /// If it is not of that form.
    pub fn read(body: &Value) -> Result<Ledger, Unreadable> {
        let wrong = |what: &str| Unreadable(what.to_owned());
        let mut rest = body.as_object().cloned().ok_or_else(|| wrong("it is no object"))?;
        let fence = rest.remove("fence").and_then(|f| f.as_u64()).ok_or_else(|| wrong("fence"))?;
        let loans = rest.remove("loans").ok_or_else(|| wrong("loans"))?;
        let loans = serde_json::from_value(loans).map_err(|e| Unreadable(e.to_string()))?;
        Ok(Ledger { fence, loans, rest })
    }

    /// The body to be written.
    #[must_use]
    pub fn body(&self) -> Value {
        let mut out = self.rest.clone();
        out.insert("fence".into(), json!(self.fence));
        out.insert("loans".into(), json!(self.loans));
        Value::Object(out)
    }

    /// Whether a task is lent, or about to be.
    #[must_use]
    pub fn lent(&self, from: &str, task: (u32, u64)) -> bool {
        self.loans.iter().any(|l| l.from == from && l.tasks.contains(&task))
    }

    /// Replicas of a job that claims without a replica are for.
    #[must_use]
    pub fn claimed(&self, job: &str) -> u32 {
        let open = self.loans.iter().filter(|l| l.job == job && l.state == State::Taking);
        open.map(|l| l.replicas).sum()
    }

    /// Claims room for `job`, of which `missing` replicas have no place. `others` are the other teams' ledgers; the write must
    /// be on condition of their marks too.
    ///
    /// # Errors
    /// If what is on record covers the need already, if a task is lent already, or if the record would be longer than `bytes`.
    pub fn claim(
        &self,
        now_us: u64,
        job: &str,
        missing: u32,
        claim: &Claim,
        others: &[&Ledger],
        bytes: usize,
    ) -> Result<Ledger, LedgerError> {
        // Guards against owners that follow on one another, or that read at the same time, each taking for the same need.
        let claimed = self.claimed(job);
        if claimed + claim.replicas.max(1) > missing {
            return Err(LedgerError::Enough(claimed, missing));
        }
        let mut next = self.clone();
        for (n, part) in claim.parts.iter().enumerate() {
            // Guards against one task's room being promised to two.
            let lent =
                |t: &(u32, u64)| next.lent(&part.from, *t) || others.iter().any(|l| l.lent(&part.from, *t));
            if let Some(t) = part.tasks.iter().find(|t| lent(t)) {
                return Err(LedgerError::Lent(part.from.clone(), t.0));
            }
            next.fence += 1;
            let replicas = if n == 0 { claim.replicas.max(1) } else { 0 };
            let of = |each: i64| each * i64::from(replicas);
            next.loans.push(Loan {
                id: next.fence,
                job: job.to_owned(),
                lender: part.lender.clone(),
                from: part.from.clone(),
                tasks: part.tasks.clone(),
                gpus: part.room.gpus,
                cpus: part.room.cpus,
                memory: part.room.memory,
                replicas,
                hold: (of(claim.each.gpus), of(claim.each.cpus), of(claim.each.memory)),
                machine: claim.machine.clone(),
                since_us: now_us,
                state: State::Taking,
            });
        }
        let long = next.body().to_string().len();
        if long > bytes { Err(LedgerError::Full(long)) } else { Ok(next) }
    }

    /// Moves each loan on as far as the facts tell, and drops what is over. `back_us`: for so long room is kept for a lender.
    /// None if nothing changes. Nothing lasts for ever: a claim ends after [`TAKING_S`], a return after `back_us`, and a held
    /// loan with the replica, the job, or the machine.
    #[must_use]
    pub fn tidy(&self, now_us: u64, back_us: u64, facts: impl Fn(&Loan) -> Facts) -> Option<Ledger> {
        let mut next = self.clone();
        next.loans = Vec::new();
        for l in &self.loans {
            let f = facts(l);
            let age = now_us.saturating_sub(l.since_us);
            let over = f.live == Some(false);
            let state = match l.state {
                // A machine that is gone has nothing to give back.
                _ if f.gone => None,
                State::Taking if f.refused => None,
                State::Taking if f.live == Some(true) && f.there.is_some_and(|n| n > 0) => Some(State::Held),
                // Guards against claims for ever: the need is over, or nothing came of it.
                State::Taking if over || f.missing == Some(0) || age > TAKING_S * 1_000_000 => {
                    Some(State::Returning)
                }
                State::Held if over || f.there == Some(0) => Some(State::Returning),
                // The lender has what it needs, or has had its time.
                State::Returning if f.lender_lacks == Some(false) || age > back_us => None,
                s => Some(s),
            };
            if let Some(state) = state {
                let since_us = if state == l.state { l.since_us } else { now_us };
                next.loans.push(Loan { state, since_us, ..l.clone() });
            }
        }
        next.raised(self)
    }

    /// Loans that are to be given back now, though a replica still stands there.
    #[must_use]
    pub fn give_back(&self, now_us: u64, ids: &[u64]) -> Option<Ledger> {
        let mut next = self.clone();
        for l in next.loans.iter_mut().filter(|l| ids.contains(&l.id) && l.state < State::Returning) {
            (l.state, l.since_us) = (State::Returning, now_us);
        }
        next.raised(self)
    }

    fn raised(mut self, before: &Ledger) -> Option<Ledger> {
        let changed = self.loans != before.loans;
        self.fence = before.fence + 1;
        changed.then_some(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Amount;

    fn claim(machine: &str, from: &str, task: u32) -> Claim {
        let room = Amount { gpus: 8000, cpus: 9000, memory: 1 };
        let part = Part { lender: "vision".into(), from: from.into(), tasks: vec![(task, 7)], room };
        Claim { machine: machine.into(), replicas: 1, each: room, parts: vec![part] }
    }

    #[test]
    fn what_is_on_record_covers_the_need_and_a_task_is_lent_once() {
        let l = Ledger::default().claim(5, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("free");
        let again = l.claim(6, "wk-1", 1, &claim("i-2", "wk-9", 1), &[], 4096);
        assert_eq!(again, Err(LedgerError::Enough(1, 1)));
        let twice = l.claim(6, "wk-1", 2, &claim("i-1", "wk-9", 0), &[], 4096);
        assert_eq!(twice, Err(LedgerError::Lent("wk-9".into(), 0)));
        let other = Ledger::default().claim(6, "wk-2", 2, &claim("i-1", "wk-9", 0), &[&l], 4096);
        assert_eq!(other, Err(LedgerError::Lent("wk-9".into(), 0)), "also in another team's ledger");
        assert!(l.claim(6, "wk-1", 2, &claim("i-2", "wk-9", 1), &[], 4096).is_ok());
        assert!(matches!(
            l.claim(6, "wk-1", 2, &claim("i-2", "wk-9", 1), &[], 300),
            Err(LedgerError::Full(_))
        ));
    }

    #[test]
    fn members_of_the_body_that_are_others_are_handed_on() {
        let body = json!({"fence": 3, "loans": [], "drains": {"budget": 2}});
        let l = Ledger::read(&body).expect("valid");
        assert_eq!(l.body(), body);
        let l = l.claim(5, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("free");
        assert_eq!((l.fence, l.body()["drains"]["budget"].as_u64()), (4, Some(2)));
        assert_eq!(Ledger::read(&l.body()), Ok(l));
        assert!(Ledger::read(&json!({"fence": 1, "loans": [{"id": 1}]})).is_err());
        assert!(Ledger::read(&json!([])).is_err());
    }

    #[test]
    fn a_loan_goes_forward_and_ends() {
        let fresh = Ledger::default().claim(0, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("free");
        let s = |n: u64| n * 1_000_000;
        let at = |l: &Ledger, now: u64, f: Facts| l.tidy(now, s(30), |_| f);
        let live = Facts { live: Some(true), there: Some(0), missing: Some(1), ..Facts::default() };
        assert_eq!(at(&fresh, s(10), live), None);
        assert!(at(&fresh, s(10), Facts { refused: true, ..live }).expect("moves").loans.is_empty());
        assert_eq!(
            at(&fresh, s(500), Facts { live: Some(true), ..live }).expect("moves").loans[0].state,
            State::Returning
        );
        let held = at(&fresh, s(20), Facts { there: Some(1), missing: Some(0), ..live }).expect("moves");
        assert_eq!((held.loans[0].state, held.loans[0].since_us, held.fence), (State::Held, s(20), 2));
        assert_eq!(at(&held, s(9000), Facts { there: Some(1), ..live }), None, "kept while it serves");
        assert_eq!(at(&held, s(21), Facts::default()), None, "nobody who knows has looked");
        let back = at(&held, s(90), Facts { there: Some(0), ..live }).expect("moves");
        assert_eq!(back.loans[0].state, State::Returning);
        let lacks = Facts { lender_lacks: Some(true), ..live };
        assert_eq!(at(&back, s(100), lacks), None, "kept for the lender");
        assert!(at(&back, s(121), lacks).expect("moves").loans.is_empty());
        assert!(
            at(&back, s(91), Facts { lender_lacks: Some(false), ..live }).expect("moves").loans.is_empty()
        );
        assert!(at(&held, s(91), Facts { gone: true, ..live }).expect("moves").loans.is_empty());
        assert_eq!(
            at(&held, s(91), Facts { live: Some(false), there: Some(1), ..live }).expect("moves").loans[0]
                .state,
            State::Returning
        );
    }
}
