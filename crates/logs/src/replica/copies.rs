//! Copies: stores compare what they should both hold, part by part of the ring, and send each other what is
//! missing. A store that holds what isn't its own hands it to the owners and lets go once all of them have it.
//!
//! All of it is repeated round after round, so that a lost message costs a delay and nothing else, and bounded in
//! bytes a second, so that it never crowds out what shippers send.

use super::{Effect, Replica, Waiting};
use crate::index::Stream;
use crate::key::StreamKey;
use crate::limits::Bucket;
use crate::wire::{Batch, Message, State};
use hazelsaddle_cluster::time::Micros;
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};

/// Streams in one message.
const PAGE: usize = 200;
/// Bytes of chunks in one message.
const LOAD: usize = 512 << 10;
/// Streams handed over at a time.
const HANDED: usize = 32;

/// Where the rounds stand.
pub(super) struct Heal {
    at: Micros,
    part: u8,
    peer: usize,
    budget: Bucket,
    /// Streams that are not ours: what we held when we asked, and which owners have all of it.
    handing: BTreeMap<StreamKey, (u64, BTreeSet<String>)>,
    /// Streams met in this round and in the last that are not ours.
    foreign: (usize, Option<usize>),
    /// Chunks sent to heal or hand over.
    pub sent: u64,
    /// Streams let go after handing them over.
    pub released: u64,
}

impl Heal {
    pub(super) fn new(bytes: u64, now: Micros) -> Heal {
        Heal {
            at: now,
            part: 0,
            peer: 0,
            budget: Bucket::new(bytes, bytes, now),
            handing: BTreeMap::new(),
            foreign: (0, None),
            sent: 0,
            released: 0,
        }
    }
    /// The list of stores has changed: whoever confirmed something may not be an owner any more.
    pub(super) fn restart(&mut self) {
        self.handing.clear();
        self.foreign = (0, None);
        (self.part, self.peer) = (0, 0);
    }
    /// How many streams of the last round are not ours; None before the first round is over.
    pub(super) fn foreign(&self) -> Option<usize> {
        self.foreign.1
    }
}

/// The part of the ring from one place to another (0: the end).
fn bounds(part: u8) -> (u64, u64) {
    let from = u64::from(part) << 56;
    (from, if part == u8::MAX { 0 } else { (u64::from(part) + 1) << 56 })
}

fn order(key: &StreamKey) -> (u64, Vec<u8>) {
    (key.of.place(), key.sorted())
}

fn state_of(key: &StreamKey, s: Option<&Stream>) -> State {
    let mut held = Vec::new();
    if let Some(s) = s {
        // Writing to memory does not fail.
        let _ = s.held.serialize_into(&mut held);
    }
    State { stream: key.clone(), held, dropped: s.and_then(|s| s.dropped) }
}

fn held_of(state: &State) -> RoaringBitmap {
    RoaringBitmap::deserialize_from(state.held.as_slice()).unwrap_or_default()
}

impl Replica {
    fn owns(&self, name: &str, key: &StreamKey) -> bool {
        self.members.owners(key.of.place(), self.options.copies).iter().any(|m| m.name == name)
    }

    /// What we hold of a part of the ring that `peer` and we both own.
    fn shared(
        &self,
        part: u8,
        peer: &str,
        after: Option<&StreamKey>,
        most: usize,
    ) -> Vec<(StreamKey, Stream)> {
        let (from, to) = bounds(part);
        let found = self.shelf.placed(from, to, after, most).unwrap_or_default();
        let me = self.options.name.as_str();
        found
            .into_iter()
            .filter(|(key, s)| {
                (!s.is_empty() || s.dropped.is_some()) && self.owns(me, key) && self.owns(peer, key)
            })
            .collect()
    }

    fn sum(&self, part: u8, peer: &str) -> u64 {
        let shared = self.shared(part, peer, None, usize::MAX);
        shared.iter().fold(0u64, |sum, (key, s)| {
            let gone = u64::from(s.dropped.is_some());
            let digest = if s.dropped.is_some() { 0 } else { s.digest };
            let own = hazelsaddle_cluster::hash_ring::hash(&format!("{key}"))
                .wrapping_add(digest)
                .wrapping_add(gone);
            sum.wrapping_add(own.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (own >> 29))
        })
    }

