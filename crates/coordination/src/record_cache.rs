//! What one controller holds of pacts' records: each as last read, from which reading, and which to read next.
//!
//! A reading counts from when its question went out, not from when its answer came: whoever needs to know how things stood
//! *after* some moment asks for a reading that began after it.

use crate::record::{CoordinationRecord, Key, Unreadable};
use hazelsaddle_cluster::time::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A record as far as it is known here.
#[derive(Clone, Debug, PartialEq)]
pub enum Held {
    /// Never read: nothing may rest on it.
    Unread,
    /// There is none.
    Absent,
    /// It can't be used; what rests on it waits.
    Unreadable(Unreadable),
    /// It says this.
    Is(CoordinationRecord),
}

#[derive(Clone, Debug)]
struct Entry {
    held: Held,
    /// Version of the key in the state service.
    store_version: u64,
    /// When the question went out whose answer this is.
    as_of: Micros,
    /// When the present question went out, if one is under way.
    asked: Option<Micros>,
    /// Not before this is it read again.
    next: Micros,
    /// A reading that began no earlier than this is wanted.
    since: Micros,
}

/// Records by key.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    entries: BTreeMap<Key, Entry>,
}

/// A question without an answer is asked again after so long.
const PATIENCE: Micros = Micros::from_millis(4000);

impl RecordCache {
    /// The record is of use here: it is read once, and then again every `pause` by [`RecordCache::due`].
    pub fn want(&mut self, key: &Key) {
        self.entries.entry(key.clone()).or_insert_with(|| Entry {
            held: Held::Unread,
            store_version: 0,
            as_of: Micros(0),
            asked: None,
            next: Micros(0),
            since: Micros(0),
        });
    }

    /// A reading that begins no earlier than `now` is wanted, as soon as possible.
    pub fn want_since(&mut self, key: &Key, now: Micros) {
        self.want(key);
        if let Some(e) = self.entries.get_mut(key) {
            e.since = e.since.max(now);
            e.next = Micros(0);
        }
    }

    /// Forgets records that nobody here needs any more.
    pub fn keep(&mut self, wanted: &BTreeSet<Key>) {
        self.entries.retain(|k, e| wanted.contains(k) || e.asked.is_some());
    }

    /// Records to read now: those never read, those that a newer reading is wanted of, and the others every `pause`.
    pub fn due(&mut self, now: Micros, most: usize) -> Vec<Key> {
        let due = |e: &Entry| match e.asked {
            // An answer may be lost; and one that began too early doesn't help who wants a newer one.
            Some(at) => now.since(at) >= PATIENCE || (e.since > at && now >= e.next),
            None => now >= e.next,
        };
        let mut list: Vec<(Micros, Key)> =
            self.entries.iter().filter(|(_, e)| due(e)).map(|(k, e)| (e.as_of, k.clone())).collect();
        // What was never read goes first, then what was read longest ago.
        list.sort();
        list.truncate(most);
        list.into_iter().map(|(_, k)| k).collect()
    }

    /// The question goes out.
    pub fn asked(&mut self, key: &Key, now: Micros) {
        if let Some(e) = self.entries.get_mut(key) {
            e.asked = Some(now);
        }
    }

    /// The state service has answered the question of `sent`: the value and its mark, or that there is none. Returns whether
    /// anything is new. An answer that is older than one that has come already is dropped.
    pub fn read(&mut self, key: &Key, sent: Micros, next: Micros, row: Option<(&Value, u64)>) -> bool {
        let Some(e) = self.entries.get_mut(key) else { return false };
        if e.asked == Some(sent) {
            e.asked = None;
        }
        let store_version = row.map_or(0, |(_, m)| m);
        if sent < e.as_of || (store_version < e.store_version && store_version != 0) {
            return false;
        }
        e.as_of = sent;
        e.next = if e.since > sent { Micros(0) } else { next };
        let held = match row.map(|(v, _)| CoordinationRecord::read(v)) {
            None => Held::Absent,
            Some(Ok(r)) => Held::Is(r),
            Some(Err(why)) => Held::Unreadable(why),
        };
        let news = held != e.held || store_version != e.store_version;
        (e.held, e.store_version) = (held, store_version);
        news
    }

    /// No answer, or a refusal: asked again from `next` on.
    pub fn failed(&mut self, key: &Key, next: Micros) {
        if let Some(e) = self.entries.get_mut(key) {
            (e.asked, e.next) = (None, next);
        }
    }

    /// Our own change is on record with this mark.
    pub fn committed(&mut self, key: &Key, sent: Micros, record: CoordinationRecord, store_version: u64) {
        if let Some(e) = self.entries.get_mut(key)
            && store_version > e.store_version
        {
            (e.held, e.store_version, e.as_of) = (Held::Is(record), store_version, e.as_of.max(sent));
        }
    }

    /// What it says, as far as is known.
    #[must_use]
    pub fn get(&self, key: &Key) -> &Held {
        self.entries.get(key).map_or(&Held::Unread, |e| &e.held)
    }

    /// What it said in a reading that began no earlier than `since`.
    #[must_use]
    pub fn get_since(&self, key: &Key, since: Micros) -> Option<&Held> {
        self.entries.get(key).filter(|e| e.held != Held::Unread && e.as_of >= since).map(|e| &e.held)
    }

    /// The mark that a change of it, or a job that joins it, is conditional on; 0: there is no record.
    #[must_use]
    pub fn store_version(&self, key: &Key) -> u64 {
        self.entries.get(key).map_or(0, |e| e.store_version)
    }

    /// All records held, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Held)> {
        self.entries.iter().map(|(k, e)| (k, &e.held))
    }
}

#[cfg(test)]
mod tests;
