//! The ledger of one borrowing team: what is preempted for which of its jobs, on record before anything is stopped.
//!
//! A loan goes through `taking` (claimed: the leader of the lender's job may preempt those tasks now), `held` (a replica runs
//! there) and `returning` (the resources are reserved for the lender's job), and then it is dropped. It never goes back. Every
//! change raises the fence and is written on condition that neither this record nor the other teams' ledgers have changed
//! since they were read.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// A claim without effect is given up after so many seconds.
pub const TAKING_S: u64 = 60;

/// How far a loan has got. It only goes forward.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "lowercase")]
pub enum LoanState {
    /// On record; the tasks it names may be stopped.
    Taking,
    /// A replica of the borrower runs on the machine.
    Held,
    /// The borrower is done with it: the resources are reserved for the lender's job.
    Returning,
}

/// Resources that one job lends on one machine.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Its number in this ledger, never used again.
    pub id: u64,
    /// The borrower: a service.
    pub job: String,
    /// The team that lends.
    pub lender: String,
    /// The job whose tasks are preempted.
    #[serde(default)]
    pub from: String,
    /// Those tasks, by index and attempt: a later attempt is not meant. A gang is always preempted whole.
    #[serde(default)]
    pub tasks: Vec<(u32, u64)>,
    /// Thousandths of GPUs that these tasks take there.
    pub gpus: i64,
    /// Thousandths of processors that they take there.
    pub cpus: i64,
    /// Thousandths of gigabytes that they take there.
    #[serde(default)]
    pub memory: i64,
    /// How many replicas start there for it; 0 on all but one of the loans that make room together.
    #[serde(default)]
    pub replicas: u32,
    /// What those replicas take, reserved for them: thousandths of GPUs, processors and gigabytes.
    #[serde(default)]
    pub hold: (i64, i64, i64),
    /// The machine.
    pub machine: String,
    /// When the present state began, by the time of day, in microseconds.
    pub since_us: u64,
    /// How far it has got.
    pub state: LoanState,
}

/// Why a ledger can't be read. Nothing is lent on one that can't.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ledger can't be read: {0}")]
pub struct UnreadableLedger(pub String);

/// Why a claim is refused. Nothing is changed then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// What is on record already covers what is missing: replicas claimed, replicas missing.
    #[error("{0} replicas are claimed for already, and {1} are missing")]
    Enough(u32, u32),
    /// That task, by job and index, is claimed already.
    #[error("task {0}/{1} is lent already")]
    Lent(String, u32),
    /// The record would be too long, by its length in bytes.
    #[error("the ledger would have {0} bytes")]
    Full(usize),
}

/// A claim of resources on one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The machine.
    pub machine: String,
    /// How many replicas are to start there.
    pub replicas: u32,
    /// What each takes.
    pub each: crate::ResourceVector,
    /// What is preempted there, by lender's job.
    pub parts: Vec<LenderShare>,
}

/// What one job lends on the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderShare {
    /// Its team.
    pub lender: String,
    /// The job.
    pub from: String,
    /// Its tasks there.
    pub tasks: Vec<(u32, u64)>,
    /// What they take.
    pub room: crate::ResourceVector,
}

/// What a controller knows about one loan. `None`: it does not know, and nothing changes for that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoanFacts {
    /// Whether the borrower is a job that has not ended and is not being ended.
    pub is_borrower_live: Option<bool>,
    /// How many of its replicas are on the machine; those that may have started count.
    pub replicas_on_machine: Option<u32>,
    /// How many of its replicas are not placed.
    pub unplaced_replicas: Option<u32>,
    /// Whether the machine is certainly gone.
    pub is_machine_gone: bool,
    /// Whether the lender's job has come to be within its team's guarantee since it was offered: it is not preempted.
    pub is_preemption_refused: bool,
    /// Whether the lender's job still lacks places; false also if it has ended.
    pub is_lender_short: Option<bool>,
}

/// A team's ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Rises with every change.
    pub fence: u64,
    /// All loans, oldest first.
    pub loans: Vec<Loan>,
    /// Members of the body that are not loans: written again as they were read.
    pub rest: Map<String, Value>,
}

