//! The HTTP API: what users, workers, health probes and operators send.
//!
//! A request is checked here, as far as that needs no knowledge of the cluster, and becomes an event for the controller.
//! Nothing here changes any state.

use super::inbox::{Admission, InboxSender};
use super::operator_api;
use crate::controller::Event;
use crate::machine_shard::Heartbeat;
use crate::peer::{Reply, UserRequest};
use crate::spec::{JobSpec, is_job_id};
use crate::wire::users::submission::{BODY_LIMIT_BYTES, read_job_id};
use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest heartbeat accepted, in bytes: one of a machine with thousands of tasks.
const HEARTBEAT_LIMIT: usize = 4 << 20;
/// Pause after a request that could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// What becomes of a request.
#[derive(Debug)]
pub enum Dispatch {
    /// The controller handles it.
    Event(Event),
    /// It is answered at once.
    Reply(Reply),
}

/// Reads requests until the event loop has ended.
pub(super) fn read_requests(server: &tiny_http::Server, next_request_id: &AtomicU64, inbox: &InboxSender) {
    loop {
        let mut request = match server.recv() {
            Ok(request) => request,
            Err(e) => {
                tracing::debug!(reason = %e, "request not received");
                std::thread::sleep(RECEIVE_PAUSE);
                continue;
            }
        };
        let id = next_request_id.fetch_add(1, Ordering::Relaxed);
        let method = request.method().as_str().to_owned();
        let url = request.url().to_owned();
        match dispatch(id, &method, &url, |limit| read_body(request.as_reader(), limit)) {
            Dispatch::Reply(reply) => respond(request, reply),
            Dispatch::Event(event) => match inbox.send_request(id, request, event) {
                Admission::Queued => {}
                Admission::Overloaded(request) => respond(request, Reply::retry_later("overloaded")),
                Admission::LoopEnded => return,
            },
        }
    }
}

/// Answers a request.
pub(super) fn respond(request: tiny_http::Request, reply: Reply) {
    let mut response = tiny_http::Response::from_string(reply.body).with_status_code(reply.status);
    if let Ok(header) = tiny_http::Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    if let Some(seconds) = reply.retry_after
        && let Ok(header) = tiny_http::Header::from_bytes("Retry-After", seconds.to_string())
    {
        response.add_header(header);
    }
    // A client that is gone needs no answer.
    let _ = request.respond(response);
}

/// Says what becomes of a request. `read_body` is called, with the limit in bytes, only where a body belongs.
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
        ("POST", "/hello") => heartbeat(request_id, read_body(HEARTBEAT_LIMIT)),
        ("POST", "/v1/jobs") => submission(request_id, read_body(BODY_LIMIT_BYTES)),
        (_, "/ready" | "/status" | "/hello" | "/v1/jobs") => method_not_allowed(),
        (_, path) if path.starts_with("/ops/") => operator_request(request_id, method, url, read_body),
        (_, path) => match path.strip_prefix("/v1/jobs/") {
            Some(rest) => job_request(request_id, method, url, rest),
            None => Dispatch::Reply(Reply::error(404, "no such path")),
        },
    }
}

fn method_not_allowed() -> Dispatch {
    Dispatch::Reply(Reply::error(405, "no such method here"))
}

fn user_request(request_id: u64, request: UserRequest) -> Dispatch {
    Dispatch::Event(Event::User { ticket: request_id, request })
}

/// `POST /hello`.
fn heartbeat(request_id: u64, body: Result<String, Reply>) -> Dispatch {
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

/// `POST /v1/jobs`. A malformed body that names a job goes on to the controller: it may repeat a job that was accepted with
/// another body, whose record is read first.
fn submission(request_id: u64, body: Result<String, Reply>) -> Dispatch {
    let body = match body {
        Ok(body) => body,
        Err(reply) => return Dispatch::Reply(reply),
    };
    match JobSpec::parse(&body) {
        Ok(spec) => user_request(request_id, UserRequest::Submit(spec.id, body)),
        Err(e) => match read_job_id(&body) {
            Some(id) => user_request(request_id, UserRequest::Submit(id, body)),
            None => Dispatch::Reply(Reply::error(e.status(), &e.to_string())),
        },
    }
}

/// Everything below `/ops/`.
fn operator_request(
    request_id: u64,
    method: &str,
    url: &str,
    read_body: impl FnOnce(usize) -> Result<String, Reply>,
) -> Dispatch {
    let path = url.split('?').next().unwrap_or("");
    if let Some(id) = path.strip_prefix("/ops/why/").filter(|id| method == "GET" && is_job_id(id)) {
        return user_request(request_id, UserRequest::Why(id.into()));
    }
    match operator_api::parse(method, url, read_body) {
        Ok(request) => Dispatch::Event(Event::Operator { ticket: request_id, request }),
        Err(reply) => Dispatch::Reply(reply),
    }
}

/// Everything below `/v1/jobs/`; `rest` is the path behind that.
fn job_request(request_id: u64, method: &str, url: &str, rest: &str) -> Dispatch {
    if let Some(id) = rest.strip_suffix("/permit").filter(|id| method == "GET" && is_job_id(id)) {
        return write_permit(request_id, url, id);
    }
    let (id, is_withdrawal) = match rest.strip_suffix("/withdraw") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    if !is_job_id(id) {
        return Dispatch::Reply(Reply::error(404, "no such job"));
    }
    match (method, is_withdrawal) {
        ("GET", false) => user_request(request_id, UserRequest::Query(id.into())),
        ("POST", true) => user_request(request_id, UserRequest::Cancel(id.into())),
        _ => method_not_allowed(),
    }
}

/// `GET /v1/jobs/{id}/permit`.
fn write_permit(request_id: u64, url: &str, id: &str) -> Dispatch {
    match permit_query(url) {
        Some((attempt, task)) => {
            user_request(request_id, UserRequest::Permit(id.into(), format!("{attempt}/{task}")))
        }
        None => Dispatch::Reply(Reply::error(400, "attempt and task must be whole numbers")),
    }
}

/// The attempt and the task that a permit is asked for: `?attempt=N&task=I`.
pub(super) fn permit_query(url: &str) -> Option<(u64, u32)> {
    Some((query_value(url, "attempt")?.parse().ok()?, query_value(url, "task")?.parse().ok()?))
}

/// The first value of a name in a URL's query, as it stands there.
pub(super) fn query_value<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// The reply to a body that is too long, is not UTF-8 or can't be read.
pub fn read_body(reader: &mut dyn Read, limit: usize) -> Result<String, Reply> {
    let mut bytes = Vec::new();
    if reader.take(limit as u64 + 1).read_to_end(&mut bytes).is_err() {
        return Err(Reply::error(400, "the body could not be read"));
    }
    if bytes.len() > limit {
        return Err(Reply::error(400, "the body is too long"));
    }
    String::from_utf8(bytes).map_err(|_| Reply::error(400, "the body is not UTF-8"))
}

#[cfg(test)]
mod tests;
