//! The state service: requests and answers, the rate budget, and the threads that speak HTTP.

use crate::units::Micros;
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Read a key.
    Get(String),
    /// Read a page of keys with a prefix, after a key.
    List(String, String),
    /// An atomic, conditional change.
    Transaction(Transaction),
    /// A new lease of that many milliseconds.
    Grant(u64),
    /// Renew a lease.
    Renew(u64),
    /// The store's present revision.
    Revision,
    /// Wait until a key with a prefix has changed after a revision, for that long at most.
    Watch(String, u64, Micros),
}

/// An atomic change: all conditions must hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Keys and the versions they must have; 0: the key must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys to write, with a lease if the key is to end with it.
    pub puts: Vec<(String, Value, Option<u64>)>,
    /// Keys to delete.
    pub drops: Vec<String>,
}

impl Transaction {
    /// How much of the write budget it takes.
    pub fn cost(&self) -> f64 {
        (self.puts.len() + self.drops.len()) as f64
    }
}

/// A key's value.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Its version.
    #[serde(rename = "mark")]
    pub store_version: u64,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// The key's value, or none.
    Got(Option<KeyValue>),
    /// A page; whether there is more.
    Page(Vec<KeyValue>, bool),
    /// The change was made, at this revision.
    Committed(u64),
    /// A condition failed, for these keys.
    Conflict(Vec<String>),
    /// The lease named is no more.
    NoLease,
    /// A new lease.
    Granted(u64),
    /// The lease was renewed.
    Renewed,
    /// The store's present revision.
    At(u64),
    /// The revision up to which the store has looked, and the keys that were written, with values.
    Changes(u64, Vec<(String, Value)>),
    /// The changes asked for are no longer kept.
    TooOld,
    /// Certainly not carried out (429, 503, or the connection was refused).
    Refused,
    /// No usable answer: it may have been carried out, or may yet be.
    Unknown,
}

/// A token bucket of one second's worth.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate: f64,
    have: f64,
    at: Micros,
}

impl RateLimiter {
    /// A full bucket refilled at `rate` a second.
    pub fn new(rate: f64) -> RateLimiter {
        RateLimiter { rate, have: rate.max(1.0), at: Micros(0) }
    }
    fn refill(&mut self, now: Micros) {
        self.have = (self.have + now.since(self.at).secs() * self.rate).min(self.rate.max(1.0));
        self.at = self.at.max(now);
    }
    /// Takes `n` if more than `reserve` (a share of the bucket) stays behind. An amount larger
    /// than the bucket passes when it is full and leaves a debt.
    pub fn take(&mut self, now: Micros, n: f64, reserve: f64) -> bool {
        self.refill(now);
        let full = self.rate.max(1.0);
        if self.have + 1e-9 < (n + reserve * full).min(full) {
            return false;
        }
        self.have -= n;
        true
    }
    /// How full it is, from 0 to 1.
    pub fn level(&mut self, now: Micros) -> f64 {
        self.refill(now);
        (self.have / self.rate.max(1.0)).max(0.0)
    }
}

#[derive(Deserialize)]
struct Failed {
    #[serde(default)]
    failed: Vec<String>,
}
#[derive(Deserialize)]
struct Rows {
    rows: Vec<KeyValue>,
    #[serde(default)]
    more: bool,
}
#[derive(Deserialize)]
struct Revision {
    ledger: u64,
}
#[derive(Deserialize)]
struct Changes {
    ledger: u64,
    #[serde(default)]
    events: Vec<Change>,
}
#[derive(Deserialize)]
struct Change {
    write: Option<String>,
    #[serde(default)]
    v: Value,
}
#[derive(Deserialize)]
struct Lease {
    tether: u64,
}

/// A blocking client; one a thread.
pub struct StoreClient {
    agent: ureq::Agent,
    base: String,
    timeout: Duration,
}

impl StoreClient {
    /// A client of the service at `addr`, giving up on a request after `timeout`.
    pub fn new(addr: std::net::SocketAddrV4, timeout: Duration) -> StoreClient {
        let agent = ureq::AgentBuilder::new()
            .timeout(timeout)
            .timeout_connect(timeout)
            .redirects(0)
            .max_idle_connections_per_host(1)
            .build();
        StoreClient { agent, base: format!("http://{addr}"), timeout }
    }

