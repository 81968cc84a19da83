//! The roll of machines: before anything is started on a machine its name is on record, so that
//! after a takeover it is asked for. Names are kept many to a page, since the state service counts
//! changes and not bytes: at a change a machine, hundreds of machines would take it half a minute.
//! Each controller writes pages of its own, and says which of its names may go.

use crate::machines::MachineRecord;
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Where pages are kept.
pub const PREFIX: &str = "mach/";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Writing,
    /// A write's fate is unknown: the page's version must be read before the next.
    Lost,
    Reading,
}

#[derive(Debug)]
struct Page {
    names: BTreeMap<String, MachineRecord>,
    bytes: usize,
    mark: u64,
    /// It differs from what the store has. Names that may go don't count: they can wait.
    dirty: bool,
    /// How many names the store's page has that are gone.
    stale: usize,
    state: State,
}

/// A page to write.
#[derive(Clone, Debug, PartialEq)]
pub struct PageWrite {
    /// Which page.
    pub page: u32,
    /// Its key.
    pub key: String,
    /// The version it builds on. Without this condition a write that is applied late would take
    /// away names that a newer one has added.
    pub mark: u64,
    /// The page; None if nothing is left on it.
    pub value: Option<Value>,
    /// The names on it.
    pub names: Vec<String>,
}

/// This controller's pages.
pub struct Roll {
    member: String,
    limit: usize,
    pages: BTreeMap<u32, Page>,
    at: BTreeMap<String, u32>,
}

fn entry(r: &MachineRecord) -> Value {
    json!([r.kind, r.zone, r.spot, r.addr])
}

/// Reads a page: names and what is known of the machines.
pub fn read(v: &Value) -> Option<Vec<(String, MachineRecord)>> {
    let row = |(name, v): (&String, &Value)| {
        let (kind, zone, spot, addr) = serde_json::from_value(v.clone()).ok()?;
        Some((name.clone(), MachineRecord { kind, zone, spot, addr }))
    };
    v.as_object()?.iter().map(row).collect()
}

impl Roll {
    /// No pages yet; a page has at most `limit` bytes.
    pub fn new(member: &str, limit: usize) -> Roll {
        Roll { member: member.into(), limit, pages: BTreeMap::new(), at: BTreeMap::new() }
    }

    fn own(&self, key: &str) -> Option<u32> {
        let (member, page) = key.strip_prefix(PREFIX)?.rsplit_once('/')?;
        (member == self.member).then(|| page.parse().ok()).flatten()
    }

    /// A new epoch: all pages are read again.
    pub fn unread(&mut self) {
        for p in self.pages.values_mut() {
            p.mark = 0;
            p.dirty = true;
            p.state = State::Idle;
        }
    }

    /// Takes a page as the store has it, if it is ours.
    pub fn take(&mut self, key: &str, rows: &[(String, MachineRecord)], mark: u64) {
        let Some(n) = self.own(key) else { return };
        for (name, r) in rows {
            // A name stands on one page only.
            if !self.at.contains_key(name) {
                self.put(n, name, r);
            }
        }
        let Some(p) = self.pages.get_mut(&n) else { return };
        p.mark = mark;
        p.dirty = p.names.len() != rows.len() || rows.iter().any(|(name, _)| !p.names.contains_key(name));
    }

    fn put(&mut self, n: u32, name: &str, r: &MachineRecord) {
        let p = self.pages.entry(n).or_insert_with(|| Page {
            names: BTreeMap::new(),
            bytes: 2,
            mark: 0,
            dirty: true,
            stale: 0,
            state: State::Idle,
        });
        p.bytes += size(name, r);
        p.names.insert(name.into(), r.clone());
        p.dirty = true;
        self.at.insert(name.into(), n);
    }

