//! The HTTP edge: what users, workers, health probes and operators send, checked before it reaches
//! the controller's own thread.

use super::operator_api;
use crate::controller::Event;
use crate::machine_shard::{FencingProbe, Heartbeat};
use crate::peer::{Reply, UserRequest};
use crate::spec::{BODY_LIMIT, JobSpec, is_job_id};
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
                Ok(body) => match serde_json::from_str::<Heartbeat>(&body) {
                    Ok(r) => Parsed::Event(Event::Heartbeat(ticket, r)),
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
                Ok(body) => match JobSpec::parse(&body) {
                    Ok(s) => Parsed::Event(Event::User(ticket, UserRequest::Submit(s.id, body))),
                    Err(e) => match named(&body) {
                        // It may repeat a job that was accepted with another body: its record is read first.
                        Some(id) => Parsed::Event(Event::User(ticket, UserRequest::Submit(id, body))),
                        None => Parsed::Answer(Reply::error(e.status(), &e.to_string())),
                    },
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
        return match operator_api::parse(method, url, read_body) {
            Ok(r) => Parsed::Event(Event::Operator(ticket, r)),
            Err(r) => Parsed::Answer(r),
        };
    }
    let Some(rest) = path.strip_prefix("/v1/jobs/") else {
        return Parsed::Answer(Reply::error(404, "no such path"));
    };
    if let Some(id) = rest.strip_suffix("/permit").filter(|id| get && is_job_id(id)) {
        return match operator_api::permit(url) {
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

/// The job that a body names which is no valid description.
fn named(body: &str) -> Option<String> {
    let v: serde_json::Value = serde_json::from_str(body).ok()?;
    v.get("uid")?.as_str().filter(|id| is_job_id(id)).map(str::to_owned)
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
    crate::state_store::http_exchange(&agent, "GET", &format!("http://{addr}/inspect"), None)
        .is_some_and(|(s, _)| s == 200)
}

/// A client for [`greet`]. A machine that is there answers at once; one that is not must not hold up the others.
pub fn greeter() -> ureq::Agent {
    let ms = std::time::Duration::from_millis;
    ureq::AgentBuilder::new()
        .timeout_connect(ms(300))
        .timeout(ms(1000))
        .max_idle_connections(0)
        .redirects(0)
        .build()
}

/// Tells a worker the token, without any command; its report, if it answers. One whose lease has run out in between is
/// in another session than was thought, and says so.
pub fn greet(agent: &ureq::Agent, epoch: u64, g: &FencingProbe) -> Option<Heartbeat> {
    let mut session = g.session;
    for _ in 0..2 {
        let body = serde_json::json!({"rein": epoch, "ride": session, "calls": []}).to_string();
        let (_, text) =
            crate::state_store::http_exchange(agent, "POST", &format!("http://{}/do", g.addr), Some(body))?;
        let r: Heartbeat = serde_json::from_str(&text).ok()?;
        if r.token >= epoch || r.session == session {
            return Some(r);
        }
        session = r.session;
    }
    None
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
        assert_eq!(status("POST", "/v1/jobs", r#"{"uid":"x","breed":"b"}"#), Some(400));
        assert_eq!(
            status("POST", "/v1/jobs", r#"{"uid":"wk-000001","breed":"b"}"#),
            None,
            "it may be a repeat"
        );
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

    #[test]
    fn a_worker_in_another_session_than_was_thought_is_told_the_token_in_that_one() {
        let server = tiny_http::Server::http("127.0.0.1:0").expect("a port");
        let addr = server.server_addr().to_string();
        let worker = std::thread::spawn(move || {
            for session in [1, 3] {
                let mut r = server.recv().expect("a request");
                let mut text = String::new();
                r.as_reader().read_to_string(&mut text).expect("a body");
                let said: serde_json::Value = serde_json::from_str(&text).expect("JSON");
                assert_eq!(r.url(), "/do");
                assert_eq!(said, serde_json::json!({"rein": 9, "ride": session, "calls": []}));
                let token = if session == 3 { 9 } else { 4 };
                let report = serde_json::json!({"stall": "i-1", "stallKind": "k", "paddock": "z", "ride": 3, "hoofbeat": 8, "rein": token});
                let status = if session == 3 { 200 } else { 409 };
                let answer = tiny_http::Response::from_string(report.to_string()).with_status_code(status);
                r.respond(answer).expect("sent");
            }
        });
        let g = FencingProbe { machine: "i-1".into(), addr, session: 1 };
        let r = greet(&greeter(), 9, &g).expect("a report");
        assert_eq!((r.session, r.token, r.seq), (3, 9, 8));
        worker.join().expect("asked twice");
        let nobody = FencingProbe { addr: "127.0.0.1:1".into(), ..g };
        assert!(greet(&greeter(), 9, &nobody).is_none());
    }
}