    /// The next comparison of the round, if it is due.
    pub(super) fn heal(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.heal.at {
            return;
        }
        self.heal.at = now + self.options.heal_every;
        let me = self.options.name.as_str();
        let others: Vec<String> =
            self.list().members.iter().map(|m| m.name.clone()).filter(|n| n != me).collect();
        let part = self.heal.part;
        if self.heal.peer == 0 {
            self.hand_over(part, out);
        }
        if let Some(peer) = others.get(self.heal.peer) {
            if self.is_there(now, peer) {
                let sum = self.sum(part, peer);
                self.say(peer, Message::Digest { part, sum }, out);
            }
            self.heal.peer += 1;
        }
        if self.heal.peer >= others.len() {
            self.heal.peer = 0;
            self.heal.part = part.wrapping_add(1);
            if self.heal.part == 0 {
                self.heal.foreign = (0, Some(self.heal.foreign.0));
            }
        }
    }

    /// Asks the owners of what isn't ours how much of it they have.
    fn hand_over(&mut self, part: u8, out: &mut Vec<Effect>) {
        let (from, to) = bounds(part);
        let me = self.options.name.clone();
        let mut asked: BTreeMap<String, Vec<StreamKey>> = BTreeMap::new();
        let found = self.shelf.placed(from, to, None, usize::MAX).unwrap_or_default();
        let strange =
            found.iter().filter(|(key, s)| !s.is_empty() && s.dropped.is_none() && !self.owns(&me, key));
        let mut count = 0;
        let mut handing = Vec::new();
        for (key, s) in strange {
            count += 1;
            if count <= HANDED {
                for m in self.members.owners(key.of.place(), self.options.copies) {
                    asked.entry(m.name.clone()).or_default().push(key.clone());
                }
                handing.push((key.clone(), s.digest));
            }
        }
        for (key, digest) in handing {
            let e = self.heal.handing.entry(key).or_insert_with(|| (digest, BTreeSet::new()));
            if e.0 != digest {
                *e = (digest, BTreeSet::new());
            }
        }
        self.heal.foreign.0 += count;
        for (to, streams) in asked {
            self.say(&to, Message::AskOf(streams), out);
        }
    }

