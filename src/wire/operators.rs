//! Bodies of operators' requests below `/ops/`. The names of the types are in the texts of errors.

use serde::Deserialize;

/// The body of `POST /ops/releases/close` and `/ops/releases/reopen`.
#[derive(Deserialize)]
pub struct Release {
    /// The title.
    pub title: String,
    /// The night, YYYY-MM-DD; without it the latest.
    #[serde(default)]
    pub night: Option<String>,
}

/// The body of `POST /ops/releases/waive`.
#[derive(Deserialize)]
pub struct Waive {
    /// The title.
    pub title: String,
    /// The night, YYYY-MM-DD; without it the latest.
    #[serde(default)]
    pub night: Option<String>,
    /// The job, or `missing`.
    pub job: String,
    /// Why the rotation may do without it.
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
