//! Jobs that wait for others, at the edge of a controller: who may take them, checking what they name,
//! and watching for ends.

use super::coordination::Gate;
use super::*;

/// The form of peers' frames from which on jobs may follow others; `Message::InheritedPriorities` came with it.
pub(super) const FORM: u64 = 2;
/// The newest form that this version reads; it says so in its member's value. Version 1 says nothing. Form 3 adds
/// `Message::Handoff` and `Message::HandoffAck`; form 4 pacts and loans.
pub(super) const NEWEST: u64 = 4;
/// The form from which on jobs may name pacts.
pub(super) const PACTS: u64 = 4;
/// Says which form every controller has read at one time, so that one that is merely away need not
/// be waited for. It lies among the members' keys, which are read anyway; the first version skips it,
/// since it is no member's name.
pub(super) const FORMS_KEY: &str = "ring/m/*";
/// How long a watch stays open. One whose answer is lost on the way costs that much and a little more.
const WATCH: Micros = Micros::from_millis(2_000);
/// Ids remembered as accepted, so that a retry that follows a refusal gets further than it did.
const KNOWN: usize = 5000;
/// Most jobs that one may name: as many as can be looked up while a user goes on trying.
pub(super) const MOST: usize = 250;

/// How far the ends of jobs have been watched.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Watch {
    /// Nothing waits.
    #[default]
    Off,
    /// The store is asked for its revision.
    Asking,
    /// All changes up to this revision have been seen; whether the next are being waited for.
    At(u64, bool),
}

/// What this controller knows beside its waiting jobs.
#[derive(Default)]
pub(super) struct Dependencies {
    pub(super) watch: Watch,
    retry: Micros,
    /// Jobs that were found to be accepted and no services.
    known: BTreeSet<String>,
    /// Per controller, its process and the newest form that it reads, by its member's value.
    forms: Vec<(u64, u64)>,
    /// The newest form that all have read at one time, by the record of that.
    all_once: u64,
    noting: bool,
    /// Controllers that were last sent a list of needs that is not empty.
    sent: BTreeSet<usize>,
}

impl Controller {
    /// Takes note of the forms that controllers read, from the members' values.
    pub(super) fn note_forms(&mut self, rows: &[KeyValue], out: &mut Vec<Effect>) {
        let f = &mut self.dependencies;
        let reads = |r: &KeyValue| r.value.get("reads").and_then(Value::as_u64).unwrap_or(1);
        f.forms = vec![(0, 0); self.settings.members.len()];
        let mut store_version = 0;
        for r in rows {
            if r.key == FORMS_KEY {
                f.all_once = f.all_once.max(reads(r));
                store_version = r.store_version;
            }
            let name = r.key.strip_prefix("ring/m/");
            let number = name.and_then(|n| self.settings.members.iter().position(|m| m == n));
            if let (Some(n), Some(boot)) = (number, r.value.get("boot").and_then(Value::as_u64)) {
                f.forms[n] = (boot, reads(r));
                self.start_replica.note_form(boot, reads(r));
            }
        }
        let all = f.forms.iter().map(|(_, form)| *form).min().unwrap_or(0).min(NEWEST);
        if f.all_once < all && !f.noting && all >= FORM {
            f.noting = true;
            tracing::info!(form = all, "every controller reads the new form");
            // Guards against one that is carried out late: an older form would stand for a newer one.
            let c = Transaction {
                conditions: vec![(FORMS_KEY.into(), store_version)],
                puts: vec![(FORMS_KEY.into(), json!({ "reads": all }), None)],
                ..Transaction::default()
            };
            self.ask_store(PendingStoreRequest::NoteForms(all), StoreRequest::Transaction(c), out);
        }
    }

    pub(super) fn forms_noted(&mut self, form: u64, done: bool) {
        self.dependencies.noting = false;
        if done {
            self.dependencies.all_once = self.dependencies.all_once.max(form);
        }
    }

