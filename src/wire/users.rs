//! Forms of the user API: the answers about jobs.
//!
//! The protocol's words for a job's state stand here alone: `uid`, `stance`.

pub mod submission;

use crate::job_shard::JobOutcome;
use serde_json::{Value, json};

/// The protocol's word for a job that has been accepted and does not run.
pub const PENDING: &str = "pending";

/// The protocol's word for how a job has ended.
pub fn stance_of(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Done => "done",
        JobOutcome::Cancelled => "aborted",
    }
}

/// How a job stands: its state, and how many of its tasks are done and run.
pub fn job_state(job: &str, stance: &str, done: u32, running: u32) -> Value {
    json!({"uid": job, "stance": stance, "done": done, "running": running})
}

/// The answer to a submission that is on record.
pub fn accepted(job: &str) -> Value {
    json!({"uid": job, "stance": PENDING})
}

/// The answer to a cancellation: how the job has ended.
pub fn outcome(job: &str, outcome: JobOutcome) -> Value {
    json!({"uid": job, "stance": stance_of(outcome)})
}
