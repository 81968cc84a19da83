//! Any controller to the leader of a job, and back: users' requests and their answers.

use rkyv::{Archive, Deserialize, Serialize};

/// A user's request.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum UserRequest {
    /// Submit: the job's id, and the checked body as the user sent it.
    Submit(String, String),
    /// Query a job.
    Query(String),
    /// Cancel a job.
    Cancel(String),
    /// From form 4 on: why a job waits.
    Why(String),
    /// From form 4 on: whether a task's attempt may write, as `ATTEMPT/TASK`. Text, so that the older kinds keep
    /// their layout.
    Permit(String, String),
}

impl UserRequest {
    /// What it asks for, for logs.
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

    /// The job it is about.
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

/// An answer to a user or agent.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: String,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// An answer with a body.
    #[must_use]
    pub fn json(status: u16, body: &serde_json::Value) -> Reply {
        Reply { status, body: body.to_string(), retry_after: None }
    }

    /// An error with its reason.
    #[must_use]
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": reason }))
    }

    /// Not now; come back.
    #[must_use]
    pub fn retry_later(reason: &str) -> Reply {
        Reply { retry_after: Some(1), ..Reply::error(503, reason) }
    }
}
