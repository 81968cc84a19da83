//! Forms of the user API: the answers about jobs.
//!
//! The protocol's words for a job and its state stand here alone: `uid`, `stance`, `breed`, `gait`.

pub mod submission;

use crate::job_shard::JobOutcome;
use serde_json::{Value, json};

/// The key of a job's class, in submissions and in records made of them.
pub const CLASS: &str = "breed";
/// The key of a job's kind, likewise.
const KIND: &str = "gait";
/// The key of a job's state in an answer.
const STATE: &str = "stance";

/// The protocol's word for a job that has been accepted and does not run.
pub const PENDING: &str = "pending";

/// The protocol's word for how a job has ended.
pub fn state_word(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Done => "done",
        JobOutcome::Cancelled => "aborted",
    }
}

/// How a job stands: its state, and how many of its tasks are done and run.
pub fn job_state_body(job: &str, stance: &str, done: u32, running: u32) -> Value {
    json!({"uid": job, "stance": stance, "done": done, "running": running})
}

/// The answer to a submission that is on record.
pub fn accepted_body(job: &str) -> Value {
    json!({"uid": job, "stance": PENDING})
}

/// The answer to a cancellation: how the job has ended.
pub fn outcome_body(job: &str, outcome: JobOutcome) -> Value {
    json!({"uid": job, "stance": state_word(outcome)})
}

/// The answer to why a job waits: the jobs that it depends on, and what else holds it.
pub fn waiting_body(job: &str, state: &str, prerequisites: &[&str], held: Option<&str>) -> Value {
    json!({"uid": job, STATE: state, "waits_for": prerequisites, "held": held})
}

/// The word for a job's state in an answer, if it has one.
pub fn read_state(answer: &Value) -> Option<&str> {
    answer.get(STATE).and_then(Value::as_str)
}

/// Whether a submission, as it was stored, describes a service.
pub fn is_service(submission: &Value) -> bool {
    submission.get(KIND).is_some_and(|kind| kind == "service")
}
