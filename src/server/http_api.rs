//! The HTTP API for users, workers, health probes and operators.
//!
//! Checks each request as far as that needs no cluster state and turns it into an event for the controller. Nothing here
//! changes any state.

use super::inbox::{Admission, InboxSender};
use super::operator_api;
use crate::controller::Event;
use crate::machine_shard::Heartbeat;
use crate::peer::{Refusal, Reply, UserRequest};
use crate::spec::{JobSpec, is_job_id};
use crate::wire::users::submission::{BODY_LIMIT_BYTES, read_job_id};
use hazelsaddle_cluster::http_server::{Request, Responder, Response};
use std::sync::atomic::{AtomicU64, Ordering};

/// Longest heartbeat accepted, in bytes; leaves space for a machine with thousands of tasks.
pub(super) const HEARTBEAT_LIMIT_BYTES: usize = 4 << 20;

/// How a request is handled.
#[derive(Debug)]
pub enum Dispatch {
    /// The controller handles it as an event.
    Event(Event),
    /// The HTTP thread answers it without the controller.
    Reply(Reply),
}

/// Passes requests from the threads of the HTTP server to the event loop.
pub(super) struct RequestQueue {
    inbox: InboxSender,
    next_request_id: AtomicU64,
}

impl RequestQueue {
    pub(super) fn new(inbox: InboxSender) -> RequestQueue {
        RequestQueue { inbox, next_request_id: AtomicU64::new(1) }
    }

    /// Answers a request that needs no cluster state, and queues any other.
    pub(super) fn handle(&self, request: Request, responder: Responder) {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let Request { method, target, body, .. } = request;
        match dispatch(id, &method, &target, |limit| read_body(body, limit)) {
            Dispatch::Reply(reply) => respond(responder, reply),
            Dispatch::Event(event) => match self.inbox.send_request(id, responder, event) {
                Admission::Queued | Admission::LoopEnded => {}
                Admission::Overloaded(responder) => respond(responder, Reply::refuse(Refusal::Overloaded)),
            },
        }
    }
}

/// Answers a request.
pub(super) fn respond(responder: Responder, reply: Reply) {
    let mut headers = vec![("Content-Type", "application/json".to_owned())];
    if let Some(seconds) = reply.retry_after {
        headers.push(("Retry-After", seconds.to_string()));
    }
    responder.respond(&Response { status: reply.status, headers, body: reply.body.into_bytes() });
}

/// Routes a request. `read_body` is called, with the limit in bytes, only for requests that have a body.
pub fn dispatch(
    request_id: u64,
    method: &str,
    url: &str,
    read_body: impl FnOnce(usize) -> Result<String, Reply>,
) -> Dispatch {
    let path = url.split('?').next().unwrap_or("");
    match (method, path) {
        ("GET", "/ready") => Dispatch::Event(Event::Ready(request_id)),
        ("GET", "/status") => Dispatch::Event(Event::Status(request_id)),
        ("POST", "/hello") => handle_heartbeat(request_id, read_body(HEARTBEAT_LIMIT_BYTES)),
        ("POST", "/v1/jobs") => handle_submission(request_id, read_body(BODY_LIMIT_BYTES)),
        (_, "/ready" | "/status" | "/hello" | "/v1/jobs") => reply_method_not_allowed(),
        (_, path) if path.starts_with("/ops/") => handle_operator_request(request_id, method, url, read_body),
        (_, path) => match path.strip_prefix("/v1/jobs/") {
            Some(rest) => handle_job_request(request_id, method, url, rest),
            None => Dispatch::Reply(Reply::error(404, "no such path")),
        },
    }
}

fn reply_method_not_allowed() -> Dispatch {
    Dispatch::Reply(Reply::error(405, "no such method here"))
}

fn dispatch_user_request(request_id: u64, request: UserRequest) -> Dispatch {
    Dispatch::Event(Event::User { ticket: request_id, request })
}

