//! Requests to the state service and what became of them, in the code's own types.

use crate::units::Micros;
use serde_json::Value;

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Read a key.
    Get(String),
    /// Read a page of the keys with this prefix, from behind the second key on (empty: from the first one on).
    List(String, String),
    /// An atomic, conditional change.
    Transaction(Transaction),
    /// A new lease of that many milliseconds.
    Grant(u64),
    /// Renew a lease.
    Renew(u64),
    /// The store's present revision.
    Revision,
    /// Wait until a key with this prefix has changed after a revision, for that long at most.
    Watch(String, u64, Micros),
}

/// An atomic change: it is made as a whole if every precondition holds, and not at all otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Keys and the versions they must have; 0: the key must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys to write, with a lease if the key is to end with it.
    pub puts: Vec<(String, Value, Option<u64>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

impl Transaction {
    /// How much of the write budget it takes: one for each key that is written or deleted.
    #[must_use]
    pub fn cost(&self) -> f64 {
        (self.puts.len() + self.deletes.len()) as f64
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// Its version, for compare-and-swap.
    pub store_version: u64,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// The key's value, or none.
    Got(Option<KeyValue>),
    /// A page; whether there is more.
    Page(Vec<KeyValue>, bool),
    /// The change was made, at this revision.
    Committed(u64),
    /// A precondition failed, for these keys.
    Conflict(Vec<String>),
    /// The lease named does not exist any more.
    NoLease,
    /// A new lease.
    Granted(u64),
    /// The lease was renewed.
    Renewed,
    /// The store's present revision.
    CurrentRevision(u64),
    /// The revision up to which the store has looked, and the keys that were written, with values.
    Changes(u64, Vec<(String, Value)>),
    /// The changes asked for are no longer kept.
    Compacted,
    /// Certainly not carried out (429, 503, or a transaction that the service calls malformed).
    Refused,
    /// No usable answer: it may have been carried out, or may yet be.
    Unknown,
}
