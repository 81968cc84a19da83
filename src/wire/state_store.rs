//! Forms of the state service: keys and versions, transactions, leases, watches.
//!
//! Source: PROTOCOL, the headings on the state service. Texts that are sent have their keys in alphabetical order.

use crate::state_store::{KeyValue, StoreAnswer, Transaction};
use serde::Deserialize;
use serde_json::{Value, json};

/// How the service says that a transaction names a lease which has ended.
pub(crate) const NO_SUCH_LEASE: &str = "no such lease";

/// An answer of the state service whose body is not of the form that its status promises.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct MalformedAnswer(#[from] serde_json::Error);

/// A key with its value and version.
#[derive(Deserialize)]
pub(crate) struct KeyRow {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "v")]
    value: Value,
    #[serde(rename = "mark")]
    version: u64,
}

impl From<KeyRow> for KeyValue {
    fn from(row: KeyRow) -> KeyValue {
        KeyValue { key: row.key, value: row.value, store_version: row.version }
    }
}

/// A page of keys.
#[derive(Deserialize)]
pub(crate) struct KeyPage {
    rows: Vec<KeyRow>,
    #[serde(default)]
    more: bool,
}

impl From<KeyPage> for StoreAnswer {
    fn from(page: KeyPage) -> StoreAnswer {
        StoreAnswer::Page(page.rows.into_iter().map(KeyValue::from).collect(), page.more)
    }
}

/// The keys whose preconditions failed.
#[derive(Deserialize)]
pub(crate) struct FailedKeys {
    #[serde(default)]
    pub(crate) failed: Vec<String>,
}

/// The store's revision, in the answer to a commit or a list.
#[derive(Deserialize)]
pub(crate) struct RevisionForm {
    #[serde(rename = "ledger")]
    pub(crate) revision: u64,
}

/// What was written after a revision.
#[derive(Deserialize)]
pub(crate) struct Changes {
    #[serde(rename = "ledger")]
    revision: u64,
    #[serde(default)]
    events: Vec<Change>,
}

/// One change: a key that was written, or something else that does not matter here.
#[derive(Deserialize)]
struct Change {
    #[serde(rename = "write")]
    written_key: Option<String>,
    #[serde(rename = "v", default)]
    value: Value,
}

impl From<Changes> for StoreAnswer {
    fn from(changes: Changes) -> StoreAnswer {
        let written =
            changes.events.into_iter().filter_map(|change| Some((change.written_key?, change.value)));
        StoreAnswer::Changes(changes.revision, written.collect())
    }
}

/// A lease that was granted.
#[derive(Deserialize)]
pub(crate) struct Lease {
    #[serde(rename = "tether")]
    pub(crate) id: u64,
}

/// The body of an atomic change.
pub(crate) fn commit_body(transaction: &Transaction) -> String {
    let preconditions: Vec<Value> =
        transaction.conditions.iter().map(|(key, version)| json!({"k": key, "mark": version})).collect();
    let puts = transaction.puts.iter().map(|(key, value, lease)| match lease {
        Some(lease) => json!({"write": key, "v": value, "tether": lease}),
        None => json!({"write": key, "v": value}),
    });
    let deletions = transaction.deletes.iter().map(|key| json!({"drop": key}));
    let writes: Vec<Value> = puts.chain(deletions).collect();
    json!({"if": preconditions, "writes": writes}).to_string()
}

/// The body of a request for a lease.
pub(crate) fn grant_body(ms: u64) -> String {
    json!({ "lifeMs": ms }).to_string()
}
