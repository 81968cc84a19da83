//! The HTTP edge: what users, workers, health probes and operators send, checked before it reaches
//! the controller's own thread.

pub mod ops;

use crate::machines::Report;
use crate::node::Event;
use crate::peer::{Reply, UserRequest};
use crate::spec::{BODY_LIMIT, Spec, SpecError, is_job_id};
use std::io::Read;

/// Longest report taken: one with thousands of tasks.
const REPORT_LIMIT: usize = 4 << 20;

/// What a request turned out to be.
#[derive(Debug)]
pub enum Parsed {
    /// For the controller.
    Event(Event),
    /// Answered here.
    Answer(Reply),
}

fn no_method() -> Parsed {
    Parsed::Answer(Reply::error(405, "no such method here"))
}

/// Reads a request. `read_body` is called only where a body belongs.
pub fn parse(
    ticket: u64,
    method: &str,
    url: &str,
    read_body: impl FnOnce(usize) -> Result<String, Reply>,
) -> Parsed {
    let path = url.split('?').next().unwrap_or("");
    let get = method == "GET";
    let post = method == "POST";
    match path {
        "/ready" if get => return Parsed::Event(Event::Ready(ticket)),
        "/status" if get => return Parsed::Event(Event::Status(ticket)),
        "/hello" if post => {
            return match read_body(REPORT_LIMIT) {
                Err(r) => Parsed::Answer(r),
                Ok(body) => match serde_json::from_str::<Report>(&body) {
                    Ok(r) => Parsed::Event(Event::Report(ticket, r)),
                    Err(e) => {
                        tracing::error!(reason = %e, "malformed report");
                        Parsed::Answer(Reply::error(400, &e.to_string()))
                    }
                },
            };
        }
        "/v1/jobs" if post => {
            return match read_body(BODY_LIMIT) {
                Err(r) => Parsed::Answer(r),
                Ok(body) => match Spec::parse(&body) {
                    Ok(s) => Parsed::Event(Event::User(ticket, UserRequest::Submit(s.id, body))),
                    Err(e @ (SpecError::Field(..) | SpecError::Member(_) | SpecError::Body(_))) => {
                        Parsed::Answer(Reply::error(400, &e.to_string()))
                    }
                    Err(e) => Parsed::Answer(Reply::error(422, &e.to_string())),
                },
            };
        }
        "/ready" | "/status" | "/hello" | "/v1/jobs" => return no_method(),
        _ => {}
    }
    if path.starts_with("/ops/") {
        if let Some(id) = path.strip_prefix("/ops/why/").filter(|id| get && is_job_id(id)) {
            return Parsed::Event(Event::User(ticket, UserRequest::Why(id.into())));
        }
        return match ops::parse(method, url, read_body) {
            Ok(r) => Parsed::Event(Event::Operator(ticket, r)),
            Err(r) => Parsed::Answer(r),
        };
    }
    let Some(rest) = path.strip_prefix("/v1/jobs/") else {
        return Parsed::Answer(Reply::error(404, "no such path"));
    };
    if let Some(id) = rest.strip_suffix("/permit").filter(|id| get && is_job_id(id)) {
        return match ops::permit(url) {
            Some((attempt, task)) => {
                let what = format!("{attempt}/{task}");
                Parsed::Event(Event::User(ticket, UserRequest::Permit(id.into(), what)))
            }
            None => Parsed::Answer(Reply::error(400, "attempt and task must be whole numbers")),
        };
    }
    let (id, withdraw) = match rest.strip_suffix("/withdraw") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    if !is_job_id(id) {
        return Parsed::Answer(Reply::error(404, "no such job"));
    }
    match (withdraw, get, post) {
        (false, true, _) => Parsed::Event(Event::User(ticket, UserRequest::Query(id.into()))),
        (true, _, true) => Parsed::Event(Event::User(ticket, UserRequest::Withdraw(id.into()))),
        _ => no_method(),
    }
}

/// Reads a body of at most `limit` bytes.
pub fn body(reader: &mut dyn Read, limit: usize) -> Result<String, Reply> {
    let mut bytes = Vec::new();
    if reader.take(limit as u64 + 1).read_to_end(&mut bytes).is_err() {
        return Err(Reply::error(400, "the body could not be read"));
    }
    if bytes.len() > limit {
        return Err(Reply::error(400, "the body is too long"));
    }
    String::from_utf8(bytes).map_err(|_| Reply::error(400, "the body is not UTF-8"))
}

/// Whether a worker at this address answers.
pub fn reachable(addr: &str) -> bool {
    let agent = ureq::AgentBuilder::new().timeout(std::time::Duration::from_secs(1)).redirects(0).build();
    crate::store::call(&agent, "GET", &format!("http://{addr}/inspect"), None).is_some_and(|(s, _)| s == 200)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(method: &str, url: &str, text: &str) -> Option<u16> {
        let text = text.as_bytes().to_vec();
        match parse(1, method, url, |limit| body(&mut text.as_slice(), limit)) {
            Parsed::Answer(r) => Some(r.status),
            Parsed::Event(_) => None,
        }
    }

    #[test]
    fn bad_requests_are_answered_at_the_edge() {
        assert_eq!(status("GET", "/ready", ""), None);
        assert_eq!(status("POST", "/ready", ""), Some(405));
        assert_eq!(status("GET", "/nowhere", ""), Some(404));
        assert_eq!(status("DELETE", "/v1/jobs/wk-000001", ""), Some(405));
        assert_eq!(status("GET", "/v1/jobs/wk-000001/withdraw", ""), Some(405));
        assert_eq!(status("GET", "/v1/jobs/..%2F", ""), Some(404));
        assert_eq!(status("GET", "/v1/jobs/wk-000001", ""), None);
        assert_eq!(status("POST", "/v1/jobs/wk-000001/withdraw", "{}"), None);
        assert_eq!(status("POST", "/v1/jobs", "{"), Some(400));
        assert_eq!(status("POST", "/v1/jobs", &"x".repeat(BODY_LIMIT + 1)), Some(400));
        assert_eq!(status("POST", "/hello", "{}"), Some(400));
        assert_eq!(
            status(
                "POST",
                "/hello",
                r#"{"stall":"i-1","stallKind":"k","paddock":"z","ride":1,"hoofbeat":1,"rein":0}"#
            ),
            None
        );
    }
}