    /// Puts a machine on the roll.
    pub fn add(&mut self, name: &str, r: &MachineRecord) {
        // A page from before the limits fell stays as it is until enough of its names are gone: it can't be
        // written, and what it names is on record. A name of it that must be written goes on another as well.
        let limit = self.limit;
        let page = self.at.get(name).and_then(|n| self.pages.get_mut(n));
        if let Some(p) = page.filter(|p| p.bytes <= limit) {
            // Its caller doesn't know that it is on record, so it is written again.
            p.dirty = true;
            return;
        }
        // One that is to be written anyway, else the emptiest that is half empty, which takes those that come
        // next as well: names that fill the gaps of many pages cost a change each, and machines come by the
        // dozen.
        let room = |p: &Page| p.bytes + size(name, r) <= if p.dirty { self.limit } else { self.limit / 2 };
        let free = self.pages.iter().filter(|(_, p)| room(p));
        let free = free.min_by_key(|(n, p)| (!p.dirty, p.bytes, **n)).map(|(n, _)| *n);
        let next = || (0..).find(|n| !self.pages.contains_key(n)).unwrap_or(0);
        self.put(free.unwrap_or_else(next), name, r);
    }

    /// Takes names off that are certainly gone. Their pages are written with the next change.
    pub fn prune(&mut self, gone: impl Fn(&str) -> bool) {
        let limit = self.limit;
        for p in self.pages.values_mut() {
            let (before, bytes) = (p.names.len(), &mut p.bytes);
            let too_long = *bytes > limit;
            p.names.retain(|name, r| {
                let stays = !gone(name);
                if !stays {
                    *bytes -= size(name, r);
                }
                stays
            });
            p.stale += before - p.names.len();
            // An empty page goes at once, and one that fits again is written while it does.
            p.dirty |= p.names.len() < before && (p.names.is_empty() || (too_long && p.bytes <= limit));
        }
        self.at.retain(|name, _| !gone(name));
    }

    /// The next page to write; with `spare` budget also one that has become empty and may go.
    pub fn next_write(&mut self, spare: bool) -> Option<PageWrite> {
        let member = &self.member;
        let limit = self.limit;
        // Names that are gone go with the next change; where they make up much of a page, from what is spare.
        let worn = |p: &Page| spare && p.stale * 4 > p.names.len();
        let fits = |p: &Page| {
            (p.dirty || worn(p))
                && p.state == State::Idle
                && p.bytes <= limit
                && (spare || !p.names.is_empty())
        };
        let (&n, p) = self.pages.iter_mut().find(|(_, p)| fits(p))?;
        p.state = State::Writing;
        p.dirty = false;
        p.stale = 0;
        let map: Map<String, Value> = p.names.iter().map(|(n, r)| (n.clone(), entry(r))).collect();
        Some(PageWrite {
            page: n,
            key: format!("{PREFIX}{member}/{n}"),
            mark: p.mark,
            value: (!map.is_empty()).then_some(Value::Object(map)),
            names: p.names.keys().cloned().collect(),
        })
    }

    /// The next page whose version must be read.
    pub fn next_read(&mut self) -> Option<(u32, String)> {
        let (&n, p) = self.pages.iter_mut().find(|(_, p)| p.state == State::Lost)?;
        p.state = State::Reading;
        Some((n, format!("{PREFIX}{}/{n}", self.member)))
    }

    /// A write was applied, with the page's new version.
    pub fn written(&mut self, w: &PageWrite, mark: u64) {
        let Some(p) = self.pages.get_mut(&w.page) else { return };
        p.state = State::Idle;
        p.mark = if w.value.is_some() { mark } else { 0 };
        if p.names.is_empty() && w.value.is_none() {
            self.pages.remove(&w.page);
        }
    }

    /// A write had no effect (`certain`), or nobody knows.
    pub fn failed(&mut self, page: u32, certain: bool) {
        if let Some(p) = self.pages.get_mut(&page) {
            p.state = if certain { State::Idle } else { State::Lost };
            p.dirty = true;
        }
    }

    /// A page's version was read.
    pub fn version(&mut self, page: u32, mark: Option<u64>) {
        if let Some(p) = self.pages.get_mut(&page) {
            p.state = if mark.is_some() { State::Idle } else { State::Lost };
            p.mark = mark.unwrap_or(p.mark);
        }
    }

