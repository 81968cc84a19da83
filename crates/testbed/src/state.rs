//! The state service: a small consistent store with leases, conditions and watches. Pure: time is an argument.
//! `http` puts it on a port; the seeded world of the daemon's tests drives it directly.

use hazelsaddle::state_store::{KeyValue, StoreAnswer, StoreRequest, Transaction};
use hazelsaddle::units::Micros;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// The service's contents.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Keys with value, version and lease.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Leases with their length and their end, in microseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    /// Counts changes.
    pub revision: u64,
    changes: VecDeque<(u64, String, Option<Value>)>,
    /// The latest revision of which a change is kept no more.
    kept_after: u64,
    /// How many changes are kept for watches.
    pub keep: usize,
    /// Keys on a page of those that begin with `ring/`, and of all others.
    pub pages: (usize, usize),
    /// Longest value in bytes, and most changes in a transaction.
    pub limits: (usize, usize),
}

impl State {
    /// An empty one with PROTOCOL's sizes.
    pub fn new() -> State {
        State { keep: 10_000, pages: (1000, 1000), limits: (4096, 8), ..State::default() }
    }

    /// The same with other sizes: changes kept for watches, keys on a page of those that begin with `ring/` and of
    /// all others, and the limits.
    pub fn sized(keep: usize, pages: (usize, usize), limits: (usize, usize)) -> State {
        State { keep, pages, limits, ..State::new() }
    }