    /// Whether jobs that wait for others may be taken: no controller of the first version is there, and
    /// none has yet to be replaced. One would run such a job at once, or take it without its list.
    pub(super) fn takes_follows(&self) -> bool {
        self.all_read(FORM)
    }

    /// The same for jobs that name a pact: an older controller would take one without what binds it.
    pub(super) fn takes_pacts(&self) -> bool {
        self.all_read(PACTS)
    }

    fn all_read(&self, least: u64) -> bool {
        let f = &self.dependencies;
        f.all_once >= least && f.forms.iter().all(|(_, form)| *form == 0 || *form >= least)
    }

    /// Why a job can't be taken yet, if an older controller is in the ring.
    pub(super) fn not_yet(&self, spec: &JobSpec) -> Option<Reply> {
        if spec.has_coordination_record() && !self.takes_pacts() {
            return Some(Reply::later("not every controller knows of releases and batches yet"));
        }
        (!spec.follows.is_empty() && !self.takes_follows())
            .then(|| Reply::later("not every controller can run jobs that follow others yet"))
    }

    /// Whether the process behind a peer's link reads this form: its member's value says so, and its frames
    /// come from that process. One that was restarted as an older version has another number.
    pub(super) fn reads(&self, peer: usize, least: u64) -> bool {
        peer == self.settings.me
            || self.dependencies.forms.get(peer).is_some_and(|(boot, form)| {
                *form >= least && self.clocks.get(peer).is_some_and(|(b, _)| b == boot)
            })
    }

    /// Whether it reads of jobs that follow others.
    pub(super) fn reads_new(&self, peer: usize) -> bool {
        self.reads(peer, FORM)
    }

    /// Tells the owners of prerequisites how urgent the jobs are that wait for them: the whole list, so
    /// that a lost message heals. Called once in a digest period.
    pub(super) fn say_needs(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for p in self.membership.members.clone() {
            if !self.reads_new(p) {
                self.dependencies.sent.remove(&p);
                continue;
            }
            let list = self.job_shard.priorities_needed_of(p, &self.membership);
            let said = !list.is_empty();
            if !said && !self.dependencies.sent.contains(&p) {
                continue;
            }
            if said {
                self.dependencies.sent.insert(p);
            } else {
                self.dependencies.sent.remove(&p);
            }
            if p == self.settings.me {
                self.job_shard.apply_needed_priorities(p, list);
            } else {
                out.push(Effect::Send(p, self.envelope(now, p, Message::InheritedPriorities(list))));
            }
        }
    }

    fn watches(&self) -> bool {
        self.job_shard.awaits_ends() || self.pact_watches() || self.batches_watch()
    }

