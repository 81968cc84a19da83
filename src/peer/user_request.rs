//! Any controller to the leader of a job, and back: forwarded user requests and their replies.

use super::Refusal;
use rkyv::{Archive, Deserialize, Serialize};

/// A user's request.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum UserRequest {
    /// Submit a job: its id, and the validated body as the user sent it.
    Submit(String, String),
    /// Query a job.
    Query(String),
    /// Cancel a job.
    Cancel(String),
    /// Since format version 4: query why a job waits.
    Why(String),
    /// Since format version 4: query whether an attempt of a task may write its output. The second field is
    /// `ATTEMPT/TASK`, as text so that the layout of the older variants stays the same.
    Permit(String, String),
}

impl UserRequest {
    /// The kind of the request, for logs.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            UserRequest::Submit(..) => "submit",
            UserRequest::Query(_) => "query",
            UserRequest::Cancel(_) => "withdraw",
            UserRequest::Why(_) => "why",
            UserRequest::Permit(..) => "permit",
        }
    }

    /// The id of the job that the request is about.
    #[must_use]
    pub fn job(&self) -> &str {
        match self {
            UserRequest::Submit(id, _)
            | UserRequest::Query(id)
            | UserRequest::Cancel(id)
            | UserRequest::Why(id)
            | UserRequest::Permit(id, _) => id,
        }
    }
}

/// A reply to a user or a worker.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: String,
    /// Seconds after which the client should retry.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// A reply with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: &serde_json::Value) -> Reply {
        Reply { status, body: body.to_string(), retry_after: None }
    }

    /// An error reply with its reason.
    #[must_use]
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": reason }))
    }

    /// The refusal of a user's request for the time being.
    #[must_use]
    pub fn refuse(refusal: Refusal) -> Reply {
        Reply::retry_later(refusal.text())
    }

    /// A 503 reply that asks the client to retry after a second.
    #[must_use]
    pub fn retry_later(reason: &str) -> Reply {
        Reply { retry_after: Some(1), ..Reply::error(503, reason) }
    }
}