impl Ledger {
    /// Reads a record's body.
    ///
    /// # Errors
    /// If it is not of that form.
    pub fn read(body: &Value) -> Result<Ledger, UnreadableLedger> {
        let wrong = |what: &str| UnreadableLedger(what.to_owned());
        let mut rest = body.as_object().cloned().ok_or_else(|| wrong("it is no object"))?;
        let fence = rest.remove("fence").and_then(|f| f.as_u64()).ok_or_else(|| wrong("fence"))?;
        let loans = rest.remove("loans").ok_or_else(|| wrong("loans"))?;
        let loans = serde_json::from_value(loans).map_err(|e| UnreadableLedger(e.to_string()))?;
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

    /// Whether a task of the job `from` is lent, or about to be.
    #[must_use]
    pub fn is_lent(&self, from: &str, task: (u32, u64)) -> bool {
        self.loans.iter().any(|loan| loan.from == from && loan.tasks.contains(&task))
    }

    /// How many replicas of a job are claimed for and not yet there.
    #[must_use]
    pub fn claimed_replicas(&self, job: &str) -> u32 {
        let open = self.loans.iter().filter(|loan| loan.job == job && loan.state == LoanState::Taking);
        open.map(|loan| loan.replicas).sum()
    }

    /// Claims resources for `job`, of which `missing` replicas are not placed. `others` are the other teams' ledgers; the write
    /// must be on condition that they are unchanged too.
    ///
    /// # Errors
    /// If what is on record covers what is missing, if a task is lent already, or if the record would be longer than `bytes`.
    pub fn claim(
        &self,
        now_us: u64,
        job: &str,
        missing: u32,
        claim: &Claim,
        others: &[&Ledger],
        bytes: usize,
    ) -> Result<Ledger, LedgerError> {
        // Guards against leaders that follow one another, or that read at the same time, each claiming for the same replicas.
        let claimed = self.claimed_replicas(job);
        if claimed + claim.replicas.max(1) > missing {
            return Err(LedgerError::Enough(claimed, missing));
        }
        let mut next = self.clone();
        for (n, part) in claim.parts.iter().enumerate() {
            // Guards against promising one task's resources twice.
            let is_lent = |task: &(u32, u64)| {
                next.is_lent(&part.from, *task) || others.iter().any(|other| other.is_lent(&part.from, *task))
            };
            if let Some(task) = part.tasks.iter().find(|task| is_lent(task)) {
                return Err(LedgerError::Lent(part.from.clone(), task.0));
            }
            next.fence += 1;
            let replicas = if n == 0 { claim.replicas.max(1) } else { 0 };
            let for_all = |each: i64| each * i64::from(replicas);
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
                hold: (for_all(claim.each.gpus), for_all(claim.each.cpus), for_all(claim.each.memory)),
                machine: claim.machine.clone(),
                since_us: now_us,
                state: LoanState::Taking,
            });
        }
        let length = next.body().to_string().len();
        if length > bytes { Err(LedgerError::Full(length)) } else { Ok(next) }
    }

    /// Moves each loan on as far as the facts tell, and drops those that are over. `back_us`: how long resources are reserved
    /// for a lender. None if nothing changes. Nothing lasts for ever: a claim ends after [`TAKING_S`], a return after
    /// `back_us`, and a held loan with the replica, the job, or the machine.
    #[must_use]
    pub fn advance(&self, now_us: u64, back_us: u64, facts: impl Fn(&Loan) -> LoanFacts) -> Option<Ledger> {
        let mut next = self.clone();
        next.loans = Vec::new();
        for loan in &self.loans {
            if let Some(state) = loan.next_state(now_us, back_us, facts(loan)) {
                let since_us = if state == loan.state { loan.since_us } else { now_us };
                next.loans.push(Loan { state, since_us, ..loan.clone() });
            }
        }
        next.if_changed(self)
    }

    /// Begins to return these loans, though a replica still runs on them. None if nothing changes.
    #[must_use]
    pub fn begin_return(&self, now_us: u64, ids: &[u64]) -> Option<Ledger> {
        let mut next = self.clone();
        let is_due = |loan: &&mut Loan| ids.contains(&loan.id) && loan.state < LoanState::Returning;
        for loan in next.loans.iter_mut().filter(is_due) {
            (loan.state, loan.since_us) = (LoanState::Returning, now_us);
        }
        next.if_changed(self)
    }

    /// This ledger with the next fence, unless its loans are those of `before`.
    fn if_changed(mut self, before: &Ledger) -> Option<Ledger> {
        let is_changed = self.loans != before.loans;
        self.fence = before.fence + 1;
        is_changed.then_some(self)
    }
}

impl Loan {
    /// The state that follows from the facts; None: the loan is over.
    fn next_state(&self, now_us: u64, back_us: u64, facts: LoanFacts) -> Option<LoanState> {
        let age_us = now_us.saturating_sub(self.since_us);
        let has_ended = facts.is_borrower_live == Some(false);
        match self.state {
            // A machine that is gone has nothing to give back.
            _ if facts.is_machine_gone => None,
            LoanState::Taking if facts.is_preemption_refused => None,
            LoanState::Taking
                if facts.is_borrower_live == Some(true)
                    && facts.replicas_on_machine.is_some_and(|n| n > 0) =>
            {
                Some(LoanState::Held)
            }
            // Guards against claims for ever: nothing is missing any more, or nothing came of it.
            LoanState::Taking
                if has_ended || facts.unplaced_replicas == Some(0) || age_us > TAKING_S * 1_000_000 =>
            {
                Some(LoanState::Returning)
            }
            LoanState::Held if has_ended || facts.replicas_on_machine == Some(0) => {
                Some(LoanState::Returning)
            }
            // The lender has what it needs, or has had its time.
            LoanState::Returning if facts.is_lender_short == Some(false) || age_us > back_us => None,
            state => Some(state),
        }
    }
}

#[cfg(test)]
mod tests;
