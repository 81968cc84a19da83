//! GPU loans: reads and changes the teams' loan ledgers, and exchanges lending offers with the other leaders.
//!
//! One list request reads all ledgers about once a second, so that they are read together. Each change is
//! conditional on the epoch record and on the versions of all ledgers, and a claim is stored before any task
//! is stopped for it.

use super::*;
use crate::config::operators::LoanTerms;
use hazelsaddle_coordination::record::{CoordinationRecord, Key, Kind as RecordKind};
use hazelsaddle_gpu_lending::ledger::{Ledger, Loan, LoanState};

/// The first format version in which controllers exchange lending offers.
pub(super) const LENDING_FORMAT_VERSION: u64 = 4;
/// Time between two reads of the ledgers.
const LEDGER_READ_PERIOD: Micros = Micros::from_millis(1000);
/// A read without a response is repeated after this time.
const READ_TIMEOUT: Micros = Micros::from_millis(4000);

/// The purpose of a request to the state store.
#[derive(Clone, Debug)]
pub(super) enum PendingLoanRequest {
    /// Reads all ledgers: the epoch, and when the request was sent.
    List(u64, Micros),
    /// Changes a team's ledger: the epoch, the team, and the new record.
    Change(u64, String, Box<CoordinationRecord>),
}

/// The loan ledgers as read by this controller.
#[derive(Default)]
pub(super) struct Loans {
    /// By team: the record, its ledger, and its store version.
    ledgers: BTreeMap<String, (CoordinationRecord, Ledger, u64)>,
    /// Unreadable ledgers and the reasons. Nothing is claimed while there are any.
    unreadable: BTreeMap<String, String>,
    /// Whether the ledgers have been read in this epoch and are current.
    are_ledgers_current: bool,
    read_requested_at: Option<Micros>,
    is_change_in_flight: bool,
    next_read_at: Micros,
    next_offer_at: Micros,
    next_change_check_at: Micros,
}

impl Controller {
    /// Called for a new epoch: all ledgers are read again.
    pub(super) fn reset_loans(&mut self) {
        self.loans = Loans::default();
    }

    /// Reads the ledgers, enforces them, and makes those changes that are up to this controller.
    pub(super) fn reconcile_loans(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let Some(terms) = self.settings.operators.loans.clone() else { return };
        if now >= self.loans.next_offer_at {
            self.loans.next_offer_at = now + LEDGER_READ_PERIOD;
            self.job_shard.note_gpu_shortfalls(now);
            let offer = self.job_shard.lending_offer(now, self.rounds.wall);
            for peer in self.membership.members.clone() {
                // A process of an older version would close the connection.
                if peer != self.settings.me && self.can_read_format(peer, LENDING_FORMAT_VERSION) {
                    self.send(now, peer, Message::Lending(offer.clone()), out);
                }
            }
        }
        self.job_shard.enforce_loans(now);
        if now < self.state_store.paused_until {
            return;
        }
        let is_overdue =
            self.loans.read_requested_at.is_some_and(|asked_at| now.since(asked_at) >= READ_TIMEOUT);
        if (self.loans.read_requested_at.is_none() || is_overdue)
            && now >= self.loans.next_read_at
            && !self.loans.is_change_in_flight
            && self.state_store.request_limiter.take(now, 1.0, 0.2)
        {
            (self.loans.read_requested_at, self.loans.next_read_at) = (Some(now), now + LEDGER_READ_PERIOD);
            let list = StoreRequest::List(RecordKind::Loan.prefix(), String::new());
            self.send_store_request(
                PendingStoreRequest::Lending(PendingLoanRequest::List(self.membership.epoch, now)),
                list,
                out,
            );
        }
        if !self.loans.are_ledgers_current
            || self.loans.is_change_in_flight
            || now < self.loans.next_change_check_at
        {
            return;
        }
        self.loans.next_change_check_at = now + Micros::from_millis(300);
        if let Some((team, next)) = self.next_ledger_change(now, &terms) {
            self.write_ledger(now, &team, next, out);
        }
    }

