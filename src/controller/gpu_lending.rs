//! Loans of GPUs at the edge of a controller: the teams' ledgers, read and changed, and what is sent to the other leaders.
//!
//! One list reads all ledgers about once a second, so that they are seen together. Each change is on condition of the epoch
//! record, of its own ledger's mark and of all the others', and a claim is on record before anything is stopped for it.

use super::*;
use crate::config::operators::LoanTerms;
use hazelsaddle_coordination::record::{CoordinationRecord, Key, Kind as Pact};
use hazelsaddle_gpu_lending::ledger::{Ledger, Loan, LoanState};

/// The form from which on controllers say what their jobs could lend.
pub(super) const FORM: u64 = 4;
/// Ledgers are read so often.
const READ: Micros = Micros::from_millis(1000);
/// A reading without an answer is repeated after so long.
const PATIENCE: Micros = Micros::from_millis(4000);

/// What a request to the state service was for.
#[derive(Clone, Debug)]
pub(super) enum PendingLoanRequest {
    /// Reading all ledgers: the epoch, and when the question went out.
    List(u64, Micros),
    /// A change of a team's ledger: the epoch, the team, and what it is to say.
    Change(u64, String, Box<CoordinationRecord>),
}

/// What this controller knows of ledgers.
#[derive(Default)]
pub(super) struct Loans {
    /// As read, with their marks.
    read: BTreeMap<String, (CoordinationRecord, Ledger, u64)>,
    /// Ledgers that can't be read, and why. Nothing is claimed meanwhile.
    unreadable: BTreeMap<String, String>,
    /// Whether they have been read in this epoch.
    known: bool,
    asked: Option<Micros>,
    changing: bool,
    next_read: Micros,
    next_told: Micros,
    next_look: Micros,
}

impl Controller {
    /// A new epoch: everything is read anew.
    pub(super) fn loans_anew(&mut self) {
        self.loans = Loans::default();
    }

