//! Pacts: records that bind jobs of several owners. Reading them, joining them, changing them, and finding out who
//! joined. What a release or a batch means is the business of `release` and `freshness`.

use super::*;
use crate::job_shard::says_of_record;
use hazelsaddle_coordination::census::{Census, CensusJobState, CensusStep, JobReading};
use hazelsaddle_coordination::record::{self, CoordinationRecord, Key};
use hazelsaddle_coordination::record_cache::{CachedRecord, RecordCache};

/// Work that looks at all records is done so often.
pub(super) const ROUND: Micros = Micros::from_millis(300);
/// A record that something here waits for is read again after so long.
pub(super) const PAUSE_HELD: Micros = Micros::from_millis(1000);
/// A reading that failed is tried again after so long.
const PAUSE_FAILED: Micros = Micros::from_millis(300);
/// Heads are listed so often, a page.
const PAUSE_LIST: Micros = Micros::from_millis(5000);
/// A submission waits so long for a record before its user is told to come back.
const PATIENCE: Micros = Micros::from_millis(1500);
/// Records are forgotten that nobody has needed for so long.
const FORGET: Micros = Micros::from_millis(10_000);

/// What an acceptance rests on.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Gate {
    /// It may be put on record on these conditions.
    Open(Vec<(String, u64)>),
    /// A record must be read, or changed, first; asked again in the next round.
    Wait,
    /// Not now.
    Later(String),
    /// Never, unless it was accepted before.
    Never(String),
}

/// What a request to the state service was for.
#[derive(Clone, Debug)]
pub(super) enum PendingRecordRequest {
    Read(Key, Micros),
    Heads(u64, Micros),
    Change(Box<Change>),
    /// A page that is written before the head that counts it; then the rest.
    Page(Box<Change>),
    Census(u64),
    /// The end of a member that was live when it was last seen.
    Member(u64, String),
    /// A page of a closed set's members.
    Members(Key, u64, usize),
}

/// A change of a record under way.
#[derive(Clone, Debug)]
pub(super) struct Change {
    key: Key,
    epoch: u64,
    store_version: u64,
    next: CoordinationRecord,
    /// Pages and their keys, the last first.
    pages: Vec<(String, Value)>,
    sent: Micros,
    /// What an operator hears once it is on record.
    then: Option<(u64, Reply)>,
}

/// A census' outcome: members by pact, and when it began.
pub(super) type Members = BTreeMap<String, hazelsaddle_coordination::census::Member>;

/// An operator's request that is under way.
pub(super) struct Operating {
    pub(super) ticket: u64,
    pub(super) request: OperatorCommand,
    pub(super) began: Micros,
}

/// What this controller knows of pacts.
#[derive(Default)]
pub(super) struct RecordSlice {
    pub(super) shelf: RecordCache,
    /// Keys under change by this process.
    changing: BTreeSet<Key>,
    /// Submissions that wait for a record.
    waiting: BTreeSet<String>,
    /// Operators' requests under way; one whose change is being written is not among them.
    pub(super) operating: Vec<Operating>,
    /// Tickets that a change under way answers.
    pub(super) replying: BTreeSet<u64>,
    listing: bool,
    listed_after: String,
    next_list: Micros,
    /// When the last whole list of heads of this epoch was begun.
    pub(super) listed: Option<Micros>,
    list_began: Micros,
    /// Records that the latest list has found and that are not over; the list under way.
    pub(super) listed_keys: BTreeSet<Key>,
    listing_keys: BTreeSet<Key>,
    /// Each title's latest night on record, also one that is over: what operators mean who name none.
    pub(super) latest: BTreeMap<String, String>,
    next_round: Micros,
    /// Ends that were read or told of since the epoch began, of members that matter.
    ends: BTreeMap<String, CensusJobState>,
    census: Option<(Census, Micros)>,
    census_busy: bool,
    census_retry: Micros,
    census_took: Micros,
    /// Pacts that a census is wanted for, by head; filled anew in each round.
    wanted: BTreeSet<String>,
    /// The latest whole census of each pact, with when it began.
    found: BTreeMap<String, (Micros, Members)>,
    /// Live members whose ends matter: a watch tells of them, and those in `unread` are read.
    awaited: BTreeSet<String>,
    unread: BTreeSet<String>,
    /// Records of jobs that no census could read.
    unreadable: Vec<String>,
    next_keep: Micros,
    used: BTreeMap<Key, Micros>,
}

