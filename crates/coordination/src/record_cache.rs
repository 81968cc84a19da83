//! The cache that one controller keeps of coordination records: each as last read, when that read began, and which
//! record to read next.
//!
//! A read counts from the time at which its request was sent, not from the time of its response. To learn the state
//! *after* some moment, a caller requires a read that began after that moment.

use crate::record::{CoordinationRecord, Key, Unreadable};
use hazelsaddle_cluster::time::Micros;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A request without a response is repeated after this time.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(4000);

/// A coordination record as far as this controller has read it.
#[derive(Clone, Debug, PartialEq)]
pub enum CachedRecord {
    /// It has not been read yet, so no decision may be based on it.
    NotRead,
    /// The record does not exist.
    Absent,
    /// It can't be used; decisions that depend on it wait.
    Unreadable(Unreadable),
    /// It was read.
    Present(CoordinationRecord),
}

#[derive(Clone, Debug)]
struct Entry {
    cached: CachedRecord,
    /// Version of the key in the state store; 0 if the record does not exist.
    store_version: u64,
    /// When the request was sent whose response this is.
    read_started_at: Micros,
    /// When the request in flight was sent, if there is one.
    in_flight_since: Option<Micros>,
    /// The earliest time of the next read.
    next_read: Micros,
    /// A read that began no earlier than this is required.
    required_since: Micros,
}

impl Entry {
    fn new() -> Entry {
        Entry {
            cached: CachedRecord::NotRead,
            store_version: 0,
            read_started_at: Micros(0),
            in_flight_since: None,
            next_read: Micros(0),
            required_since: Micros(0),
        }
    }

    fn is_due(&self, now: Micros) -> bool {
        match self.in_flight_since {
            // The response may be lost. A request that was sent too early does not yield the required newer read.
            Some(at) => {
                now.since(at) >= REQUEST_TIMEOUT || (self.required_since > at && now >= self.next_read)
            }
            None => now >= self.next_read,
        }
    }
}

/// Coordination records by key.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    entries: BTreeMap<Key, Entry>,
}

impl RecordCache {
    /// Adds a record to the cache. It is read once, and then again as [`RecordCache::due_reads`] returns it. Does nothing
    /// if the cache already has it.
    pub fn track(&mut self, key: &Key) {
        self.entries.entry(key.clone()).or_insert_with(Entry::new);
    }

    /// Requires a read that begins no earlier than `now`, as soon as possible.
    pub fn require_read_since(&mut self, key: &Key, now: Micros) {
        self.track(key);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.required_since = entry.required_since.max(now);
            entry.next_read = Micros(0);
        }
    }

    /// Drops the records that are not in `wanted`, except those being read.
    pub fn retain(&mut self, wanted: &BTreeSet<Key>) {
        self.entries.retain(|key, entry| wanted.contains(key) || entry.in_flight_since.is_some());
    }

    /// Returns up to `max_keys` records to read now: those never read, those of which a newer read is required, and
    /// those whose `next_read` time has come. The records that were read longest ago come first.
    #[must_use]
    pub fn due_reads(&self, now: Micros, max_keys: usize) -> Vec<Key> {
        let mut due: Vec<(Micros, Key)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_due(now))
            .map(|(key, entry)| (entry.read_started_at, key.clone()))
            .collect();
        due.sort();
        due.truncate(max_keys);
        due.into_iter().map(|(_, key)| key).collect()
    }

    /// Records that the request to read a record was sent.
    pub fn record_request(&mut self, key: &Key, now: Micros) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight_since = Some(now);
        }
    }

    /// Applies the state store's response to the request sent at `sent`: the value and its version, or None if the
    /// record does not exist. It is not read again before `next_read`, unless a newer read is required. Returns
    /// whether anything changed. A response that is older than one applied before is dropped.
    pub fn apply_answer(
        &mut self,
        key: &Key,
        sent: Micros,
        next_read: Micros,
        stored: Option<(&Value, u64)>,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if entry.in_flight_since == Some(sent) {
            entry.in_flight_since = None;
        }
        let store_version = stored.map_or(0, |(_, version)| version);
        if sent < entry.read_started_at || (store_version < entry.store_version && store_version != 0) {
            return false;
        }
        entry.read_started_at = sent;
        entry.next_read = if entry.required_since > sent { Micros(0) } else { next_read };
        let cached = match stored.map(|(value, _)| CoordinationRecord::read(value)) {
            None => CachedRecord::Absent,
            Some(Ok(record)) => CachedRecord::Present(record),
            Some(Err(reason)) => CachedRecord::Unreadable(reason),
        };
        let is_changed = cached != entry.cached || store_version != entry.store_version;
        entry.cached = cached;
        entry.store_version = store_version;
        is_changed
    }

    /// Records a failed read. The record is read again from `next_read` on.
    pub fn record_failure(&mut self, key: &Key, next_read: Micros) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight_since = None;
            entry.next_read = next_read;
        }
    }

    /// Applies a change by this controller, which was requested at `sent` and is stored with this version.
    pub fn apply_commit(&mut self, key: &Key, sent: Micros, record: CoordinationRecord, store_version: u64) {
        if let Some(entry) = self.entries.get_mut(key)
            && store_version > entry.store_version
        {
            entry.cached = CachedRecord::Present(record);
            entry.store_version = store_version;
            entry.read_started_at = entry.read_started_at.max(sent);
        }
    }

    /// Returns the record as far as it has been read.
    #[must_use]
    pub fn get(&self, key: &Key) -> &CachedRecord {
        self.entries.get(key).map_or(&CachedRecord::NotRead, |entry| &entry.cached)
    }

    /// Returns the record if it was read by a request sent no earlier than `since`.
    #[must_use]
    pub fn get_since(&self, key: &Key, since: Micros) -> Option<&CachedRecord> {
        self.entries
            .get(key)
            .filter(|entry| entry.cached != CachedRecord::NotRead && entry.read_started_at >= since)
            .map(|entry| &entry.cached)
    }

    /// Returns the store version on which a change of the record, or a job that joins it, is conditional; 0 if the
    /// record does not exist.
    #[must_use]
    pub fn store_version(&self, key: &Key) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.store_version)
    }

    /// Returns all cached records, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &CachedRecord)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.cached))
    }
}

#[cfg(test)]
mod tests;