    /// Names on our pages, for tests and the status.
    pub fn names(&self) -> BTreeSet<&str> {
        self.at.keys().map(String::as_str).collect()
    }
}

fn size(name: &str, r: &MachineRecord) -> usize {
    entry(r).to_string().len() + json!(name).to_string().len() + 2
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    fn record() -> MachineRecord {
        MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.1:9000".into() }
    }

    /// Seen on sanaq-forms-next: half of all changes went to pages of the roll in a swing of arrivals.
    #[test]
    fn machines_that_come_together_go_on_few_pages() {
        let mut roll = Roll::new("c0", 1000);
        let writes = |roll: &mut Roll| std::iter::from_fn(|| roll.next_write(false)).count();
        for i in 0..200 {
            roll.add(&format!("i-{i:06}"), &record());
        }
        let all = writes(&mut roll);
        assert!(all > 8);
        for n in 0..all as u32 {
            roll.failed(n, true);
            roll.pages.get_mut(&n).expect("a page").dirty = false;
        }
        // One of ten is gone, so that there is a gap on every page; as many come anew, five at a time.
        roll.prune(|n| n.ends_with('7'));
        let mut more = 0;
        for i in 0..20 {
            roll.add(&format!("i-9{i:05}"), &record());
            if i % 5 == 4 {
                more += writes(&mut roll);
            }
        }
        assert!(more <= 5, "{more} changes for four times five names");
    }

    /// Writes get lost, are applied late, or go unanswered: a name that was reported as written is in
    /// the store from then on, until it is taken off.
    #[test]
    fn what_was_written_stays_whatever_is_applied_late() {
        for seed in 0..40 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut roll = Roll::new("c0", 300);
            let mut store: BTreeMap<String, (Value, u64)> = BTreeMap::new();
            let mut mark = 0;
            let mut late: Vec<PageWrite> = Vec::new();
            let mut sure: BTreeSet<String> = BTreeSet::new();
            let mut next = 0;
            let mut apply = |w: &PageWrite, store: &mut BTreeMap<String, (Value, u64)>| {
                if store.get(&w.key).map_or(0, |v| v.1) != w.mark {
                    return None;
                }
                mark += 1;
                match &w.value {
                    Some(v) => store.insert(w.key.clone(), (v.clone(), mark)),
                    None => store.remove(&w.key),
                };
                Some(mark)
            };
            for _ in 0..300 {
                match rng.random_range(0..5) {
                    0 => {
                        roll.add(&format!("i-{next:06}"), &record());
                        next += 1;
                    }
                    1 if !late.is_empty() => {
                        let w = late.remove(rng.random_range(0..late.len()));
                        apply(&w, &mut store);
                    }
                    2 => {
                        let gone = format!("i-{:06}", rng.random_range(0..next + 1));
                        roll.prune(|n| n == gone);
                        sure.remove(&gone);
                    }
                    3 => {
                        if let Some((page, key)) = roll.next_read() {
                            let found = store.get(&key).map_or(0, |v| v.1);
                            roll.version(page, rng.random_bool(0.8).then_some(found));
                        }
                    }
                    _ => {
                        let Some(w) = roll.next_write(true) else { continue };
                        assert!(w.value.as_ref().is_none_or(|v| v.to_string().len() <= 300));
                        match rng.random_range(0..3) {
                            0 => {
                                late.push(w.clone());
                                roll.failed(w.page, false);
                            }
                            _ => match apply(&w, &mut store) {
                                Some(m) => {
                                    roll.written(&w, m);
                                    let on = roll.names();
                                    sure.extend(w.names.into_iter().filter(|n| on.contains(n.as_str())));
                                }
                                None => roll.failed(w.page, false),
                            },
                        }
                    }
                }
                let stored: BTreeSet<String> =
                    store.values().flat_map(|(v, _)| read(v).expect("readable")).map(|(n, _)| n).collect();
                assert!(sure.is_subset(&stored), "seed {seed}: {:?}", sure.difference(&stored));
            }
        }
    }
}