    /// The next ledger change that is up to this controller.
    fn next_ledger_change(&self, now: Micros, terms: &LoanTerms) -> Option<(String, Ledger)> {
        let (wall, membership) = (self.rounds.wall, &self.membership);
        for (team, (_, ledger, _)) in &self.loans.ledgers {
            let advanced =
                ledger.advance(wall.0, terms.back.0, |loan| self.job_shard.loan_facts(loan, membership));
            let next = advanced.or_else(|| {
                let due = self.job_shard.loans_to_return(now, wall, team, ledger, membership, &self.quota);
                ledger.begin_return(wall.0, &due)
            });
            if let Some(next) = next {
                return Some((team.clone(), next));
            }
        }
        if !self.loans.unreadable.is_empty() {
            return None;
        }
        let proposal = self.job_shard.propose_loan(now, wall, membership, &self.quota)?;
        let none = Ledger::default();
        let mut next = self.loans.ledgers.get(&proposal.team).map_or(&none, |(_, ledger, _)| ledger).clone();
        let others: Vec<&Ledger> = self
            .loans
            .ledgers
            .iter()
            .filter(|(name, _)| **name != proposal.team)
            .map(|(_, (_, ledger, _))| ledger)
            .collect();
        // A little less than the maximum length of a value, since the record also has a header.
        let max_bytes = self.settings.value_bytes.saturating_sub(100);
        let mut has_claim = false;
        for claim in &proposal.claims {
            match next.claim(wall.0, &proposal.job, proposal.missing_replicas, claim, &others, max_bytes) {
                Ok(ledger) => (next, has_claim) = (ledger, true),
                Err(why) => {
                    tracing::info!(job = %proposal.job, machine = %claim.machine, %why, "no loan");
                    break;
                }
            }
        }
        has_claim.then_some((proposal.team, next))
    }

    fn write_ledger(&mut self, now: Micros, team: &str, next: Ledger, out: &mut Vec<Effect>) {
        let Ok(key) = Key::new(RecordKind::Loan, team) else { return };
        if !self.membership.is_leader(now) || self.loans.unreadable.contains_key(team) {
            return;
        }
        let body = next.body();
        let record = match self.loans.ledgers.get(team) {
            Some((record, ..)) => CoordinationRecord { body, ..record.clone() },
            None => CoordinationRecord::open(1, body),
        };
        if record.to_value().to_string().len() > self.settings.value_bytes
            || !self.state_store.write_limiter.take(now, 1.0, 0.2)
        {
            return;
        }
        let mut conditions = vec![self.fencing_condition()];
        if !self.loans.ledgers.contains_key(team) {
            conditions.push((key.head_key(), 0));
        }
        for (name, (_, _, store_version)) in &self.loans.ledgers {
            if let Ok(key) = Key::new(RecordKind::Loan, name) {
                conditions.push((key.head_key(), *store_version));
            }
        }
        let transaction = Transaction {
            conditions,
            puts: vec![(key.head_key(), record.to_value(), None)],
            deletes: Vec::new(),
        };
        self.loans.is_change_in_flight = true;
        let purpose = PendingLoanRequest::Change(self.membership.epoch, team.to_owned(), Box::new(record));
        self.send_store_request(
            PendingStoreRequest::Lending(purpose),
            StoreRequest::Transaction(transaction),
            out,
        );
    }

    /// Applies a response of the state store.
    pub(super) fn apply_loan_answer(
        &mut self,
        now: Micros,
        pending: PendingLoanRequest,
        answer: StoreAnswer,
    ) {
        match pending {
            PendingLoanRequest::List(epoch, sent) if epoch == self.membership.epoch => {
                if self.loans.read_requested_at != Some(sent) {
                    return;
                }
                self.loans.read_requested_at = None;
                // Ignored if a change is in flight or was made since: the read would not include it.
                if let (StoreAnswer::Page(rows, _), false) = (answer, self.loans.is_change_in_flight) {
                    self.apply_ledgers_read(sent, rows);
                }
            }
            PendingLoanRequest::Change(epoch, team, record) if epoch == self.membership.epoch => {
                self.loans.is_change_in_flight = false;
                // The next read shows the outcome; a read already in flight began too early.
                (self.loans.read_requested_at, self.loans.next_read_at) = (None, now);
                match answer {
                    StoreAnswer::Committed(store_version) => {
                        let Ok(next) = Ledger::read(&record.body) else { return };
                        let before =
                            self.loans.ledgers.get(&team).map_or(&[][..], |(_, ledger, _)| &ledger.loans);
                        log_loan_changes(&team, before, &next.loans);
                        self.loans.ledgers.insert(team, (*record, next, store_version));
                        self.publish_ledgers(now);
                    }
                    // The ledgers held here are out of date, or may be.
                    _ => self.loans.are_ledgers_current = false,
                }
            }
            // Responses of an earlier epoch.
            PendingLoanRequest::List(..) | PendingLoanRequest::Change(..) => {}
        }
    }