    /// Watches for the ends of jobs that others wait for, and reads those that no watch tells of.
    pub(super) fn follow_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.dependencies.retry || now < self.store_pause {
            return;
        }
        match self.dependencies.watch {
            Watch::Off if self.watches() && self.requests.take(now, 1.0, 0.1) => {
                self.dependencies.watch = Watch::Asking;
                self.ask_store(PendingStoreRequest::Revision, StoreRequest::Revision, out);
            }
            Watch::At(after, false) => {
                if !self.watches() {
                    self.dependencies.watch = Watch::Off;
                } else if self.requests.take(now, 1.0, 0.1) {
                    self.dependencies.watch = Watch::At(after, true);
                    let r = StoreRequest::Watch("done/".into(), after, WATCH);
                    self.ask_store(PendingStoreRequest::Watch, r, out);
                }
            }
            _ => {}
        }
        if !matches!(self.dependencies.watch, Watch::At(..)) {
            return;
        }
        while self.in_flight.len() < IN_FLIGHT && self.requests.level(now) >= 0.2 {
            let Some(p) = self.job_shard.next_unread_prerequisite() else { break };
            self.requests.take(now, 1.0, 0.0);
            self.ask_store(
                PendingStoreRequest::ReadEnd(p.clone()),
                StoreRequest::Get(format!("done/{p}")),
                out,
            );
        }
    }

    /// The watch, or the question that it begins with, is answered.
    pub(super) fn watched(&mut self, now: Micros, a: StoreAnswer) {
        match (self.dependencies.watch, a) {
            (Watch::Asking, StoreAnswer::At(revision)) => {
                // Whatever ended before this must be read; whatever ends later will be told.
                self.job_shard.reread_prerequisites();
                self.pacts_unwatched();
                self.batches_unwatched(now);
                self.dependencies.watch = Watch::At(revision, false);
            }
            (Watch::At(after, _), StoreAnswer::Changes(revision, written)) => {
                self.dependencies.watch = Watch::At(after.max(revision), false);
                for (key, value) in written {
                    let Some(id) = key.strip_prefix("done/") else { continue };
                    self.run_ended(id, &value);
                    if self.job_shard.is_awaited(id) || self.pact_awaits(id) {
                        self.end_read(now, id, &value);
                    }
                }
            }
            (Watch::At(after, _), a) if a != StoreAnswer::TooOld => {
                self.dependencies.retry = now + Micros::from_millis(300);
                self.dependencies.watch = Watch::At(after, false);
            }
            _ => {
                self.dependencies.retry = now + Micros::from_millis(300);
                self.dependencies.watch = Watch::Off;
            }
        }
    }

    fn end_read(&mut self, now: Micros, id: &str, value: &Value) {
        match read_end(value) {
            Some((f, _)) => {
                self.job_shard.note_time(self.wall);
                self.job_shard.apply_prerequisite_end(id, f);
                self.member_ended(id, f);
            }
            None => {
                tracing::error!(job = %id, "unreadable final record");
                self.job_shard.retry_prerequisite_read(id);
                self.dependencies.retry = now + Micros::from_millis(5000);
            }
        }
    }

    /// The end of a prerequisite was read, or it has none yet.
    pub(super) fn prerequisite_read(&mut self, now: Micros, id: &str, a: StoreAnswer) {
        match a {
            StoreAnswer::Got(Some(row)) => self.end_read(now, id, &row.value),
            StoreAnswer::Got(None) => {}
            _ => {
                self.job_shard.retry_prerequisite_read(id);
                self.dependencies.retry = now + Micros::from_millis(300);
            }
        }
    }

    // ---- Checking a submission ----

    fn is_known(&self, id: &str) -> bool {
        let live = |j: &crate::job_shard::Job| j.spec.kind != JobKind::Service;
        self.job_shard.jobs.get(id).is_some_and(live)
            || self.job_shard.outcome_of(id).is_some()
            || self.dependencies.known.contains(id)
    }

    fn note_known(&mut self, id: &str) {
        if self.dependencies.known.len() >= KNOWN {
            self.dependencies.known.clear();
        }
        self.dependencies.known.insert(id.to_owned());
    }

    /// Begins to look up the jobs that a submission names. Says why it can't be taken, if so.
    pub(super) fn begin_check(
        &mut self,
        now: Micros,
        id: &str,
        spec: &JobSpec,
        out: &mut Vec<Effect>,
    ) -> Result<BTreeSet<String>, Reply> {
        let unknown: BTreeSet<String> = spec.follows.iter().filter(|p| !self.is_known(p)).cloned().collect();
        if unknown.is_empty() {
            return Ok(unknown);
        }
        // A long list must not use up what leases and releases need: as many are looked up as the budget
        // allows. They are remembered, so that each retry gets further.
        for p in &unknown {
            if !self.requests.take(now, 1.0, 0.3) {
                return Err(Reply::later("some of the jobs that it follows are still to be looked up"));
            }
            let purpose = PendingStoreRequest::Check(id.to_owned(), p.clone());
            self.ask_store(purpose, StoreRequest::Get(format!("job/{p}")), out);
        }
        Ok(unknown)
    }

    /// The store was asked for a job that a submission names: for its live record first, then for its
    /// end. In this order, since a job may end between the two.
    pub(super) fn checked(
        &mut self,
        now: Micros,
        id: String,
        p: String,
        a: StoreAnswer,
        end: bool,
        out: &mut Vec<Effect>,
    ) {
        let found = match a {
            StoreAnswer::Got(found) => found,
            _ => return self.give_up(now, &id, Reply::later("a job that it follows could not be read"), out),
        };
        match found {
            Some(row) => {
                let gait = row.value.get("spec").and_then(|s| s.get("gait"));
                if !end && gait.is_some_and(|g| g == "service") {
                    let why = format!("follows: {p} is a service, which is never done");
                    return self.refuse(id, why, out);
                }
                self.note_known(&p);
                let Some(a) = self.accepting.get_mut(&id) else { return };
                if a.unknown.remove(&p) && a.unknown.is_empty() {
                    self.put_on_record(now, id, out);
                }
            }
            None if !end => {
                let get = StoreRequest::Get(format!("done/{p}"));
                self.requests.take(now, 1.0, 0.0);
                self.ask_store(PendingStoreRequest::CheckEnd(id, p), get, out);
            }
            None => self.refuse(id, format!("follows: {p} was never accepted"), out),
        }
    }

    /// A submission can never be taken, unless it was taken before: only the store can tell.
    pub(super) fn refuse(&mut self, id: String, why: String, out: &mut Vec<Effect>) {
        let Some(a) = self.accepting.get_mut(&id) else { return };
        a.goes_out();
        let c = Transaction {
            conditions: vec![self.fence(), (format!("job/{id}"), 0), (format!("done/{id}"), 0)],
            ..Transaction::default()
        };
        self.ask_store(PendingStoreRequest::Refuse(id, why), StoreRequest::Transaction(c), out);
    }

    /// The store has compared: if nothing of the job is on record it is refused for good.
    pub(super) fn refused(
        &mut self,
        now: Micros,
        id: String,
        why: String,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match a {
            StoreAnswer::Committed(_) => self.give_up(now, &id, Reply::error(422, &why), out),
            a => {
                let epoch = self.membership.epoch;
                self.accepted(now, id, epoch, a, out);
            }
        }
    }

    pub(super) fn give_up(&mut self, now: Micros, id: &str, reply: Reply, out: &mut Vec<Effect>) {
        let Some(a) = self.accepting.remove(id) else { return };
        for o in a.origins {
            self.reply(now, o, reply.clone(), out);
        }
        // What was compared is older than these requests: somebody else may have accepted it since.
        for o in a.late {
            self.reply(now, o, Reply::later("the job could not be put on record"), out);
        }
    }

    /// Puts a checked submission on record, on condition of the pacts that it joins.
    pub(super) fn put_on_record(&mut self, now: Micros, id: String, out: &mut Vec<Effect>) {
        let Some(a) = self.accepting.get(&id) else { return };
        if !a.unknown.is_empty() {
            return;
        }
        if !self.membership.is_leader(now) {
            return self.give_up(now, &id, Reply::later("not able to act"), out);
        }
        let joins = match self.joins(now, &id, out) {
            Gate::Open(joins) => joins,
            Gate::Wait => return,
            Gate::Later(why) => return self.give_up(now, &id, Reply::later(&why), out),
            Gate::Never(why) => return self.refuse(id, why, out),
        };
        let cost = if self.accepting.get(&id).is_some_and(|a| a.with.is_some()) { 2.0 } else { 1.0 };
        if !self.writes.take(now, cost, 0.0) {
            return self.give_up(now, &id, Reply::later("overloaded"), out);
        }
        let mut conditions = vec![self.fence(), (format!("job/{id}"), 0), (format!("done/{id}"), 0)];
        let Some(a) = self.accepting.get_mut(&id) else { return };
        a.goes_out();
        let value = JobShard::new_record(&a.raw, &a.spec, a.wall);
        conditions.extend(joins);
        let mut puts = vec![(format!("job/{id}"), value, None)];
        puts.extend(a.with.iter().map(|(key, record, _)| (key.head(), record.value(), None)));
        let c = Transaction { conditions, puts, drops: Vec::new() };
        self.ask_store(
            PendingStoreRequest::Accept(id, self.membership.epoch),
            StoreRequest::Transaction(c),
            out,
        );
    }
}
