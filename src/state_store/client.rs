//! The blocking client of the state service.

use super::request::{StoreAnswer, StoreRequest, Transaction};
use crate::units::Micros;
use crate::wire::state_store::{self as wire, KeyRow, MalformedAnswer};
use serde::de::DeserializeOwned;
use std::io::Read;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Most keys in a page. The service's pages end at 512 KiB, whatever their number.
const PAGE_KEYS: u32 = 200;
/// Most bytes of an answer that are read, against answers without an end.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// A status and a body; None if there was no complete answer.
type HttpAnswer = Option<(u16, String)>;

/// A blocking client; each thread has its own.
pub struct StoreClient {
    agent: ureq::Agent,
    base: String,
    timeout: Duration,
}

impl StoreClient {
    /// A client of the service at `addr`, which gives up on a request after `timeout`.
    #[must_use]
    pub fn new(addr: SocketAddrV4, timeout: Duration) -> StoreClient {
        let agent = ureq::AgentBuilder::new()
            .timeout(timeout)
            .timeout_connect(timeout)
            .redirects(0)
            .max_idle_connections_per_host(1)
            .build();
        StoreClient { agent, base: format!("http://{addr}"), timeout }
    }

    /// Carries out a request, once. A failure is an answer too: `Refused` or `Unknown`.
    #[must_use]
    pub fn call(&self, request: &StoreRequest) -> StoreAnswer {
        match request {
            StoreRequest::Get(key) => self.get_key(key),
            StoreRequest::List(prefix, after) => self.list_keys(prefix, after),
            StoreRequest::Transaction(transaction) => self.commit(transaction),
            StoreRequest::Revision => self.read_revision(),
            StoreRequest::Watch(prefix, after, wait) => self.watch(prefix, *after, *wait),
            StoreRequest::Grant(ms) => self.grant_lease(*ms),
            StoreRequest::Renew(lease) => self.renew_lease(*lease),
        }
    }

    fn get_key(&self, key: &str) -> StoreAnswer {
        match self.get(&format!("{}/store/{key}", self.base)) {
            Some((200, text)) => convert(&text, |row: KeyRow| StoreAnswer::Got(Some(row.into()))),
            Some((404, _)) => StoreAnswer::Got(None),
            other => failure(other),
        }
    }

    fn list_keys(&self, prefix: &str, after: &str) -> StoreAnswer {
        let mut url = format!("{}/store?prefix={prefix}&limit={PAGE_KEYS}", self.base);
        if !after.is_empty() {
            url.push_str(&format!("&after={after}"));
        }
        match self.get(&url) {
            Some((200, text)) => convert(&text, |page: wire::KeyPage| page.into()),
            other => failure(other),
        }
    }

    fn commit(&self, transaction: &Transaction) -> StoreAnswer {
        match self.post(&format!("{}/commit", self.base), wire::commit_body(transaction)) {
            Some((200, text)) => convert(&text, |at: wire::RevisionForm| StoreAnswer::Committed(at.revision)),
            Some((409, text)) => convert(&text, |f: wire::FailedKeys| StoreAnswer::Conflict(f.failed)),
            Some((400, text)) if text.contains(wire::NO_SUCH_LEASE) => StoreAnswer::NoLease,
            Some((400, text)) => {
                tracing::error!(reason = %text, "state store calls a transaction malformed");
                StoreAnswer::Refused
            }
            other => failure(other),
        }
    }

    fn read_revision(&self) -> StoreAnswer {
        match self.get(&format!("{}/store?prefix=ring/epoch&limit=1", self.base)) {
            Some((200, text)) => {
                convert(&text, |at: wire::RevisionForm| StoreAnswer::CurrentRevision(at.revision))
            }
            other => failure(other),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Micros) -> StoreAnswer {
        let wait_ms = wait.0 / 1000;
        let url = format!("{}/changes?prefix={prefix}&after={after}&waitMs={wait_ms}", self.base);
        // The service answers late on purpose: the request's own timeout comes on top of the wait.
        let request = self.agent.get(&url).timeout(self.timeout + Duration::from_micros(wait.0));
        match read_answer(request.call()) {
            Some((200, text)) => convert(&text, |changes: wire::Changes| changes.into()),
            Some((410, _)) => StoreAnswer::Compacted,
            other => failure(other),
        }
    }

    fn grant_lease(&self, ms: u64) -> StoreAnswer {
        match self.post(&format!("{}/grants", self.base), wire::grant_body(ms)) {
            Some((200, text)) => convert(&text, |lease: wire::Lease| StoreAnswer::Granted(lease.id)),
            other => failure(other),
        }
    }

    fn renew_lease(&self, lease: u64) -> StoreAnswer {
        match self.post(&format!("{}/grants/{lease}/renew", self.base), "{}".into()) {
            Some((200, _)) => StoreAnswer::Renewed,
            Some((404, _)) => StoreAnswer::NoLease,
            other => failure(other),
        }
    }

    fn get(&self, url: &str) -> HttpAnswer {
        http_exchange(&self.agent, "GET", url, None)
    }

    fn post(&self, url: &str, body: String) -> HttpAnswer {
        http_exchange(&self.agent, "POST", url, Some(body))
    }
}

/// One HTTP exchange: status and body, whatever the status; None if there was no complete answer.
pub fn http_exchange(agent: &ureq::Agent, method: &str, url: &str, body: Option<String>) -> HttpAnswer {
    let request = agent.request(method, url);
    let result = match body {
        Some(text) => request.set("Content-Type", "application/json").send_string(&text),
        None => request.call(),
    };
    read_answer(result)
}

fn read_answer(result: Result<ureq::Response, ureq::Error>) -> HttpAnswer {
    let (Ok(response) | Err(ureq::Error::Status(_, response))) = result else { return None };
    let status = response.status();
    let mut text = String::new();
    response.into_reader().take(MAX_ANSWER_BYTES).read_to_string(&mut text).ok()?;
    Some((status, text))
}

/// The answer that a body stands for. A body that can't be read says nothing about what was carried out.
fn convert<Form: DeserializeOwned>(text: &str, answer: impl FnOnce(Form) -> StoreAnswer) -> StoreAnswer {
    match serde_json::from_str(text).map_err(MalformedAnswer::from) {
        Ok(form) => answer(form),
        Err(error) => {
            tracing::error!(reason = %error, "malformed answer from the state store");
            StoreAnswer::Unknown
        }
    }
}

fn failure(answer: HttpAnswer) -> StoreAnswer {
    match answer {
        Some((429 | 503, _)) => StoreAnswer::Refused,
        _ => StoreAnswer::Unknown,
    }
}
