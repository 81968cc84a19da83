//! A store's decisions. `step` takes an event, `flush` makes sure of what came, `tick` works off what is due; all
//! return effects. Nothing here reads a clock or touches a socket; the disk is behind a trait.
//!
//! What tells anybody that something is held waits in `Replica` until `flush` has synced it.

mod copies;
mod lead;
mod reads;

use crate::key::{AttemptKey, StreamKey};
use crate::limits::{Limits, Rates};
use crate::members::{List, Members};
use crate::segment_store::{Recovery, Retention, SegmentStore, SegmentStoreError};
use crate::wire::{Ack, Answer, Ask, FORM, Frame, Message, Request};
use copies::Heal;
use hazelsaddle_cluster::time::Micros;
use lead::{Hashing, Lead};
pub use reads::{Listed, Read, Reply, spans};
use std::collections::{BTreeSet, HashMap};

/// Names a request whose answer is awaited.
pub type Ticket = u64;

/// How a store is run.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Its name.
    pub name: String,
    /// Copies of each chunk, this one included.
    pub copies: usize,
    /// How many of them must be on disk before a chunk is acknowledged.
    pub acks: usize,
    /// Longest chunk taken, in bytes.
    pub chunk_bytes: usize,
    /// Rate limits.
    pub rates: Rates,
    /// How long output is kept.
    pub retention: Retention,
    /// After so long without a word from its writer a stream counts as cut off.
    pub silent: Micros,
    /// How long other stores' copies are waited for.
    pub patience: Micros,
    /// Pause between two comparisons with other stores.
    pub heal_every: Micros,
    /// Bytes a second that healing and handing over may send.
    pub heal_bytes: u64,
    /// Bytes a second that scrubbing and compaction may read.
    pub keep_bytes: u64,
}

impl Default for ReplicaOptions {
    fn default() -> ReplicaOptions {
        ReplicaOptions {
            name: "store-0".into(),
            copies: 3,
            acks: 2,
            chunk_bytes: 1 << 20,
            rates: Rates::default(),
            retention: Retention { age: 14 * 86_400 * 1_000_000, team_bytes: 16 << 30 },
            silent: Micros::from_millis(60_000),
            patience: Micros::from_millis(2000),
            heal_every: Micros::from_millis(50),
            heal_bytes: 16 << 20,
            keep_bytes: 8 << 20,
        }
    }
}

/// What happens to a store.
#[derive(Debug)]
pub enum Event {
    /// A shipper asks.
    Ask(Ticket, Request),
    /// Another store speaks.
    Peer(Frame),
    /// A reader or an operator asks.
    Read(Ticket, Read),
}

/// What a store does.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a shipper.
    Answer(Ticket, Answer),
    /// Answer a reader.
    Reply(Ticket, Reply),
    /// Tell another store.
    Send(String, Frame),
}

/// What waits for the next sync.
enum Waiting {
    /// Our own copy of a request that we lead.
    Own(u64),
    /// Another store waits for our copy.
    Copied(String, u64),
    /// Tells what is held; only what is synced may be told.
    Say(Effect),
}

/// When a writer was last heard, and for how long its task has been waiting for its log.
#[derive(Clone, Copy)]
struct Heard {
    at: Micros,
    stalled: u64,
}

/// One store.
pub struct Replica {
    options: ReplicaOptions,
    members: Members,
    shelf: SegmentStore,
    recovery: Recovery,
    started: Micros,
    lead: Lead,
    hashing: Hashing,
    limits: Limits,
    heal: Heal,
    reads: reads::Waits,
    waiting: Vec<Waiting>,
    /// Streams that got chunks since the last sync.
    touched: BTreeSet<StreamKey>,
    writers: HashMap<AttemptKey, Heard>,
    /// When each other store was last heard.
    peers: HashMap<String, Micros>,
    /// When the list of stores came into force here.
    listed_at: Micros,
    beat_at: Micros,
    keep_at: Micros,
    keep: crate::limits::Bucket,
    /// No sync or index works any more: nothing new is taken.
    broken: Option<String>,
}

/// Name of the value that holds the list of stores.
const LIST: &str = "members";