/// What a job's record says: the heads of the pacts that it joined, and how it stands.
pub(super) fn reading(key: &str, v: &Value) -> Option<JobReading> {
    if key.starts_with(hazelsaddle_coordination::census::ENDS) {
        let (f, _) = read_end(v)?;
        let state = if f == JobOutcome::Done { CensusJobState::Done } else { CensusJobState::Cancelled };
        let joined = v.get("says").map(joined).unwrap_or_default();
        return Some(JobReading { joined, state });
    }
    JobShard::read_record(v)?;
    let joined = says_of_record(v).as_ref().map(joined).unwrap_or_default();
    Some(JobReading { joined, state: CensusJobState::Live })
}

fn joined(says: &Value) -> Vec<(String, Value)> {
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_owned);
    let mut out = Vec::new();
    if let Some(r) = says.get("release")
        && let (Some(title), Some(night)) = (text(r, "title"), text(r, "night"))
        && let Some(key) = hazelsaddle_release::release_ref::release_key(&title, &night)
    {
        out.push((key.head(), r.clone()));
    }
    if let Some(b) = says.get("batch")
        && let Some(name) = text(b, "name")
        && let Ok(key) = Key::new(record::Kind::Batch, &name)
    {
        // Who looks for runs of a batch must know their classes.
        let mut b = b.clone();
        b["breed"] = says.get("breed").cloned().unwrap_or_default();
        out.push((key.head(), b));
    }
    out
}

impl Controller {
    /// A new epoch: what rests on the order of readings within the last one is begun anew. Records stay as read: they
    /// only go forward, and every change is conditional on what is held.
    pub(super) fn pacts_anew(&mut self) {
        let p = &mut self.coordination;
        (p.census, p.census_busy, p.listing) = (None, false, false);
        (p.listed, p.next_list) = (None, Micros(0));
        p.listed_after.clear();
        p.ends.clear();
        p.found.clear();
        p.awaited.clear();
        p.unread.clear();
        p.changing.clear();
    }

    /// Whether this controller does what a record needs by itself: the ring's owner of the head's key.
    pub(super) fn keeps_pact(&self, key: &Key) -> bool {
        self.membership.ring.owner(&key.head()) == Some(self.settings.me)
    }

    /// Whether pacts are of any concern here.
    fn pacts_on(&self) -> bool {
        self.takes_pacts()
            && (self.releases_on() || self.batches_on() || self.job_shard.held_jobs().next().is_some())
    }

    /// What a record says, as far as is known; it is read again while anybody asks.
    pub(super) fn pact(&mut self, now: Micros, key: &Key) -> CachedRecord {
        self.coordination.shelf.want(key);
        self.coordination.used.insert(key.clone(), now);
        self.coordination.shelf.get(key).clone()
    }

    /// What a record says in a reading that began no earlier than `since`; asks for one if there is none.
    pub(super) fn pact_since(&mut self, now: Micros, key: &Key, since: Micros) -> Option<CachedRecord> {
        self.coordination.used.insert(key.clone(), now);
        let held = self.coordination.shelf.get_since(key, since).cloned();
        if held.is_none() {
            self.coordination.shelf.want_since(key, since);
        }
        held
    }

    /// Whether a change of a record is under way here.
    pub(super) fn pact_changing(&self, key: &Key) -> bool {
        self.coordination.changing.contains(key)
    }

    /// Changes a record, on condition of the epoch and of the record as last read. Returns whether the change is
    /// under way; what becomes of it is seen in the record. `then` is told to an operator once it is on record.
    pub(super) fn change_pact(
        &mut self,
        now: Micros,
        key: &Key,
        next: CoordinationRecord,
        pages: Vec<(String, Value)>,
        then: Option<(u64, Reply)>,
        out: &mut Vec<Effect>,
    ) -> bool {
        // A reading under way may bring what makes the change wrong, but its mark then fails the condition.
        let allowed = match self.coordination.shelf.get(key) {
            CachedRecord::Present(r) => r.allows(&next).is_ok(),
            CachedRecord::Absent => true,
            CachedRecord::NotRead | CachedRecord::Unreadable(_) => false,
        };
        if !allowed
            || !self.membership.is_leader(now)
            || now < self.store_pause
            || self.coordination.changing.contains(key)
            || next.value().to_string().len() > self.settings.value_bytes
        {
            return false;
        }
        let cost = (pages.len() + 1) as f64;
        if !self.writes.take(now, cost, 0.2) {
            return false;
        }
        self.coordination.changing.insert(key.clone());
        self.coordination.replying.extend(then.as_ref().map(|(ticket, _)| *ticket));
        let store_version = self.coordination.shelf.store_version(key);
        let pages = pages.into_iter().rev().collect();
        let epoch = self.membership.epoch;
        let c = Change { key: key.clone(), epoch, store_version, next, pages, sent: now, then };
        self.change_on(Box::new(c), out);
        true
    }