    /// Carries out a request.
    pub fn call(&self, r: &StoreRequest) -> StoreAnswer {
        let base = &self.base;
        match r {
            StoreRequest::Get(key) => match self.send("GET", &format!("{base}/store/{key}"), None) {
                Some((200, text)) => parse(&text, |row: KeyValue| StoreAnswer::Got(Some(row))),
                Some((404, _)) => StoreAnswer::Got(None),
                other => failure(other),
            },
            StoreRequest::List(prefix, after) => {
                let mut url = format!("{base}/store?prefix={prefix}&limit=200");
                if !after.is_empty() {
                    url.push_str(&format!("&after={after}"));
                }
                match self.send("GET", &url, None) {
                    Some((200, text)) => parse(&text, |p: Rows| StoreAnswer::Page(p.rows, p.more)),
                    other => failure(other),
                }
            }
            StoreRequest::Transaction(c) => {
                let conditions: Vec<Value> =
                    c.conditions.iter().map(|(k, m)| json!({"k": k, "mark": m})).collect();
                let puts = c.puts.iter().map(|(k, v, lease)| match lease {
                    Some(l) => json!({"write": k, "v": v, "tether": l}),
                    None => json!({"write": k, "v": v}),
                });
                let writes: Vec<Value> = puts.chain(c.drops.iter().map(|k| json!({"drop": k}))).collect();
                let body = json!({"if": conditions, "writes": writes}).to_string();
                match self.send("POST", &format!("{base}/commit"), Some(body)) {
                    Some((200, text)) => parse(&text, |r: Revision| StoreAnswer::Committed(r.ledger)),
                    Some((409, text)) => parse(&text, |f: Failed| StoreAnswer::Conflict(f.failed)),
                    Some((400, text)) if text.contains("no such lease") => StoreAnswer::NoLease,
                    Some((400, text)) => {
                        tracing::error!(reason = %text, "the state service calls a commit malformed");
                        StoreAnswer::Refused
                    }
                    other => failure(other),
                }
            }
            StoreRequest::Revision => {
                match self.send("GET", &format!("{base}/store?prefix=ring/epoch&limit=1"), None) {
                    Some((200, text)) => parse(&text, |r: Revision| StoreAnswer::At(r.ledger)),
                    other => failure(other),
                }
            }
            StoreRequest::Watch(prefix, after, wait) => {
                let ms = wait.0 / 1000;
                let url = format!("{base}/changes?prefix={prefix}&after={after}&waitMs={ms}");
                let request = self.agent.get(&url).timeout(self.timeout + Duration::from_micros(wait.0));
                match answer(request.call()) {
                    Some((200, text)) => parse(&text, |c: Changes| {
                        let written = c.events.into_iter().filter_map(|e| Some((e.write?, e.v)));
                        StoreAnswer::Changes(c.ledger, written.collect())
                    }),
                    Some((410, _)) => StoreAnswer::TooOld,
                    other => failure(other),
                }
            }
            StoreRequest::Grant(ms) => {
                let body = json!({"lifeMs": ms}).to_string();
                match self.send("POST", &format!("{base}/grants"), Some(body)) {
                    Some((200, text)) => parse(&text, |l: Lease| StoreAnswer::Granted(l.tether)),
                    other => failure(other),
                }
            }
            StoreRequest::Renew(id) => {
                match self.send("POST", &format!("{base}/grants/{id}/renew"), Some("{}".into())) {
                    Some((200, _)) => StoreAnswer::Renewed,
                    Some((404, _)) => StoreAnswer::NoLease,
                    other => failure(other),
                }
            }
        }
    }

    fn send(&self, method: &str, url: &str, body: Option<String>) -> Option<(u16, String)> {
        call(&self.agent, method, url, body)
    }
}

/// One HTTP exchange; None if there was no complete answer.
pub fn call(agent: &ureq::Agent, method: &str, url: &str, body: Option<String>) -> Option<(u16, String)> {
    let request = agent.request(method, url);
    let result = match body {
        Some(b) => request.set("Content-Type", "application/json").send_string(&b),
        None => request.call(),
    };
    answer(result)
}

fn answer(result: Result<ureq::Response, ureq::Error>) -> Option<(u16, String)> {
    match result {
        Ok(r) | Err(ureq::Error::Status(_, r)) => {
            let status = r.status();
            // A cap guards against an answer without an end; the service's pages end at 512 KiB.
            let mut text = String::new();
            let mut reader = std::io::Read::take(r.into_reader(), 8 << 20);
            std::io::Read::read_to_string(&mut reader, &mut text).ok()?;
            Some((status, text))
        }
        Err(_) => None,
    }
}

fn parse<T: for<'a> Deserialize<'a>>(text: &str, f: impl Fn(T) -> StoreAnswer) -> StoreAnswer {
    match serde_json::from_str(text) {
        Ok(v) => f(v),
        Err(e) => {
            tracing::error!(reason = %e, "unreadable answer from the state service");
            StoreAnswer::Unknown
        }
    }
}

fn failure(answer: Option<(u16, String)>) -> StoreAnswer {
    match answer {
        Some((429 | 503, _)) => StoreAnswer::Refused,
        _ => StoreAnswer::Unknown,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_keeps_its_reserve_and_its_rate() {
        let mut b = RateLimiter::new(10.0);
        let mut taken = 0.0;
        for ms in 0..5000u64 {
            if b.take(Micros::from_millis(ms), 1.0, 0.3) {
                taken += 1.0;
            }
        }
        assert!((50.0..=58.0).contains(&taken), "{taken}");
        assert!(b.take(Micros::from_millis(5000), 2.0, 0.0), "the reserve is there");
        assert!(b.take(Micros::from_millis(7000), 30.0, 0.0), "an oversized one passes when full");
        assert!(!b.take(Micros::from_millis(7100), 1.0, 0.0), "and leaves a debt");
    }
}