    /// Reads the ledgers, obeys them, and changes them where that is this controller's business.
    pub(super) fn loan_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let Some(terms) = self.settings.operators.loans.clone() else { return };
        if now >= self.loans.next_told {
            self.loans.next_told = now + READ;
            self.job_shard.note_gpu_shortfalls(now);
            let told = self.job_shard.lending_offer(now, self.rounds.wall);
            for p in self.membership.members.clone() {
                // An older process would drop the link.
                if p != self.settings.me && self.reads(p, FORM) {
                    self.send(now, p, Message::Lending(told.clone()), out);
                }
            }
        }
        self.job_shard.enforce_loans(now);
        if now < self.state_store.paused_until {
            return;
        }
        let lost = self.loans.asked.is_some_and(|t| now.since(t) >= PATIENCE);
        if (self.loans.asked.is_none() || lost)
            && now >= self.loans.next_read
            && !self.loans.changing
            && self.state_store.request_limiter.take(now, 1.0, 0.2)
        {
            (self.loans.asked, self.loans.next_read) = (Some(now), now + READ);
            let list = StoreRequest::List(Pact::Loan.prefix(), String::new());
            self.ask_store(
                PendingStoreRequest::Lending(PendingLoanRequest::List(self.membership.epoch, now)),
                list,
                out,
            );
        }
        if !self.loans.known || self.loans.changing || now < self.loans.next_look {
            return;
        }
        self.loans.next_look = now + Micros::from_millis(300);
        if let Some((team, next)) = self.next_ledger(now, &terms) {
            self.change_ledger(now, &team, next, out);
        }
    }

    /// The next change that a ledger needs from us.
    fn next_ledger(&self, now: Micros, terms: &LoanTerms) -> Option<(String, Ledger)> {
        let (wall, m) = (self.rounds.wall, &self.membership);
        for (team, (_, ledger, _)) in &self.loans.read {
            let tidy = ledger.advance(wall.0, terms.back.0, |l| self.job_shard.loan_facts(l, m));
            let next = tidy.or_else(|| {
                let due = self.job_shard.loans_to_return(now, wall, team, ledger, m, &self.quota);
                ledger.begin_return(wall.0, &due)
            });
            if let Some(next) = next {
                return Some((team.clone(), next));
            }
        }
        if !self.loans.unreadable.is_empty() {
            return None;
        }
        let t = self.job_shard.propose_loan(now, wall, m, &self.quota)?;
        let none = Ledger::default();
        let mut next = self.loans.read.get(&t.team).map_or(&none, |(_, l, _)| l).clone();
        let others: Vec<&Ledger> =
            self.loans.read.iter().filter(|(n, _)| **n != t.team).map(|(_, (_, l, _))| l).collect();
        // A little less than a value holds: the record has a head.
        let bytes = self.settings.value_bytes.saturating_sub(100);
        let mut any = false;
        for c in &t.claims {
            match next.claim(wall.0, &t.job, t.missing_replicas, c, &others, bytes) {
                Ok(l) => (next, any) = (l, true),
                Err(why) => {
                    tracing::info!(job = %t.job, machine = %c.machine, %why, "no loan");
                    break;
                }
            }
        }
        any.then_some((t.team, next))
    }

    fn change_ledger(&mut self, now: Micros, team: &str, next: Ledger, out: &mut Vec<Effect>) {
        let Ok(key) = Key::new(Pact::Loan, team) else { return };
        if !self.membership.is_leader(now) || self.loans.unreadable.contains_key(team) {
            return;
        }
        let body = next.body();
        let record = match self.loans.read.get(team) {
            Some((r, ..)) => CoordinationRecord { body, ..r.clone() },
            None => CoordinationRecord::open(1, body),
        };
        if record.to_value().to_string().len() > self.settings.value_bytes
            || !self.state_store.write_limiter.take(now, 1.0, 0.2)
        {
            return;
        }
        let mut conditions = vec![self.fence()];
        if !self.loans.read.contains_key(team) {
            conditions.push((key.head_key(), 0));
        }
        for (name, (_, _, store_version)) in &self.loans.read {
            if let Ok(k) = Key::new(Pact::Loan, name) {
                conditions.push((k.head_key(), *store_version));
            }
        }
        let commit = Transaction {
            conditions,
            puts: vec![(key.head_key(), record.to_value(), None)],
            deletes: Vec::new(),
        };
        self.loans.changing = true;
        let purpose = PendingLoanRequest::Change(self.membership.epoch, team.to_owned(), Box::new(record));
        self.ask_store(PendingStoreRequest::Lending(purpose), StoreRequest::Transaction(commit), out);
    }

    /// The state service has answered.
    pub(super) fn loan_answer(&mut self, now: Micros, p: PendingLoanRequest, a: StoreAnswer) {
        match p {
            PendingLoanRequest::List(epoch, sent) if epoch == self.membership.epoch => {
                if self.loans.asked != Some(sent) {
                    return;
                }
                self.loans.asked = None;
                // A change under way, or made since, would be overlooked.
                if let (StoreAnswer::Page(rows, _), false) = (a, self.loans.changing) {
                    self.ledgers_read(sent, rows);
                }
            }
            PendingLoanRequest::Change(epoch, team, record) if epoch == self.membership.epoch => {
                self.loans.changing = false;
                // Whatever came of it, the next reading tells; one that is under way began too early.
                (self.loans.asked, self.loans.next_read) = (None, now);
                match a {
                    StoreAnswer::Committed(store_version) => {
                        let Ok(next) = Ledger::read(&record.body) else { return };
                        let before = self.loans.read.get(&team).map_or(&[][..], |(_, l, _)| &l.loans);
                        told(&team, before, &next.loans);
                        self.loans.read.insert(team, (*record, next, store_version));
                        self.tell_ledgers(now);
                    }
                    // What is held is out of date, or may be.
                    _ => self.loans.known = false,
                }
            }
            // Of an epoch that has passed.
            PendingLoanRequest::List(..) | PendingLoanRequest::Change(..) => {}
        }
    }

    fn ledgers_read(&mut self, sent: Micros, rows: Vec<KeyValue>) {
        let mut read = BTreeMap::new();
        let mut unreadable = BTreeMap::new();
        for row in rows {
            let Some(key) = Key::parse(&row.key) else { continue };
            let team = key.name().to_owned();
            let r = CoordinationRecord::read(&row.value).map_err(|e| e.to_string());
            match r.and_then(|r| Ledger::read(&r.body).map(|l| (r, l)).map_err(|e| e.to_string())) {
                Ok((r, l)) => {
                    read.insert(team, (r, l, row.store_version));
                }
                Err(why) => {
                    if !self.loans.unreadable.contains_key(&team) {
                        tracing::error!(team, why, "unreadable ledger: nothing is lent meanwhile");
                    }
                    unreadable.insert(team, why);
                }
            }
        }
        (self.loans.read, self.loans.unreadable, self.loans.known) = (read, unreadable, true);
        self.tell_ledgers(sent);
    }

    fn tell_ledgers(&mut self, sent: Micros) {
        let ledgers = self.loans.read.iter().map(|(t, (_, l, _))| (t.clone(), l.clone())).collect();
        self.job_shard.apply_ledgers(sent, ledgers);
    }

    /// Who lent what to whom, and when it is due back, for operators.
    pub(super) fn loan_status(&self) -> Value {
        let Some(terms) = &self.settings.operators.loans else { return json!({"on": false}) };
        let all = self.loans.read.iter().flat_map(|(team, (_, l, _))| l.loans.iter().map(move |l| (team, l)));
        let loans: Vec<Value> = all
            .map(|(team, l)| {
                let for_s = self.rounds.wall.0.saturating_sub(l.since_us) / 1_000_000;
                json!({
                    "id": l.id, "borrower": team, "job": l.job, "lender": l.lender, "from": l.from,
                    "machine": l.machine, "gpus": l.gpus as f64 / 1000.0, "cpus": l.cpus as f64 / 1000.0,
                    "state": l.state, "for_s": for_s, "due_back": due(l, terms, self.rounds.wall),
                })
            })
            .collect();
        json!({"on": true, "borrowers": terms.borrowers, "read": self.loans.known, "loans": loans,
            "unreadable": self.loans.unreadable})
    }
}

/// When a loan is due back, in words.
fn due(l: &Loan, terms: &LoanTerms, wall: Micros) -> String {
    let left = |after: u64| (l.since_us + after).saturating_sub(wall.0) / 1_000_000;
    match l.state {
        LoanState::Taking => "not yet in use".into(),
        LoanState::Held if left(terms.stay.0) > 0 => {
            format!("with the replica, or from {} s on if the lender is short", left(terms.stay.0))
        }
        LoanState::Held => "with the replica, or once the lender is short".into(),
        LoanState::Returning => format!("now; kept for the lender for {} s more", left(terms.back.0)),
    }
}

/// The log's lines about a change.
fn told(team: &str, before: &[Loan], after: &[Loan]) {
    for l in after {
        let was = before.iter().find(|b| b.id == l.id).map(|b| b.state);
        if was != Some(l.state) {
            tracing::info!(loan = l.id, borrower = team, job = %l.job, lender = %l.lender, from = %l.from,
                machine = %l.machine, gpus = l.gpus as f64 / 1000.0, state = ?l.state, "loan");
        }
    }
    for l in before.iter().filter(|b| after.iter().all(|a| a.id != b.id)) {
        tracing::info!(loan = l.id, borrower = team, lender = %l.lender, from = %l.from, machine = %l.machine,
            "loan is over");
    }
}