/// `POST /hello`.
fn handle_heartbeat(request_id: u64, body: Result<String, Reply>) -> Dispatch {
    let body = match body {
        Ok(body) => body,
        Err(reply) => return Dispatch::Reply(reply),
    };
    match serde_json::from_str::<Heartbeat>(&body) {
        Ok(heartbeat) => Dispatch::Event(Event::Heartbeat { ticket: request_id, heartbeat }),
        Err(e) => {
            tracing::error!(reason = %e, "malformed heartbeat");
            Dispatch::Reply(Reply::error(400, &e.to_string()))
        }
    }
}

/// `POST /v1/jobs`. A malformed body that names a job still goes to the controller: a job with that id may already have
/// been accepted, and the controller reads its record before it rejects the body.
fn handle_submission(request_id: u64, body: Result<String, Reply>) -> Dispatch {
    let body = match body {
        Ok(body) => body,
        Err(reply) => return Dispatch::Reply(reply),
    };
    match JobSpec::parse(&body) {
        Ok(spec) => dispatch_user_request(request_id, UserRequest::Submit(spec.id, body)),
        Err(e) => match read_job_id(&body) {
            Some(id) => dispatch_user_request(request_id, UserRequest::Submit(id, body)),
            None => Dispatch::Reply(Reply::error(e.status(), &e.to_string())),
        },
    }
}

/// Handles all paths below `/ops/`.
fn handle_operator_request(
    request_id: u64,
    method: &str,
    url: &str,
    read_body: impl FnOnce(usize) -> Result<String, Reply>,
) -> Dispatch {
    let path = url.split('?').next().unwrap_or("");
    if let Some(id) = path.strip_prefix("/ops/why/").filter(|id| method == "GET" && is_job_id(id)) {
        return dispatch_user_request(request_id, UserRequest::Why(id.into()));
    }
    match operator_api::parse(method, url, read_body) {
        Ok(request) => Dispatch::Event(Event::Operator { ticket: request_id, request }),
        Err(reply) => Dispatch::Reply(reply),
    }
}

/// Handles all paths below `/v1/jobs/`; `rest` is the part of the path after that prefix.
fn handle_job_request(request_id: u64, method: &str, url: &str, rest: &str) -> Dispatch {
    if let Some(id) = rest.strip_suffix("/permit").filter(|id| method == "GET" && is_job_id(id)) {
        return handle_permit_request(request_id, url, id);
    }
    let (id, is_withdrawal) = match rest.strip_suffix("/withdraw") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    if !is_job_id(id) {
        return Dispatch::Reply(Reply::error(404, "no such job"));
    }
    match (method, is_withdrawal) {
        ("GET", false) => dispatch_user_request(request_id, UserRequest::Query(id.into())),
        ("POST", true) => dispatch_user_request(request_id, UserRequest::Cancel(id.into())),
        _ => reply_method_not_allowed(),
    }
}

/// `GET /v1/jobs/{id}/permit`.
fn handle_permit_request(request_id: u64, url: &str, id: &str) -> Dispatch {
    match parse_permit_query(url) {
        Some((attempt, task)) => {
            dispatch_user_request(request_id, UserRequest::Permit(id.into(), format!("{attempt}/{task}")))
        }
        None => Dispatch::Reply(Reply::error(400, "attempt and task must be whole numbers")),
    }
}

/// The attempt and the task index of a permit request: `?attempt=N&task=I`.
pub(super) fn parse_permit_query(url: &str) -> Option<(u64, u32)> {
    Some((find_query_value(url, "attempt")?.parse().ok()?, find_query_value(url, "task")?.parse().ok()?))
}

/// The first value of a parameter in a URL's query, not percent-decoded.
pub(super) fn find_query_value<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

/// The text of a body of at most `limit` bytes.
///
/// # Errors
/// The reply to a body that is too long or is not UTF-8.
pub fn read_body(body: Vec<u8>, limit: usize) -> Result<String, Reply> {
    if body.len() > limit {
        return Err(Reply::error(400, "the body is too long"));
    }
    String::from_utf8(body).map_err(|_| Reply::error(400, "the body is not UTF-8"))
}

#[cfg(test)]
mod tests;
