//! The state service: PROTOCOL, "Controller nodes -> state service". Each controller has a port of its own, so that one of
//! them can be refused alone.

use crate::http::{self, Answer, Request, query};
use crate::json::{Json, quote};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

struct Row {
    value: Json,
    mark: u64,
    tether: Option<u64>,
}

struct Change {
    mark: u64,
    key: String,
    value: Option<Json>,
}

struct Lease {
    life: Duration,
    until: Instant,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        // A request that is larger than what is left is refused and costs nothing.
        if self.left < n {
            return false;
        }
        self.left -= n;
        true
    }
}

struct Inner {
    rows: BTreeMap<String, Row>,
    ledger: u64,
    changes: VecDeque<Change>,
    leases: BTreeMap<u64, Lease>,
    outage: bool,
    refused: Vec<bool>,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    value_bytes: usize,
    txn_ops: usize,
    latency: Duration,
}

impl State {
    pub fn start(
        nodes: usize,
        rps: f64,
        write_rps: f64,
        value_kb: f64,
        txn_ops: usize,
    ) -> (Arc<State>, Vec<SocketAddr>) {
        let bucket = |rate| Bucket { rate, left: rate, at: Instant::now() };
        let inner = Inner {
            rows: BTreeMap::new(),
            ledger: 1,
            changes: VecDeque::new(),
            leases: BTreeMap::new(),
            outage: false,
            refused: vec![false; nodes],
            requests: bucket(rps),
            writes: bucket(write_rps),
        };
        let state = Arc::new(State {
            inner: Mutex::new(inner),
            changed: Condvar::new(),
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
            latency: Duration::from_millis(2),
        });
        let expirer = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expirer.expire();
            }
        });
        let mut addrs = Vec::new();
        for node in 0..nodes {
            let listener = http::listener();
            addrs.push(listener.local_addr().expect("address"));
            let state = state.clone();
            http::serve(listener, move |request| state.handle(node, &request));
        }
        (state, addrs)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// An outage for all nodes. After it every lease has its full time again.
    pub fn set_outage(&self, on: bool) {
        let mut inner = self.lock();
        inner.outage = on;
        if !on {
            for lease in inner.leases.values_mut() {
                lease.until = Instant::now() + lease.life;
            }
        }
        self.changed.notify_all();
    }

    /// One node alone gets 503, while its leases run out.
    pub fn set_refused(&self, node: usize, on: bool) {
        self.lock().refused[node] = on;
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut inner = self.lock();
        if inner.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> =
            inner.leases.iter().filter(|(_, l)| now >= l.until).map(|(id, _)| *id).collect();
        for id in ended {
            crate::note!("state: lease {id} ended");
            inner.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, node: usize, request: &Request) -> Answer {
        std::thread::sleep(self.latency);
        let path = request.url.split('?').next().unwrap_or("");
        let mut inner = self.lock();
        if inner.outage || inner.refused[node] {
            return Some((503, r#"{"error":"trouble"}"#.into()));
        }
        if !inner.requests.take(1.0) {
            return Some((429, r#"{"error":"too many requests"}"#.into()));
        }
        Some(match (request.method.as_str(), path) {
            ("GET", "/store") => inner.list(&request.url),
            ("GET", "/changes") => self.watch(inner, node, &request.url),
            ("GET", path) => match path.strip_prefix("/store/") {
                Some(key) => inner.read(key),
                None => (400, "{}".into()),
            },
            ("POST", "/commit") => {
                let answer = inner.commit(&request.body, self.value_bytes, self.txn_ops);
                if answer.0 == 200 {
                    self.changed.notify_all();
                }
                answer
            }
            ("POST", "/grants") => inner.grant(&request.body),
            ("POST", path) => {
                let id = path.strip_prefix("/grants/").and_then(|p| p.strip_suffix("/renew"));
                inner.renew(id.and_then(|id| id.parse().ok()))
            }
            ("DELETE", path) => {
                if let Some(id) = path.strip_prefix("/grants/").and_then(|id| id.parse().ok()) {
                    inner.end_lease(id);
                    self.changed.notify_all();
                }
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        })
    }

    fn watch(&self, mut inner: MutexGuard<'_, Inner>, node: usize, url: &str) -> (u16, String) {
        let prefix = query(url, "prefix").unwrap_or("").to_owned();
        let after: u64 = query(url, "after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait: u64 = query(url, "waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(60_000));
        loop {
            // Open watches remain open through an outage.
            if !inner.outage && !inner.refused[node] {
                let gone = inner
                    .changes
                    .front()
                    .is_some_and(|c| c.mark > after + 1 && inner.changes.len() >= 10_000);
                if gone {
                    return (410, "{}".into());
                }
                let events: Vec<String> = inner
                    .changes
                    .iter()
                    .filter(|c| c.mark > after && c.key.starts_with(&prefix))
                    .map(|c| match &c.value {
                        Some(v) => {
                            format!(r#"{{"write":{},"v":{},"mark":{}}}"#, quote(&c.key), v.text(), c.mark)
                        }
                        None => format!(r#"{{"drop":{},"mark":{}}}"#, quote(&c.key), c.mark),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return (
                        200,
                        format!(r#"{{"ledger":{},"events":[{}]}}"#, inner.ledger, events.join(",")),
                    );
                }
            }
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(20));
            inner = self.changed.wait_timeout(inner, left).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

impl Inner {
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.rows.iter().filter(|(_, row)| row.tether == Some(id)).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.ledger += 1;
        for key in keys {
            self.rows.remove(&key);
            self.note_change(key, None);
        }
    }

    fn note_change(&mut self, key: String, value: Option<Json>) {
        let mark = self.ledger;
        self.changes.push_back(Change { mark, key, value });
        if self.changes.len() > 10_000 {
            self.changes.pop_front();
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        match self.rows.get(key) {
            Some(row) => (200, row_text(key, row)),
            None => (404, format!(r#"{{"ledger":{}}}"#, self.ledger)),
        }
    }

    fn list(&self, url: &str) -> (u16, String) {
        let prefix = query(url, "prefix").unwrap_or("");
        let after = query(url, "after").unwrap_or("");
        let limit: usize = query(url, "limit").and_then(|v| v.parse().ok()).unwrap_or(1000).min(1000);
        let mut rows = Vec::new();
        let (mut bytes, mut more) = (0, false);
        let from = if after > prefix {
            Bound::Excluded(after.to_owned())
        } else {
            Bound::Included(prefix.to_owned())
        };
        for (key, row) in self.rows.range((from, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            let text = row_text(key, row);
            if rows.len() == limit || bytes + text.len() > 512 * 1024 {
                more = true;
                break;
            }
            bytes += text.len();
            rows.push(text);
        }
        (200, format!(r#"{{"rows":[{}],"more":{more},"ledger":{}}}"#, rows.join(","), self.ledger))
    }

    fn commit(&mut self, body: &str, value_bytes: usize, txn_ops: usize) -> (u16, String) {
        let Some(txn) = Json::parse(body) else { return (400, r#"{"error":"malformed"}"#.into()) };
        let conditions = txn.get("if").map(Json::arr).unwrap_or_default();
        let writes = txn.get("writes").map(Json::arr).unwrap_or_default();
        let too_large = writes.iter().any(|w| w.get("v").is_some_and(|v| v.text().len() > value_bytes));
        if body.len() > 64 * 1024 || writes.len() > txn_ops || conditions.len() > 4 * txn_ops || too_large {
            return (400, r#"{"error":"too large"}"#.into());
        }
        if !writes.is_empty() && !self.writes.take(writes.len() as f64) {
            return (429, r#"{"error":"too many changes"}"#.into());
        }
        let dead = |w: &Json| w.field_u64("tether").is_some_and(|id| !self.leases.contains_key(&id));
        if writes.iter().any(dead) {
            return (400, r#"{"error":"no such lease"}"#.into());
        }
        let failed: Vec<String> = conditions
            .iter()
            .filter(|c| {
                let key = c.field_str("k").unwrap_or("");
                self.rows.get(key).map_or(0, |row| row.mark) != c.field_u64("mark").unwrap_or(0)
            })
            .map(|c| quote(c.field_str("k").unwrap_or("")))
            .collect();
        if !failed.is_empty() {
            return (409, format!(r#"{{"failed":[{}],"ledger":{}}}"#, failed.join(","), self.ledger));
        }
        if !writes.is_empty() {
            self.ledger += 1;
        }
        for w in writes {
            if let Some(key) = w.field_str("write") {
                let value = w.get("v").cloned().unwrap_or(Json::Null);
                let row = Row { value: value.clone(), mark: self.ledger, tether: w.field_u64("tether") };
                self.rows.insert(key.to_owned(), row);
                self.note_change(key.to_owned(), Some(value));
            } else if let Some(key) = w.field_str("drop")
                && self.rows.remove(key).is_some()
            {
                self.note_change(key.to_owned(), None);
            }
        }
        (200, format!(r#"{{"ledger":{}}}"#, self.ledger))
    }

    fn grant(&mut self, body: &str) -> (u16, String) {
        let ms =
            Json::parse(body).and_then(|b| b.field_u64("lifeMs")).filter(|ms| (100..=600_000).contains(ms));
        let Some(ms) = ms else { return (400, "{}".into()) };
        let id = self.leases.keys().next_back().copied().unwrap_or(0).max(self.ledger) + 1;
        let life = Duration::from_millis(ms);
        self.ledger += 1;
        self.leases.insert(id, Lease { life, until: Instant::now() + life });
        (200, format!(r#"{{"tether":{id}}}"#))
    }

    fn renew(&mut self, id: Option<u64>) -> (u16, String) {
        match id.and_then(|id| self.leases.get_mut(&id)) {
            Some(lease) => {
                lease.until = Instant::now() + lease.life;
                (200, "{}".into())
            }
            None => (404, "{}".into()),
        }
    }
}

fn row_text(key: &str, row: &Row) -> String {
    let tether = row.tether.map_or(String::new(), |id| format!(r#","tether":{id}"#));
    format!(r#"{{"k":{},"v":{},"mark":{}{tether}}}"#, quote(key), row.value.text(), row.mark)
}