impl Replica {
    /// A store over an opened shelf. The list of stores that the shelf holds wins over the one given if it is newer.
    pub fn new(
        options: ReplicaOptions,
        list: List,
        mut shelf: SegmentStore,
        recovery: Recovery,
        now: Micros,
    ) -> Replica {
        let kept = match shelf.disk().get(LIST) {
            Ok(Some(bytes)) => serde_json::from_slice::<List>(&bytes).ok().filter(|l| l.check().is_ok()),
            _ => None,
        };
        let list = match kept {
            Some(k) if k.replaces(&list) => k,
            _ => list,
        };
        Replica {
            members: Members::new(list),
            lead: Lead::default(),
            hashing: Hashing::default(),
            limits: Limits::new(options.rates),
            heal: Heal::new(options.heal_bytes, now),
            reads: reads::Waits::default(),
            waiting: Vec::new(),
            touched: BTreeSet::new(),
            writers: HashMap::new(),
            peers: HashMap::new(),
            listed_at: now,
            beat_at: now,
            keep_at: now,
            keep: crate::limits::Bucket::new(options.keep_bytes, options.keep_bytes, now),
            broken: None,
            started: now,
            options,
            shelf,
            recovery,
        }
    }

    /// What it holds.
    pub fn shelf(&mut self) -> &mut SegmentStore {
        &mut self.shelf
    }
    /// The list of stores that it goes by.
    pub fn list(&self) -> &List {
        self.members.list()
    }