    /// Ends leases whose time is over, with their keys.
    pub fn expire(&mut self, now: u64) {
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
    fn end_lease(&mut self, id: u64) -> bool {
        let there = self.leases.remove(&id).is_some();
        if there {
            self.revision += 1;
            let gone: Vec<String> =
                self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
            for k in gone {
                self.keys.remove(&k);
                self.changed(k, None);
            }
        }
        there
    }
    /// An outage is over: leases have their full time again.
    pub fn extend_leases(&mut self, now: u64) {
        for l in self.leases.values_mut() {
            l.1 = now + l.0;
        }
    }
    fn changed(&mut self, key: String, value: Option<Value>) {
        self.changes.push_back((self.revision, key, value));
        while self.changes.len() > self.keep {
            if let Some((revision, ..)) = self.changes.pop_front() {
                self.kept_after = revision;
            }
        }
    }

    /// All changes that are kept, in order: revision, key, value.
    pub fn history(&self) -> impl Iterator<Item = (u64, &str, Option<&Value>)> {
        self.changes.iter().map(|(at, k, v)| (*at, k.as_str(), v.as_ref()))
    }

    /// What a watch has to tell: None while there is nothing.
    pub fn news(&self, prefix: &str, after: u64) -> Option<StoreAnswer> {
        if self.kept_after > after {
            return Some(StoreAnswer::Compacted);
        }
        let told = |c: &&(u64, String, Option<Value>)| c.0 > after && c.1.starts_with(prefix);
        // In order of revisions: what is older need not be looked at, however much is kept.
        let first = self.changes.partition_point(|c| c.0 <= after);
        let mut events = self.changes.range(first..).filter(told).peekable();
        events.peek()?;
        let written = events.filter_map(|(_, k, v)| Some((k.clone(), v.clone()?))).collect();
        Some(StoreAnswer::Changes(self.revision, written))
    }

    /// Carries out a request. A watch is answered as if its time had run out.
    pub fn apply(&mut self, now: u64, r: StoreRequest) -> StoreAnswer {
        self.expire(now);
        let row = |k: &String, v: &(Value, u64, Option<u64>)| KeyValue {
            key: k.clone(),
            value: v.0.clone(),
            store_version: v.1,
        };
        match r {
            StoreRequest::Get(k) => StoreAnswer::Got(self.keys.get(&k).map(|v| row(&k, v))),
            StoreRequest::List(prefix, after) => {
                let page = if prefix.starts_with("ring/") { self.pages.0 } else { self.pages.1 };
                let mut rows: Vec<KeyValue> = self
                    .keys
                    .range(prefix.clone()..)
                    .take_while(|(k, _)| k.starts_with(&prefix))
                    .filter(|(k, _)| **k > after)
                    .take(page)
                    .map(|(k, v)| row(k, v))
                    .collect();
                let more = rows.len() == page;
                if more {
                    rows.pop();
                }
                StoreAnswer::Page(rows, more)
            }
            StoreRequest::Transaction(Transaction { conditions, puts, deletes: drops }) => {
                let failed: Vec<String> = conditions
                    .into_iter()
                    .filter(|(k, m)| self.keys.get(k).map_or(0, |v| v.1) != *m)
                    .map(|(k, _)| k)
                    .collect();
                if puts.iter().any(|(_, _, l)| l.is_some_and(|l| !self.leases.contains_key(&l))) {
                    return StoreAnswer::NoLease;
                }
                if !failed.is_empty() {
                    return StoreAnswer::Conflict(failed);
                }
                assert!(puts.len() + drops.len() <= self.limits.1, "a transaction is too large");
                self.revision += 1;
                for (k, v, l) in puts {
                    assert!(v.to_string().len() <= self.limits.0, "a value is too long: {k}");
                    self.changed(k.clone(), Some(v.clone()));
                    self.keys.insert(k, (v, self.revision, l));
                }
                for k in drops {
                    self.changed(k.clone(), None);
                    self.keys.remove(&k);
                }
                StoreAnswer::Committed(self.revision)
            }
            StoreRequest::Revision => StoreAnswer::CurrentRevision(self.revision),
            StoreRequest::Watch(..) => StoreAnswer::Changes(self.revision, Vec::new()),
            StoreRequest::Grant(ms) => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (ms * 1000, now + ms * 1000));
                StoreAnswer::Granted(self.next_lease)
            }
            StoreRequest::Renew(id) => match self.leases.get_mut(&id) {
                Some(l) => {
                    l.1 = now + l.0;
                    StoreAnswer::Renewed
                }
                None => StoreAnswer::NoLease,
            },
        }
    }

    /// A request as it comes over HTTP, and its answer. A watch that has nothing to tell gives None until `last`.
    pub fn http(
        &mut self,
        now: u64,
        method: &str,
        url: &str,
        body: &Value,
        last: bool,
    ) -> Option<(u16, Value)> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let asked = |key: &str| {
            let pair = query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
            pair.unwrap_or("").to_owned()
        };
        let number = |text: &str| text.parse::<u64>().unwrap_or(0);
        let lease = path.strip_prefix("/grants/").map(|r| number(r.trim_end_matches("/renew")));
        let request = match (method, path) {
            ("GET", "/store") => StoreRequest::List(asked("prefix"), asked("after")),
            ("GET", "/changes") => {
                let (prefix, after) = (asked("prefix"), number(&asked("after")));
                self.expire(now);
                let news = match self.news(&prefix, after) {
                    None if !last => return None,
                    None => StoreAnswer::Changes(self.revision, Vec::new()),
                    Some(news) => news,
                };
                return Some(self.told(news));
            }
            ("GET", _) if path.starts_with("/store/") => {
                StoreRequest::Get(path["/store/".len()..].to_owned())
            }
            ("POST", "/grants") => StoreRequest::Grant(body["lifeMs"].as_u64().unwrap_or(5000)),
            ("POST", "/commit") => {
                let list = |key: &str| body[key].as_array().cloned().unwrap_or_default();
                let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
                let mut c = Transaction::default();
                for i in list("if") {
                    c.conditions.push((text(&i["k"]), i["mark"].as_u64().unwrap_or(0)));
                }
                for w in list("writes") {
                    match w["drop"].as_str() {
                        Some(k) => c.deletes.push(k.to_owned()),
                        None => c.puts.push((text(&w["write"]), w["v"].clone(), w["tether"].as_u64())),
                    }
                }
                let long = c.puts.iter().any(|p| p.1.to_string().len() > self.limits.0);
                if long || c.puts.len() + c.deletes.len() > self.limits.1 {
                    return Some((400, json!({"error": "too large"})));
                }
                StoreRequest::Transaction(c)
            }
            ("POST", _) if lease.is_some() => StoreRequest::Renew(lease.unwrap_or(0)),
            ("DELETE", _) if lease.is_some() => {
                let there = self.end_lease(lease.unwrap_or(0));
                return Some((if there { 200 } else { 404 }, json!({})));
            }
            _ => return Some((400, json!({"error": "no such request"}))),
        };
        let is_commit = matches!(request, StoreRequest::Transaction(_));
        let answer = self.apply(now, request);
        Some(match answer {
            StoreAnswer::NoLease if is_commit => (400, json!({"error": "no such lease"})),
            a => self.told(a),
        })
    }

    fn told(&self, a: StoreAnswer) -> (u16, Value) {
        let ledger = self.revision;
        let row = |r: KeyValue| {
            let tether = self.keys.get(&r.key).and_then(|v| v.2);
            json!({"k": r.key, "v": r.value, "mark": r.store_version, "tether": tether})
        };
        match a {
            StoreAnswer::Got(Some(r)) => (200, row(r)),
            StoreAnswer::Got(None) => (404, json!({"ledger": ledger})),
            StoreAnswer::Page(rows, more) => {
                let rows: Vec<Value> = rows.into_iter().map(row).collect();
                (200, json!({"rows": rows, "more": more, "ledger": ledger}))
            }
            StoreAnswer::Committed(at) | StoreAnswer::CurrentRevision(at) => (200, json!({"ledger": at})),
            StoreAnswer::Conflict(failed) => (409, json!({"failed": failed, "ledger": ledger})),
            StoreAnswer::NoLease => (404, json!({"error": "no such lease"})),
            StoreAnswer::Granted(id) => (200, json!({"tether": id})),
            StoreAnswer::Renewed => (200, json!({})),
            StoreAnswer::Changes(at, events) => {
                let events: Vec<Value> =
                    events.into_iter().map(|(k, v)| json!({"write": k, "v": v, "mark": at})).collect();
                (200, json!({"ledger": at, "events": events}))
            }
            StoreAnswer::Compacted => (410, json!({"ledger": ledger})),
            StoreAnswer::Refused | StoreAnswer::Unknown => (503, json!({"error": "trouble"})),
        }
    }

    /// How long a watch may wait.
    pub fn wait_of(url: &str) -> Option<Micros> {
        let query = url.strip_prefix("/changes?")?;
        let ms = query.split('&').find_map(|p| p.strip_prefix("waitMs=")).and_then(|n| n.parse().ok());
        Some(Micros::from_millis(ms.unwrap_or(0u64).min(60_000)))
    }
}
