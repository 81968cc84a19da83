//! The ledger of one borrowing team: the tasks that are preempted for its services. Each loan is recorded before any task is
//! stopped for it.
//!
//! A loan passes through the states `taking` (claimed: the leader of the lender's job may preempt the tasks), `held` (a replica
//! runs on the machine) and `returning` (the resources are reserved for the lender's job), and is then removed. It never
//! returns to an earlier state. Every change increments the fence and must be written on condition that neither this record
//! nor the other teams' ledgers have changed since they were read.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// How long a loan may stay in the state `taking` before the claim is abandoned, in seconds.
pub const CLAIM_TIMEOUT_S: u64 = 60;

/// The state of a loan. It only moves forward, in the order of the variants.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "lowercase")]
pub enum LoanState {
    /// The claim is recorded; the tasks that it names may be stopped.
    Taking,
    /// A replica of the borrower runs on the machine.
    Held,
    /// The borrower gives the resources back: they are reserved for the lender's job.
    Returning,
}

/// Resources that one job lends on one machine. It is stored under its field names.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Its number, unique in this ledger and never reused.
    pub id: u64,
    /// The borrowing job, a service.
    pub job: String,
    /// The team that lends.
    pub lender: String,
    /// The lender's job, whose tasks are preempted.
    #[serde(default)]
    pub from: String,
    /// The preempted tasks, by index and attempt; later attempts of these tasks are not affected. A gang is always preempted
    /// as a whole.
    #[serde(default)]
    pub tasks: Vec<(u32, u64)>,
    /// GPUs that these tasks use on the machine, in thousandths.
    pub gpus: i64,
    /// Processors that these tasks use on the machine, in thousandths.
    pub cpus: i64,
    /// Memory that these tasks use on the machine, in thousandths of a gigabyte.
    #[serde(default)]
    pub memory: i64,
    /// How many replicas start on the machine; if several loans free resources for the same replicas, 0 on all but one.
    #[serde(default)]
    pub replicas: u32,
    /// The resources reserved for those replicas: GPUs, processors and gigabytes, in thousandths.
    #[serde(default)]
    pub hold: (i64, i64, i64),
    /// The machine.
    pub machine: String,
    /// When the present state began, by the wall clock, in microseconds since 1970.
    pub since_us: u64,
    /// The state.
    pub state: LoanState,
}

/// Why a ledger can't be decoded. As long as it can't, nothing is lent to its team.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ledger can't be read: {0}")]
pub struct UnreadableLedger(pub String);

/// Why a claim is rejected. The ledger is unchanged then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The recorded claims already cover the missing replicas. The numbers of replicas claimed and missing.
    #[error("{0} replicas are claimed for already, and {1} are missing")]
    AlreadyClaimed(u32, u32),
    /// This task, by job and index, is already lent.
    #[error("task {0}/{1} is lent already")]
    TaskAlreadyLent(String, u32),
    /// The record would exceed the value limit. Its length in bytes.
    #[error("the ledger would have {0} bytes")]
    TooLong(usize),
}

/// A claim of resources on one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The machine.
    pub machine: String,
    /// How many replicas are to start there.
    pub replicas: u32,
    /// The resources of one replica.
    pub resources_per_replica: crate::ResourceVector,
    /// The tasks to preempt there, by lending job.
    pub shares: Vec<LenderShare>,
}

/// The part of a claim that one job lends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderShare {
    /// The job's team.
    pub lender: String,
    /// The job.
    pub job: String,
    /// Its tasks on the machine, by index and attempt.
    pub tasks: Vec<(u32, u64)>,
    /// The resources that these tasks use.
    pub resources: crate::ResourceVector,
}

/// The facts about one loan that a controller has, in particular as the leader of the borrowing or of the lending job. A
/// fact that is None is unknown to this controller and causes no change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoanFacts {
    /// Whether the borrowing job has neither ended nor is being ended.
    pub is_borrower_live: Option<bool>,
    /// How many of its replicas are on the machine, including those that may have started there.
    pub replicas_on_machine: Option<u32>,
    /// How many of its replicas are not placed.
    pub unplaced_replicas: Option<u32>,
    /// Whether the machine is certainly gone.
    pub is_machine_gone: bool,
    /// Whether the leader of the lending job refuses to preempt it, because the job has come to be within its team's guarantee
    /// since it was offered.
    pub is_preemption_refused: bool,
    /// Whether tasks of the lending job are still unplaced; false if the job has ended.
    pub is_lender_short: Option<bool>,
}

/// A team's ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Incremented with every change.
    pub fence: u64,
    /// All loans, oldest first.
    pub loans: Vec<Loan>,
    /// The body's other fields, of no concern to loans; written back unchanged.
    pub other_fields: Map<String, Value>,
}

impl Ledger {
    /// Decodes a record's body.
    ///
    /// # Errors
    /// If it is malformed.
    pub fn read(body: &Value) -> Result<Ledger, UnreadableLedger> {
        let error = |reason: &str| UnreadableLedger(reason.to_owned());
        let mut other_fields = body.as_object().cloned().ok_or_else(|| error("it is no object"))?;
        let fence =
            other_fields.remove("fence").and_then(|fence| fence.as_u64()).ok_or_else(|| error("fence"))?;
        let loans = other_fields.remove("loans").ok_or_else(|| error("loans"))?;
        let loans = serde_json::from_value(loans).map_err(|e| UnreadableLedger(e.to_string()))?;
        Ok(Ledger { fence, loans, other_fields })
    }