    /// Writes the next page of a change, or its head when all pages are on record. Pages are conditional on the head too:
    /// one that is written late changes nothing that was decided.
    fn change_on(&mut self, mut c: Box<Change>, out: &mut Vec<Effect>) {
        let conditions = vec![self.fence(), (c.key.head(), c.store_version)];
        let mut commit = Transaction { conditions, ..Transaction::default() };
        match c.pages.pop() {
            Some((key, page)) => {
                commit.puts.push((key, page, None));
                self.ask_store(
                    PendingStoreRequest::Pact(PendingRecordRequest::Page(c)),
                    StoreRequest::Transaction(commit),
                    out,
                );
            }
            None => {
                commit.puts.push((c.key.head(), c.next.value(), None));
                self.ask_store(
                    PendingStoreRequest::Pact(PendingRecordRequest::Change(c)),
                    StoreRequest::Transaction(commit),
                    out,
                );
            }
        }
    }

    fn changed(&mut self, now: Micros, c: Change, a: StoreAnswer, out: &mut Vec<Effect>) {
        if c.epoch == self.membership.epoch {
            self.coordination.changing.remove(&c.key);
        }
        self.coordination.shelf.want(&c.key);
        match a {
            StoreAnswer::Committed(store_version) => {
                self.coordination.shelf.apply_commit(&c.key, c.sent, c.next, store_version);
                if let Some((ticket, reply)) = c.then {
                    out.push(Effect::Reply(ticket, reply));
                }
            }
            a => {
                // It may have been carried out: the record tells.
                self.coordination.shelf.want_since(&c.key, now);
                if let Some((ticket, _)) = c.then {
                    let why = match a {
                        StoreAnswer::Conflict(_) => "the record has changed meanwhile: ask again",
                        _ => "the change could not be put on record: ask again",
                    };
                    out.push(Effect::Reply(ticket, Reply::later(why)));
                }
            }
        }
    }

    /// The conditions on which a submission may be put on record.
    pub(super) fn joins(&mut self, now: Micros, id: &str, out: &mut Vec<Effect>) -> Gate {
        if !self.accepting.get(id).is_some_and(|a| a.spec.has_coordination_record()) {
            return Gate::Open(Vec::new());
        }
        // Guards against an older controller that has joined since the submission came.
        if !self.takes_pacts() {
            return Gate::Later("not every controller knows of releases and batches yet".into());
        }
        let Some(a) = self.accepting.get(id) else { return Gate::Wait };
        if now.since(a.began) >= PATIENCE {
            return Gate::Later("a record that it names could not be read or changed in time".into());
        }
        let mut all = Vec::new();
        for gate in [Controller::release_gate, Controller::batch_gate] {
            match gate(self, now, id, out) {
                Gate::Open(conditions) => all.extend(conditions),
                Gate::Wait => {
                    self.coordination.waiting.insert(id.to_owned());
                    return Gate::Wait;
                }
                other => return other,
            }
        }
        Gate::Open(all)
    }

    /// The condition that a job joins a record under, as it was read.
    pub(super) fn join_of(&self, key: &Key) -> (String, u64) {
        (key.head(), self.coordination.shelf.store_version(key))
    }

    /// A submission met a pact that had changed: that says nothing about the job, so it is looked at anew. Says
    /// whether it is.
    pub(super) fn joins_again(
        &mut self,
        now: Micros,
        id: &str,
        a: &StoreAnswer,
        out: &mut Vec<Effect>,
    ) -> bool {
        let StoreAnswer::Conflict(keys) = a else { return false };
        let pacts: Vec<Key> = keys.iter().filter_map(|k| Key::parse(k)).collect();
        if pacts.is_empty() || pacts.len() < keys.len() || !self.accepting.contains_key(id) {
            return false;
        }
        for key in pacts {
            self.coordination.shelf.want_since(&key, now);
        }
        self.put_on_record(now, id.to_owned(), out);
        true
    }

