//! Request bodies of the operator API below `/ops/`. The names of the types appear in error messages to operators.

use serde::Deserialize;

/// The body of `POST /ops/releases/close` and `/ops/releases/reopen`.
#[derive(Deserialize)]
pub struct Release {
    /// The title.
    pub title: String,
    /// The night as YYYY-MM-DD; the latest night if it is missing.
    #[serde(default)]
    pub night: Option<String>,
}

/// The body of `POST /ops/releases/waive`.
#[derive(Deserialize)]
pub struct Waive {
    /// The title.
    pub title: String,
    /// The night as YYYY-MM-DD; the latest night if it is missing.
    #[serde(default)]
    pub night: Option<String>,
    /// The id of the job to waive, or `missing` for all missing renders.
    pub job: String,
    /// Why the rotation may start without it.
    pub why: String,
}

/// The body of `POST /ops/batches`.
#[derive(Deserialize)]
pub struct Batch {
    /// The batch's name.
    pub name: String,
    /// Its version.
    pub version: u64,
}
