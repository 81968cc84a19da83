//! Typed requests to the state store, and their results.

use crate::units::Micros;
use serde_json::Value;

/// A request to the state store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Read a key.
    Get(String),
    /// Read a page of the keys with a prefix: (prefix, key after which the page begins; empty for the first page).
    List(String, String),
    /// Make an atomic, conditional change.
    Transaction(Transaction),
    /// Grant a new lease with this duration in milliseconds.
    Grant(u64),
    /// Renew the lease with this id.
    Renew(u64),
    /// Read the store's current revision.
    Revision,
    /// Wait until a key with a prefix changes after a revision: (prefix, revision, longest wait).
    Watch(String, u64, Micros),
}

/// An atomic change. It is applied completely if every precondition holds, and not at all otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Preconditions: keys and the versions they must have; 0 if the key must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys to write, with their values and optionally the lease with which the key expires.
    pub puts: Vec<(String, Value, Option<u64>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

impl Transaction {
    /// The cost in tokens of the write rate limiter: one for each key that is written or deleted.
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

/// The result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// The key with its value; None if it does not exist.
    Got(Option<KeyValue>),
    /// A page of keys, and whether more pages follow.
    Page(Vec<KeyValue>, bool),
    /// The transaction was committed at this revision.
    Committed(u64),
    /// The transaction was not applied because the preconditions on these keys failed.
    Conflict(Vec<String>),
    /// The lease in the request no longer exists.
    NoLease,
    /// A lease was granted, with this id.
    Granted(u64),
    /// The lease was renewed.
    Renewed,
    /// The store's current revision.
    CurrentRevision(u64),
    /// The revision up to which changes are included, and the keys that were written, with their values.
    Changes(u64, Vec<(String, Value)>),
    /// The requested changes have been compacted and can no longer be read.
    Compacted,
    /// The request was certainly not carried out (429, 503, or the service called the transaction malformed).
    Refused,
    /// There was no usable answer. The request may have been carried out, or may still be carried out later.
    Unknown,
}