    /// What another store says in the course of a comparison. Answers tell what is synced and go out behind the next
    /// sync, so that nobody lets go of anything for the sake of what isn't certain.
    pub(super) fn compared(
        &mut self,
        now: Micros,
        wall: u64,
        from: &str,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Digest { part, sum } if self.sum(part, from) != sum => self.states(from, part, None),
            Message::AskStates { part, after } => self.states(from, part, after),
            Message::States { part, after, until, list } => {
                self.compare(now, wall, from, part, after.as_ref(), until.as_ref(), &list, out);
                if until.is_some() {
                    self.say(from, Message::AskStates { part, after: until }, out);
                }
            }
            Message::AskOf(streams) => {
                let state = |key: &StreamKey| {
                    let s = self.shelf.stream(key).ok().flatten();
                    state_of(key, s.as_ref())
                };
                let list: Vec<State> = streams.iter().take(HANDED).map(state).collect();
                let frame = self.frame(Message::StatesOf(list));
                self.waiting.push(Waiting::Say(Effect::Send(from.to_owned(), frame)));
            }
            Message::StatesOf(list) => self.handed(now, wall, from, &list, out),
            Message::Drop(stream) => self.drop_too(wall, stream),
            _ => {}
        }
    }

    fn states(&mut self, to: &str, part: u8, after: Option<StreamKey>) {
        let (from_place, to_place) = bounds(part);
        let page = self.shelf.placed(from_place, to_place, after.as_ref(), PAGE).unwrap_or_default();
        let until = if page.len() == PAGE { page.last().map(|(key, _)| key.clone()) } else { None };
        let me = self.options.name.as_str();
        let list: Vec<State> = page
            .iter()
            .filter(|(key, _)| self.owns(me, key) && self.owns(to, key))
            .map(|(key, s)| state_of(key, Some(s)))
            .collect();
        let frame = self.frame(Message::States { part, after, until, list });
        self.waiting.push(Waiting::Say(Effect::Send(to.to_owned(), frame)));
    }

    #[allow(clippy::too_many_arguments)]
    fn compare(
        &mut self,
        now: Micros,
        wall: u64,
        from: &str,
        part: u8,
        after: Option<&StreamKey>,
        until: Option<&StreamKey>,
        list: &[State],
        out: &mut Vec<Effect>,
    ) {
        let theirs: BTreeMap<&StreamKey, &State> = list.iter().map(|s| (&s.stream, s)).collect();
        let last = until.map(order);
        let mine = self.shared(part, from, after, usize::MAX);
        for (key, s) in mine {
            if last.as_ref().is_some_and(|l| order(&key) > *l) {
                break;
            }
            let their = theirs.get(&key);
            let they_dropped = their.is_some_and(|t| t.dropped.is_some());
            match (s.dropped.is_some(), they_dropped) {
                (true, false) => self.say(from, Message::Drop(key), out),
                (false, true) => self.drop_too(wall, key),
                (false, false) => {
                    let held = their.map(|t| held_of(t)).unwrap_or_default();
                    if !self.push(now, from, &key, &s, &held, out) {
                        // The budget is spent; the next round goes on.
                        return;
                    }
                }
                (true, true) => {}
            }
        }
    }

    /// A stream that was dropped elsewhere for good is dropped here, too: or each would bring it back to the other.
    fn drop_too(&mut self, wall: u64, stream: StreamKey) {
        if stream.check().is_err() {
            return;
        }
        tracing::info!(%stream, "dropped: another store has dropped it");
        if let Err(e) = self.shelf.drop_streams(&[stream], wall) {
            self.fail(&e);
        }
    }

    /// Sends chunks that another store lacks. False if the budget ran out.
    fn push(
        &mut self,
        now: Micros,
        to: &str,
        key: &StreamKey,
        s: &Stream,
        held: &RoaringBitmap,
        out: &mut Vec<Effect>,
    ) -> bool {
        let missing = &s.held - held;
        let mut chunks = Vec::new();
        let mut bytes = 0;
        let batch = |chunks| Batch { stream: key.clone(), team: s.team.clone(), token: s.token, chunks };
        let mut enough = true;
        for n in missing.iter() {
            if self.heal.budget.wait(now, 1) > Micros(0) {
                enough = false;
                break;
            }
            // A damaged chunk is reported where it is read, and comes from another copy.
            let Ok(Some(chunk)) = self.shelf.read(key, n) else { continue };
            let len = chunk.body.len() + 64;
            self.heal.budget.take(now, len as u64);
            self.heal.sent += 1;
            bytes += len;
            chunks.push(chunk);
            if bytes >= LOAD {
                self.say(to, Message::Copy { id: 0, batch: batch(std::mem::take(&mut chunks)) }, out);
                bytes = 0;
            }
        }
        if !chunks.is_empty() {
            self.say(to, Message::Copy { id: 0, batch: batch(chunks) }, out);
        }
        enough
    }

    /// An owner says what it has of streams that are not ours.
    fn handed(&mut self, now: Micros, wall: u64, from: &str, list: &[State], out: &mut Vec<Effect>) {
        let mut going = Vec::new();
        for state in list {
            let key = &state.stream;
            let Some(s) = self.shelf.stream(key).ok().flatten() else { continue };
            let owners: Vec<String> = self
                .members
                .owners(key.of.place(), self.options.copies)
                .iter()
                .map(|m| m.name.clone())
                .collect();
            if s.is_empty() || owners.contains(&self.options.name) || !owners.iter().any(|o| o == from) {
                continue;
            }
            if state.dropped.is_some() {
                self.drop_too(wall, key.clone());
                continue;
            }
            let held = held_of(state);
            if !held.is_superset(&s.held) {
                if !self.push(now, from, key, &s, &held, out) {
                    break;
                }
                continue;
            }
            if let Some((digest, confirmed)) = self.heal.handing.get_mut(key)
                && *digest == s.digest
            {
                confirmed.insert(from.to_owned());
                if owners.iter().all(|o| confirmed.contains(o)) {
                    going.push(key.clone());
                }
            }
        }
        if going.is_empty() {
            return;
        }
        // What came for them since is still staged, and would go unseen.
        if self.shelf.has_staged() {
            return;
        }
        for key in &going {
            self.heal.handing.remove(key);
            self.heal.released += 1;
        }
        if let Err(e) = self.shelf.release(&going, wall) {
            self.fail(&e);
        }
    }
}
