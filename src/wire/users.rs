//! Wire formats of the user API: responses about jobs.
//!
//! The protocol's names for a job's id, state, class and kind are `uid`, `stance`, `breed` and `gait`.

pub mod submission;

use crate::job_shard::JobOutcome;
use serde_json::{Value, json};

/// The key of a job's class in submissions and in records derived from them.
pub const CLASS: &str = "breed";
/// The key of a job's kind in submissions and in records derived from them.
const KIND: &str = "gait";
/// The key of a job's state in a response.
const STATE: &str = "stance";

/// The protocol's state of a job that has been accepted and is not running yet.
pub const PENDING: &str = "pending";

/// The protocol's state of a job with this outcome.
pub fn state_word(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Done => "done",
        JobOutcome::Cancelled => "aborted",
    }
}

/// The response to a status query: the job's state, and how many of its tasks are done and running.
pub fn job_state_body(job: &str, stance: &str, done: u32, running: u32) -> Value {
    json!({"uid": job, "stance": stance, "done": done, "running": running})
}

/// The response to a submission that has been stored.
pub fn accepted_body(job: &str) -> Value {
    json!({"uid": job, "stance": PENDING})
}

/// The response to a cancellation, with the outcome of the job.
pub fn outcome_body(job: &str, outcome: JobOutcome) -> Value {
    json!({"uid": job, "stance": state_word(outcome)})
}

/// The response to the query why a job waits: its state, the jobs that it waits for, and any other reason.
pub fn waiting_body(job: &str, state: &str, prerequisites: &[&str], held: Option<&str>) -> Value {
    json!({"uid": job, STATE: state, "waits_for": prerequisites, "held": held})
}

/// Reads a job's state from a response, if it has one.
pub fn read_state(answer: &Value) -> Option<&str> {
    answer.get(STATE).and_then(Value::as_str)
}

/// Whether a stored submission is for a service.
pub fn is_service(submission: &Value) -> bool {
    submission.get(KIND).is_some_and(|kind| kind == "service")
}