    fn apply_ledgers_read(&mut self, sent: Micros, rows: Vec<KeyValue>) {
        let mut ledgers = BTreeMap::new();
        let mut unreadable = BTreeMap::new();
        for row in rows {
            let Some(key) = Key::parse(&row.key) else { continue };
            let team = key.name().to_owned();
            let record = CoordinationRecord::read(&row.value).map_err(|error| error.to_string());
            match record.and_then(|record| {
                Ledger::read(&record.body).map(|ledger| (record, ledger)).map_err(|error| error.to_string())
            }) {
                Ok((record, ledger)) => {
                    ledgers.insert(team, (record, ledger, row.store_version));
                }
                Err(why) => {
                    if !self.loans.unreadable.contains_key(&team) {
                        tracing::error!(team, why, "unreadable ledger: nothing is lent meanwhile");
                    }
                    unreadable.insert(team, why);
                }
            }
        }
        (self.loans.ledgers, self.loans.unreadable, self.loans.are_ledgers_current) =
            (ledgers, unreadable, true);
        self.publish_ledgers(sent);
    }

    fn publish_ledgers(&mut self, sent: Micros) {
        let ledgers =
            self.loans.ledgers.iter().map(|(team, (_, ledger, _))| (team.clone(), ledger.clone())).collect();
        self.job_shard.apply_ledgers(sent, ledgers);
    }

    /// The loans with lender, borrower and due time, for operators.
    pub(super) fn loan_status(&self) -> Value {
        let Some(terms) = &self.settings.operators.loans else { return json!({"on": false}) };
        let all = self
            .loans
            .ledgers
            .iter()
            .flat_map(|(team, (_, ledger, _))| ledger.loans.iter().map(move |loan| (team, loan)));
        let loans: Vec<Value> = all
            .map(|(team, loan)| {
                let for_s = self.rounds.wall.0.saturating_sub(loan.since_us) / 1_000_000;
                json!({
                    "id": loan.id, "borrower": team, "job": loan.job, "lender": loan.lender, "from": loan.from,
                    "machine": loan.machine, "gpus": loan.gpus as f64 / 1000.0, "cpus": loan.cpus as f64 / 1000.0,
                    "state": loan.state, "for_s": for_s, "due_back": due_back_text(loan, terms, self.rounds.wall),
                })
            })
            .collect();
        json!({"on": true, "borrowers": terms.borrowers, "read": self.loans.are_ledgers_current, "loans": loans,
            "unreadable": self.loans.unreadable})
    }
}

/// When a loan is due back, in words.
fn due_back_text(loan: &Loan, terms: &LoanTerms, wall: Micros) -> String {
    let remaining_s = |duration_us: u64| (loan.since_us + duration_us).saturating_sub(wall.0) / 1_000_000;
    match loan.state {
        LoanState::Taking => "not yet in use".into(),
        LoanState::Held if remaining_s(terms.stay.0) > 0 => {
            format!("with the replica, or from {} s on if the lender is short", remaining_s(terms.stay.0))
        }
        LoanState::Held => "with the replica, or once the lender is short".into(),
        LoanState::Returning => format!("now; kept for the lender for {} s more", remaining_s(terms.back.0)),
    }
}

/// Logs the loans that a ledger change has changed.
fn log_loan_changes(team: &str, before: &[Loan], after: &[Loan]) {
    for loan in after {
        let previous_state = before.iter().find(|earlier| earlier.id == loan.id).map(|earlier| earlier.state);
        if previous_state != Some(loan.state) {
            tracing::info!(loan = loan.id, borrower = team, job = %loan.job, lender = %loan.lender, from = %loan.from,
                machine = %loan.machine, gpus = loan.gpus as f64 / 1000.0, state = ?loan.state, "loan");
        }
    }
    for loan in before.iter().filter(|earlier| after.iter().all(|later| later.id != earlier.id)) {
        tracing::info!(loan = loan.id, borrower = team, lender = %loan.lender, from = %loan.from, machine = %loan.machine,
            "loan is over");
    }
}