    /// Encodes the record's body.
    #[must_use]
    pub fn body(&self) -> Value {
        let mut body = self.other_fields.clone();
        body.insert("fence".into(), json!(self.fence));
        body.insert("loans".into(), json!(self.loans));
        Value::Object(body)
    }

    /// Whether a loan names this task (index and attempt) of the job `from`.
    #[must_use]
    pub fn is_lent(&self, from: &str, task: (u32, u64)) -> bool {
        self.loans.iter().any(|loan| loan.from == from && loan.tasks.contains(&task))
    }

    /// How many replicas of a job are claimed and have not started yet.
    #[must_use]
    pub fn claimed_replicas(&self, job: &str) -> u32 {
        let claims = self.loans.iter().filter(|loan| loan.job == job && loan.state == LoanState::Taking);
        claims.map(|loan| loan.replicas).sum()
    }

    /// Claims resources for `job`, of which `missing` replicas are not placed. `others` are the other teams' ledgers; the
    /// result must be written on condition that they are unchanged too.
    ///
    /// # Errors
    /// If the recorded claims cover the missing replicas, if a task is already lent, or if the record would be longer than
    /// `value_limit` bytes.
    pub fn claim(
        &self,
        now_us: u64,
        job: &str,
        missing: u32,
        claim: &Claim,
        others: &[&Ledger],
        value_limit: usize,
    ) -> Result<Ledger, LedgerError> {
        // Prevents two controllers, successive leaders or ones with the same stale read, from each claiming resources for
        // the same replicas.
        let claimed = self.claimed_replicas(job);
        if claimed + claim.replicas.max(1) > missing {
            return Err(LedgerError::AlreadyClaimed(claimed, missing));
        }
        let mut next = self.clone();
        for (index, share) in claim.shares.iter().enumerate() {
            // Prevents the same task's resources from being lent twice.
            let is_lent = |task: &(u32, u64)| {
                next.is_lent(&share.job, *task) || others.iter().any(|other| other.is_lent(&share.job, *task))
            };
            if let Some(task) = share.tasks.iter().find(|task| is_lent(task)) {
                return Err(LedgerError::TaskAlreadyLent(share.job.clone(), task.0));
            }
            next.fence += 1;
            let replicas = if index == 0 { claim.replicas.max(1) } else { 0 };
            let for_all_replicas = |amount: i64| amount * i64::from(replicas);
            next.loans.push(Loan {
                id: next.fence,
                job: job.to_owned(),
                lender: share.lender.clone(),
                from: share.job.clone(),
                tasks: share.tasks.clone(),
                gpus: share.resources.gpus,
                cpus: share.resources.cpus,
                memory: share.resources.memory,
                replicas,
                hold: (
                    for_all_replicas(claim.resources_per_replica.gpus),
                    for_all_replicas(claim.resources_per_replica.cpus),
                    for_all_replicas(claim.resources_per_replica.memory),
                ),
                machine: claim.machine.clone(),
                since_us: now_us,
                state: LoanState::Taking,
            });
        }
        let length = next.body().to_string().len();
        if length > value_limit { Err(LedgerError::TooLong(length)) } else { Ok(next) }
    }

    /// Moves each loan to the state that the facts allow, and removes loans that have ended. `back_us`: how long resources are
    /// reserved for a lender. None if nothing changes. Every loan ends: a claim after [`CLAIM_TIMEOUT_S`], a return after
    /// `back_us`, and a held loan with its replica, its job or its machine.
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
        next.with_next_fence_if_changed(self)
    }

    /// Moves these loans to the state `returning`, even if a replica still runs on the machine. None if nothing changes.
    #[must_use]
    pub fn begin_return(&self, now_us: u64, ids: &[u64]) -> Option<Ledger> {
        let mut next = self.clone();
        let is_due = |loan: &&mut Loan| ids.contains(&loan.id) && loan.state < LoanState::Returning;
        for loan in next.loans.iter_mut().filter(is_due) {
            (loan.state, loan.since_us) = (LoanState::Returning, now_us);
        }
        next.with_next_fence_if_changed(self)
    }

    /// This ledger with the next fence; None if its loans equal those of `before`.
    fn with_next_fence_if_changed(mut self, before: &Ledger) -> Option<Ledger> {
        let is_changed = self.loans != before.loans;
        self.fence = before.fence + 1;
        is_changed.then_some(self)
    }
}

impl Loan {
    /// The state that follows from the facts; None if the loan has ended.
    fn next_state(&self, now_us: u64, back_us: u64, facts: LoanFacts) -> Option<LoanState> {
        let age_us = now_us.saturating_sub(self.since_us);
        let has_ended = facts.is_borrower_live == Some(false);
        match self.state {
            // A machine that is gone has no resources to return.
            _ if facts.is_machine_gone => None,
            LoanState::Taking if facts.is_preemption_refused => None,
            LoanState::Taking
                if facts.is_borrower_live == Some(true)
                    && facts.replicas_on_machine.is_some_and(|replicas| replicas > 0) =>
            {
                Some(LoanState::Held)
            }
            // Bounds the lifetime of a claim: no replica is missing any more, or none has started within the timeout.
            LoanState::Taking
                if has_ended
                    || facts.unplaced_replicas == Some(0)
                    || age_us > CLAIM_TIMEOUT_S * 1_000_000 =>
            {
                Some(LoanState::Returning)
            }
            LoanState::Held if has_ended || facts.replicas_on_machine == Some(0) => {
                Some(LoanState::Returning)
            }
            // The lender needs no more resources, or the reservation for it has expired.
            LoanState::Returning if facts.is_lender_short == Some(false) || age_us > back_us => None,
            state => Some(state),
        }
    }
}

#[cfg(test)]
mod tests;