    /// Takes an event.
    pub fn step(&mut self, now: Micros, wall: u64, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Ask(ticket, Request { form, ask }) if form == FORM => {
                self.asked(now, wall, ticket, ask, out)
            }
            Event::Ask(ticket, r) => {
                let why = format!("this store speaks form {FORM}, not {}", r.form);
                out.push(Effect::Answer(ticket, Answer::Ack(self.ack(505, 0, &why))));
            }
            Event::Peer(frame) => self.told(now, wall, frame, out),
            Event::Read(ticket, read) => self.read(now, ticket, read, out),
        }
    }

    fn asked(&mut self, now: Micros, wall: u64, ticket: Ticket, ask: Ask, out: &mut Vec<Effect>) {
        match ask {
            Ask::Append { batch, stalled } => self.append(now, wall, ticket, batch, stalled, out),
            Ask::Held(stream) => {
                let held = match self.shelf.stream(&stream) {
                    Ok(s) => s.map(|s| reads::spans(&s.held)).unwrap_or_default(),
                    Err(e) => {
                        self.fail(&e);
                        Vec::new()
                    }
                };
                out.push(Effect::Answer(ticket, Answer::Held(held)));
            }
            Ask::Members => out.push(Effect::Answer(ticket, Answer::Members(self.list().clone()))),
        }
    }

    fn told(&mut self, now: Micros, wall: u64, frame: Frame, out: &mut Vec<Effect>) {
        if frame.form != FORM {
            tracing::warn!(from = %frame.from, form = frame.form, "a store speaks another form; not listened to");
            return;
        }
        // A store that nobody has listed may be told the list, no more.
        if self.members.get(&frame.from).is_none() && !matches!(frame.body, Message::Members(_)) {
            return;
        }
        self.peers.insert(frame.from.clone(), now);
        let ours = self.members.mark();
        if frame.members > ours {
            self.say(&frame.from, Message::AskMembers, out);
        }
        let from = frame.from;
        match frame.body {
            Message::Beat => {
                if frame.members < ours {
                    self.say(&from, Message::Members(self.list().clone()), out);
                }
            }
            Message::Copy { id, batch } => self.copy(wall, &from, id, batch),
            Message::Copied { id, status } => self.copied(id, status, out),
            Message::AskMembers => self.say(&from, Message::Members(self.list().clone()), out),
            Message::Members(list) => {
                if let Err(e) = self.adopt(now, list) {
                    tracing::warn!(%from, reason = %e, "a list of stores was not taken");
                }
            }
            other => self.compared(now, wall, &from, other, out),
        }
    }

    /// Takes up a newer list of stores. An older one is no error.
    fn adopt(&mut self, now: Micros, list: List) -> Result<bool, String> {
        list.check().map_err(|e| e.to_string())?;
        if !list.replaces(self.list()) {
            return Ok(false);
        }
        let bytes = serde_json::to_vec(&list).map_err(|e| e.to_string())?;
        self.shelf.disk().put(LIST, &bytes).map_err(|e| e.to_string())?;
        tracing::info!(
            version = list.version,
            stores = list.members.len(),
            "another list of stores is in force"
        );
        self.members = Members::new(list);
        self.listed_at = now;
        // The others hear of us at once.
        self.beat_at = now;
        self.heal.restart();
        Ok(true)
    }

    fn frame(&self, body: Message) -> Frame {
        Frame { form: FORM, from: self.options.name.clone(), members: self.members.mark(), body }
    }
    fn say(&self, to: &str, body: Message, out: &mut Vec<Effect>) {
        out.push(Effect::Send(to.to_owned(), self.frame(body)));
    }
    fn ack(&self, status: u16, retry_ms: u32, why: &str) -> Ack {
        Ack { status, retry_ms, why: why.to_owned(), members: self.members.mark() }
    }

    /// Whether another store was heard lately. Just after a start, or after it was listed, it has the time to speak.
    fn is_there(&self, now: Micros, name: &str) -> bool {
        let heard = self.peers.get(name).copied().unwrap_or(self.listed_at);
        now.since(heard) < self.options.patience
    }

    /// The stores other than this one that a chunk should lie on: its owners; in place of a silent one the next
    /// clockwise. Healing brings it home later.
    fn others(&self, now: Micros, of: &AttemptKey) -> Vec<String> {
        let place = of.place();
        let (me, copies) = (self.options.name.as_str(), self.options.copies);
        let owners = self.members.owners(place, copies);
        let mut to: Vec<&str> = owners.iter().map(|m| m.name.as_str()).filter(|n| *n != me).collect();
        to.retain(|n| self.is_there(now, n));
        for m in self.members.clockwise(place) {
            if to.len() + 1 >= copies {
                break;
            }
            if m.name != me && !to.contains(&m.name.as_str()) && self.is_there(now, &m.name) {
                to.push(&m.name);
            }
        }
        to.truncate(copies.saturating_sub(1));
        to.into_iter().map(str::to_owned).collect()
    }

    /// The disk or the index fails: what was staged is lost, and nothing new is taken until the next start if the
    /// index is what fails.
    fn fail(&mut self, e: &SegmentStoreError) {
        tracing::error!(reason = %e, "the shelf failed");
        if matches!(e, SegmentStoreError::Index(_)) {
            self.broken = Some(e.to_string());
        }
    }

    /// Makes all that came since the last time certain, and lets out what waited for that.
    pub fn flush(&mut self, now: Micros, wall: u64, out: &mut Vec<Effect>) {
        let done = self.shelf.commit(wall);
        let waiting = std::mem::take(&mut self.waiting);
        match &done {
            Ok(()) => {
                for w in waiting {
                    match w {
                        Waiting::Own(id) => self.copied(id, 200, out),
                        Waiting::Copied(to, id) => self.say(&to, Message::Copied { id, status: 200 }, out),
                        Waiting::Say(effect) => out.push(effect),
                    }
                }
                let touched = std::mem::take(&mut self.touched);
                self.wake(now, &touched, out);
            }
            Err(e) => {
                let status = if matches!(e, SegmentStoreError::Full) { 507 } else { 503 };
                self.fail(e);
                self.hashing.clear();
                self.touched.clear();
                for w in waiting {
                    match w {
                        Waiting::Own(id) => self.copied(id, status, out),
                        Waiting::Copied(to, id) => self.say(&to, Message::Copied { id, status }, out),
                        // What it would have told may not be so.
                        Waiting::Say(Effect::Reply(t, _)) => {
                            out.push(Effect::Reply(t, Reply::later("the disk failed")))
                        }
                        Waiting::Say(_) => {}
                    }
                }
            }
        }
    }

    /// Works off what is due: overdue copies, healing, retention, compaction, scrubbing.
    pub fn tick(&mut self, now: Micros, wall: u64, out: &mut Vec<Effect>) {
        self.overdue(now, out);
        self.expire(now, out);
        if now >= self.beat_at {
            self.beat_at = now + Micros(self.options.patience.0 / 4);
            for m in &self.list().members {
                if m.name != self.options.name {
                    self.say(&m.name, Message::Beat, out);
                }
            }
            let silent = self.options.silent;
            self.writers.retain(|_, h| now.since(h.at) < silent);
        }
        if self.broken.is_some() {
            return;
        }
        self.heal(now, out);
        if now >= self.keep_at && self.keep.wait(now, 1) == Micros(0) {
            self.keep_at = now + Micros::from_millis(200);
            if let Err(e) = self.tidy(now, wall) {
                self.fail(&e);
            }
        }
    }

    /// One small step of everything that keeps the shelf in shape.
    fn tidy(&mut self, now: Micros, wall: u64) -> Result<(), SegmentStoreError> {
        if self.shelf.has_staged() {
            return Ok(());
        }
        let gone = self.shelf.retire(&self.options.retention, wall, |of| self.writers.contains_key(of))?;
        for key in &gone {
            tracing::info!(stream = %key, "dropped: its time is over, or its team has too much");
        }
        let budget = (self.options.keep_bytes / 4).max(1 << 16);
        if self.shelf.compact(budget, wall)? {
            self.keep.take(now, budget);
        } else {
            let read = self.shelf.scrub()?;
            self.keep.take(now, read);
        }
        Ok(())
    }

    fn heard(&mut self, now: Micros, of: &AttemptKey, stalled: u64) {
        // Writers beyond this many are taken for alive as long as chunks come.
        if self.writers.len() < 200_000 || self.writers.contains_key(of) {
            self.writers.insert(of.clone(), Heard { at: now, stalled });
        }
    }
}
