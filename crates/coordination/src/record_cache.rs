//! What one controller holds of coordination records: each as last read, from which reading, and which to read next.
//!
//! A reading counts from when its request went out, not from when its answer came: whoever needs to know how things stood
//! *after* some moment asks for a reading that began after it.

use crate::record::{CoordinationRecord, Key, Unreadable};
use hazelsaddle_cluster::time::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A request without an answer is repeated after so long.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(4000);

/// A record as far as it is known here.
#[derive(Clone, Debug, PartialEq)]
pub enum CachedRecord {
    /// Never read: nothing may rest on it.
    NotRead,
    /// There is none.
    Absent,
    /// It can't be used; what rests on it waits.
    Unreadable(Unreadable),
    /// It says this.
    Present(CoordinationRecord),
}

#[derive(Clone, Debug)]
struct Entry {
    cached: CachedRecord,
    /// Version of the key in the state service; 0: there is no record.
    store_version: u64,
    /// When the request went out whose answer this is.
    as_of: Micros,
    /// When the present request went out, if one is under way.
    requested_at: Option<Micros>,
    /// Not before this is it read again.
    next_read: Micros,
    /// A reading that began no earlier than this is wanted.
    wanted_since: Micros,
}

impl Entry {
    fn new() -> Entry {
        Entry {
            cached: CachedRecord::NotRead,
            store_version: 0,
            as_of: Micros(0),
            requested_at: None,
            next_read: Micros(0),
            wanted_since: Micros(0),
        }
    }

    fn is_due(&self, now: Micros) -> bool {
        match self.requested_at {
            // An answer may be lost; and one that began too early doesn't help who wants a newer one.
            Some(at) => now.since(at) >= REQUEST_TIMEOUT || (self.wanted_since > at && now >= self.next_read),
            None => now >= self.next_read,
        }
    }
}

/// Records by key.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    entries: BTreeMap<Key, Entry>,
}

impl RecordCache {
    /// The record is of use here: it is read once, and then again as [`RecordCache::due`] says. Does nothing if it is held.
    pub fn track(&mut self, key: &Key) {
        self.entries.entry(key.clone()).or_insert_with(Entry::new);
    }

    /// A reading that begins no earlier than `now` is wanted, as soon as possible.
    pub fn require_read_since(&mut self, key: &Key, now: Micros) {
        self.track(key);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.wanted_since = entry.wanted_since.max(now);
            entry.next_read = Micros(0);
        }
    }

    /// Forgets records that nobody here needs any more, except those being read.
    pub fn retain(&mut self, wanted: &BTreeSet<Key>) {
        self.entries.retain(|key, entry| wanted.contains(key) || entry.requested_at.is_some());
    }

    /// Up to `most` records to read now: those never read, those that a newer reading is wanted of, and the others once the
    /// time that their last reading set has come. What was read longest ago goes first.
    #[must_use]
    pub fn due_reads(&self, now: Micros, most: usize) -> Vec<Key> {
        let mut due: Vec<(Micros, Key)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_due(now))
            .map(|(key, entry)| (entry.as_of, key.clone()))
            .collect();
        due.sort();
        due.truncate(most);
        due.into_iter().map(|(_, key)| key).collect()
    }

    /// The request to read it goes out.
    pub fn record_request(&mut self, key: &Key, now: Micros) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.requested_at = Some(now);
        }
    }

    /// Applies the state service's answer to the request of `sent`: the value and its version, or that there is none. It is
    /// not read again before `next_read`, unless a newer reading is wanted. Returns whether anything is new. An answer that
    /// is older than one that has come already is dropped.
    pub fn apply_answer(
        &mut self,
        key: &Key,
        sent: Micros,
        next_read: Micros,
        row: Option<(&Value, u64)>,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if entry.requested_at == Some(sent) {
            entry.requested_at = None;
        }
        let store_version = row.map_or(0, |(_, version)| version);
        if sent < entry.as_of || (store_version < entry.store_version && store_version != 0) {
            return false;
        }
        entry.as_of = sent;
        entry.next_read = if entry.wanted_since > sent { Micros(0) } else { next_read };
        let cached = match row.map(|(value, _)| CoordinationRecord::read(value)) {
            None => CachedRecord::Absent,
            Some(Ok(record)) => CachedRecord::Present(record),
            Some(Err(reason)) => CachedRecord::Unreadable(reason),
        };
        let is_new = cached != entry.cached || store_version != entry.store_version;
        entry.cached = cached;
        entry.store_version = store_version;
        is_new
    }

    /// No answer, or a refusal: it is read again from `next_read` on.
    pub fn record_failure(&mut self, key: &Key, next_read: Micros) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.requested_at = None;
            entry.next_read = next_read;
        }
    }

    /// Applies a change of our own, which was requested at `sent` and is stored with this version.
    pub fn apply_commit(&mut self, key: &Key, sent: Micros, record: CoordinationRecord, store_version: u64) {
        if let Some(entry) = self.entries.get_mut(key)
            && store_version > entry.store_version
        {
            entry.cached = CachedRecord::Present(record);
            entry.store_version = store_version;
            entry.as_of = entry.as_of.max(sent);
        }
    }

    /// The record, as far as it is known.
    #[must_use]
    pub fn get(&self, key: &Key) -> &CachedRecord {
        self.entries.get(key).map_or(&CachedRecord::NotRead, |entry| &entry.cached)
    }

    /// The record by a reading that began no earlier than `since`; None if there is no such reading.
    #[must_use]
    pub fn get_since(&self, key: &Key, since: Micros) -> Option<&CachedRecord> {
        self.entries
            .get(key)
            .filter(|entry| entry.cached != CachedRecord::NotRead && entry.as_of >= since)
            .map(|entry| &entry.cached)
    }

    /// The version that a change of it, or a job that joins it, is conditional on; 0: there is no record.
    #[must_use]
    pub fn store_version(&self, key: &Key) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.store_version)
    }

    /// All records held, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &CachedRecord)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.cached))
    }
}

#[cfg(test)]
mod tests;