    // ---- Each round ----

    /// Reads what is due, does what records need, and goes on with submissions and operators' requests that wait.
    pub(super) fn pact_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let round = now >= self.coordination.next_round;
        if round {
            self.coordination.next_round = now + ROUND;
            self.coordination.wanted.clear();
        }
        for id in std::mem::take(&mut self.coordination.waiting) {
            self.put_on_record(now, id, out);
        }
        self.operate(now, out);
        if !self.membership.is_leader(now) || !self.job_shard.loaded || !self.pacts_on() {
            return;
        }
        if round {
            self.coordination.awaited.clear();
            self.release_loop(now, out);
            self.batch_loop(now, out);
        }
        self.batch_now(now, out);
        if now < self.store_pause {
            return;
        }
        self.list_heads(now, out);
        self.read_due(now, out);
        self.census_loop(now, out);
        self.read_members(now, out);
    }

    fn read_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now >= self.coordination.next_keep {
            self.coordination.next_keep = now + PAUSE_HELD;
            self.coordination.used.retain(|_, t| now.since(*t) < FORGET);
            let mut wanted: BTreeSet<Key> = self.coordination.used.keys().cloned().collect();
            let listed = self.coordination.listed_keys.iter().chain(&self.coordination.listing_keys);
            wanted.extend(listed.chain(&self.coordination.changing).cloned());
            self.coordination.shelf.retain(&wanted);
        }
        for key in self.coordination.shelf.due(now, 8) {
            // The list tells of those that nothing here waits for.
            if !self.coordination.used.contains_key(&key)
                && *self.coordination.shelf.get(&key) != CachedRecord::NotRead
            {
                self.coordination.shelf.record_failure(&key, now + PAUSE_LIST);
                continue;
            }
            if self.in_flight.len() >= IN_FLIGHT || !self.requests.take(now, 1.0, 0.2) {
                break;
            }
            self.coordination.shelf.record_request(&key, now);
            let get = StoreRequest::Get(key.head());
            self.ask_store(PendingStoreRequest::Pact(PendingRecordRequest::Read(key, now)), get, out);
        }
    }

    /// All heads of releases, so that those are known that nobody here has named: a record that its keeper left in the
    /// middle, or that another opened.
    fn list_heads(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.coordination.listing
            || now < self.coordination.next_list
            || !self.requests.take(now, 1.0, 0.2)
        {
            return;
        }
        if self.coordination.listed_after.is_empty() {
            self.coordination.list_began = now;
            self.coordination.listing_keys.clear();
        }
        self.coordination.listing = true;
        let prefix = record::Kind::Release.prefix();
        let r = StoreRequest::List(prefix, self.coordination.listed_after.clone());
        self.ask_store(
            PendingStoreRequest::Pact(PendingRecordRequest::Heads(self.membership.epoch, now)),
            r,
            out,
        );
    }

    fn heads(&mut self, now: Micros, sent: Micros, a: StoreAnswer) {
        self.coordination.listing = false;
        let StoreAnswer::Page(rows, more) = a else {
            self.coordination.next_list = now + PAUSE_FAILED;
            return;
        };
        self.coordination.listed_after = match rows.last() {
            Some(last) if more => last.key.clone(),
            _ => String::new(),
        };
        for row in rows {
            let Some(key) = Key::parse(&row.key) else {
                tracing::error!(key = %row.key, "a pact's key can't be read");
                continue;
            };
            if let Some((title, night)) = hazelsaddle_release::release_ref::title_and_night(&key) {
                let latest = self.coordination.latest.entry(title.to_owned()).or_default();
                if latest.as_str() < night {
                    *latest = night.to_owned();
                }
            }
            // What is over for good is of no use here.
            let over = CoordinationRecord::read(&row.value).is_ok_and(|r| self.release_over(&r));
            if over && *self.coordination.shelf.get(&key) == CachedRecord::NotRead {
                continue;
            }
            self.coordination.shelf.want(&key);
            self.take_pact(&key, sent, now, Some((&row.value, row.store_version)));
            if !over {
                self.coordination.listing_keys.insert(key);
            }
        }
        self.coordination.next_list = now + if more { Micros::from_millis(200) } else { PAUSE_LIST };
        if !more {
            self.coordination.listed = Some(self.coordination.list_began);
            self.coordination.listed_keys = std::mem::take(&mut self.coordination.listing_keys);
        }
    }

    /// Takes what was read of a record.
    fn take_pact(&mut self, key: &Key, sent: Micros, now: Micros, row: Option<(&Value, u64)>) {
        if self.coordination.shelf.apply_answer(key, sent, now + PAUSE_HELD, row) {
            if let CachedRecord::Unreadable(why) = self.coordination.shelf.get(key) {
                tracing::error!(record = %key.head(), reason = %why, "what rests on this record is held");
            }
            self.job_shard.replan = true;
        }
    }

    /// The members of a pact by a census that began no earlier than `since`, if there is one; asks for one otherwise.
    pub(super) fn census_since(&mut self, key: &Key, since: Micros) -> Option<&Members> {
        let head = key.head();
        if self.coordination.found.get(&head).is_none_or(|(began, _)| *began < since) {
            self.coordination.wanted.insert(head);
            return None;
        }
        self.coordination.found.get(&head).map(|(_, members)| members)
    }

    /// Ends of these jobs matter to a record that is kept here, and none was on record when they were last seen.
    pub(super) fn await_members(&mut self, live: impl Iterator<Item = String>) {
        self.coordination.awaited.extend(live);
    }

    /// Whether the watch on ends must tell of this one.
    pub(super) fn pact_awaits(&self, id: &str) -> bool {
        self.coordination.awaited.contains(id)
    }

    /// Whether any end matters to a pact.
    pub(super) fn pact_watches(&self) -> bool {
        !self.coordination.awaited.is_empty()
    }

    /// The watch begins only now: what ended before it must be read.
    pub(super) fn pacts_unwatched(&mut self) {
        self.coordination.unread = self.coordination.awaited.clone();
    }

    /// A member's end is on record.
    pub(super) fn member_ended(&mut self, id: &str, f: JobOutcome) {
        self.coordination.unread.remove(id);
        let state = if f == JobOutcome::Done { CensusJobState::Done } else { CensusJobState::Cancelled };
        if self.coordination.awaited.contains(id) {
            self.coordination.ends.insert(id.to_owned(), state);
        }
        for (_, members) in self.coordination.found.values_mut() {
            if let Some(m) = members.get_mut(id) {
                m.state = m.state.max(state);
            }
        }
    }

    /// How a member stands that no census has seen.
    pub(super) fn end_of(&self, id: &str) -> Option<CensusJobState> {
        self.coordination.ends.get(id).copied()
    }

    /// When the latest whole census of a pact began.
    pub(super) fn census_began(&self, key: &Key) -> Option<Micros> {
        self.coordination.found.get(&key.head()).map(|(began, _)| *began)
    }

    /// What is known of a pact's members so far, from whichever census.
    pub(super) fn members_so_far(&self, key: &Key) -> Option<&Members> {
        self.coordination.found.get(&key.head()).map(|(_, m)| m)
    }

    /// How long the last census took.
    pub(super) fn census_took(&self) -> Micros {
        self.coordination.census_took
    }

    /// A list of heads that begins no earlier than this is wanted.
    pub(super) fn list_since(&mut self, since: Micros) -> bool {
        let listed = self.coordination.listed.is_some_and(|t| t >= since);
        if !listed {
            self.coordination.next_list = Micros(0);
        }
        listed
    }

    fn read_members(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while self.in_flight.len() < IN_FLIGHT && self.requests.level(now) >= 0.3 {
            let Some(id) = self.coordination.unread.pop_first() else { break };
            self.requests.take(now, 1.0, 0.0);
            let get = StoreRequest::Get(format!("done/{id}"));
            let purpose = PendingRecordRequest::Member(self.membership.epoch, id);
            self.ask_store(PendingStoreRequest::Pact(purpose), get, out);
        }
    }

    fn census_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let p = &mut self.coordination;
        if p.census.is_none() && !p.wanted.is_empty() && now >= p.census_retry {
            p.census = Some((Census::begin(p.wanted.clone()), now));
        }
        let Some((census, _)) = &p.census else { return };
        if p.census_busy || now < p.census_retry {
            return;
        }
        let CensusStep::ReadPage { prefix, after } = census.next_step() else { return };
        if !self.requests.take(now, 1.0, 0.2) {
            return;
        }
        self.coordination.census_busy = true;
        let r = StoreRequest::List(prefix.into(), after);
        self.ask_store(
            PendingStoreRequest::Pact(PendingRecordRequest::Census(self.membership.epoch)),
            r,
            out,
        );
    }

    fn census_page(&mut self, now: Micros, a: StoreAnswer) {
        let p = &mut self.coordination;
        p.census_busy = false;
        let Some((census, began)) = &mut p.census else { return };
        let StoreAnswer::Page(rows, more) = a else {
            p.census_retry = now + PAUSE_FAILED;
            return;
        };
        let CensusStep::ReadPage { prefix, .. } = census.next_step() else { return };
        let rows = rows.into_iter().map(|r| (r.key, r.value));
        census.apply_page(rows, more, |id, v| reading(&format!("{prefix}{id}"), v));
        if census.next_step() != CensusStep::Complete {
            return;
        }
        let (unreadable, began) = (census.unreadable().to_vec(), *began);
        if !unreadable.is_empty() {
            tracing::error!(jobs = ?unreadable, "records that can't be read: nothing closes until they can be");
            p.census_retry = now + Micros::from_millis(5000);
        }
        let found: Vec<_> =
            census.records().iter().filter_map(|pact| Some((pact.clone(), census.members(pact)?))).collect();
        tracing::debug!(pacts = found.len(), seconds = now.since(began).secs(), "census");
        p.found.extend(found.into_iter().map(|(pact, m)| (pact, (began, m))));
        p.unreadable = unreadable;
        p.census = None;
        p.census_took = now.since(began);
    }

    /// Members that a census found live are read once after it, as the watch may have begun later.
    pub(super) fn read_live(&mut self, live: impl Iterator<Item = String>) {
        self.coordination.unread.extend(live);
    }

    /// An answer of the state service.
    pub(super) fn pact_answer(
        &mut self,
        now: Micros,
        p: PendingRecordRequest,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match p {
            PendingRecordRequest::Read(key, sent) => match a {
                StoreAnswer::Got(row) => {
                    let row = row.as_ref().map(|r| (&r.value, r.store_version));
                    self.take_pact(&key, sent, now, row);
                }
                _ => self.coordination.shelf.record_failure(&key, now + PAUSE_FAILED),
            },
            PendingRecordRequest::Heads(epoch, sent) if epoch == self.membership.epoch => {
                self.heads(now, sent, a)
            }
            PendingRecordRequest::Census(epoch) if epoch == self.membership.epoch => self.census_page(now, a),
            PendingRecordRequest::Member(epoch, id) if epoch == self.membership.epoch => match a {
                StoreAnswer::Got(Some(row)) => match read_end(&row.value) {
                    Some((f, _)) => self.member_ended(&id, f),
                    None => tracing::error!(job = %id, "unreadable final record"),
                },
                StoreAnswer::Got(None) => {}
                _ => {
                    self.coordination.unread.insert(id);
                }
            },
            PendingRecordRequest::Members(key, version, n) => self.members_page(now, key, version, n, a),
            // Of an epoch that has passed: all of this was begun anew.
            PendingRecordRequest::Heads(..)
            | PendingRecordRequest::Census(_)
            | PendingRecordRequest::Member(..) => {}
            PendingRecordRequest::Page(c) => match a {
                StoreAnswer::Committed(_) if c.epoch == self.membership.epoch => self.change_on(c, out),
                a => self.changed(
                    now,
                    *c,
                    if matches!(a, StoreAnswer::Committed(_)) { StoreAnswer::Unknown } else { a },
                    out,
                ),
            },
            PendingRecordRequest::Change(c) => self.changed(now, *c, a, out),
        }
    }

    /// How pacts stand, for operators.
    pub(super) fn pact_status(&self) -> Value {
        let held: Vec<Value> = self
            .job_shard
            .held_jobs()
            .take(SHOWN)
            .map(|(id, _, h)| json!({"job": id, "why": h.why()}))
            .collect();
        let unreadable: Vec<String> = self
            .coordination
            .shelf
            .iter()
            .filter(|(_, h)| matches!(h, CachedRecord::Unreadable(_)))
            .map(|(k, _)| k.head())
            .collect();
        json!({
            "takes": self.takes_pacts(),
            "records": self.coordination.shelf.iter().filter(|(_, h)| matches!(h, CachedRecord::Present(_))).count(),
            "jobs_held": self.job_shard.held_jobs().count(),
            "held": held,
            "unreadable": unreadable,
            "jobs_unreadable": self.coordination.unreadable,
            "census_under_way": self.coordination.census.is_some(),
            "members_awaited": self.coordination.awaited.len(),
            "releases": self.release_status(),
        })
    }
}
