//! The roll of machines: before anything is started on a machine its name is on record, so that
//! after a takeover it is asked for. Names are kept many to a page, since the state service counts
//! changes and not bytes: at a change a machine, hundreds of machines would take it half a minute.
//! Each controller writes pages of its own, and says which of its names may go.

use crate::machine_shard::MachineRecord;
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
    store_version: u64,
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
    pub store_version: u64,
    /// The page; None if nothing is left on it.
    pub value: Option<Value>,
    /// The names on it.
    pub names: Vec<String>,
}

/// This controller's pages.
pub struct MachineRegistry {
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

impl MachineRegistry {
    /// No pages yet; a page has at most `limit` bytes.
    pub fn new(member: &str, limit: usize) -> MachineRegistry {
        MachineRegistry { member: member.into(), limit, pages: BTreeMap::new(), at: BTreeMap::new() }
    }

    fn own(&self, key: &str) -> Option<u32> {
        let (member, page) = key.strip_prefix(PREFIX)?.rsplit_once('/')?;
        (member == self.member).then(|| page.parse().ok()).flatten()
    }

    /// A new epoch: all pages are read again.
    pub fn unread(&mut self) {
        for p in self.pages.values_mut() {
            p.store_version = 0;
            p.dirty = true;
            p.state = State::Idle;
        }
    }

    /// Takes a page as the store has it, if it is ours.
    pub fn take(&mut self, key: &str, rows: &[(String, MachineRecord)], store_version: u64) {
        let Some(n) = self.own(key) else { return };
        for (name, r) in rows {
            // A name stands on one page only.
            if !self.at.contains_key(name) {
                self.put(n, name, r);
            }
        }
        let Some(p) = self.pages.get_mut(&n) else { return };
        p.store_version = store_version;
        p.dirty = p.names.len() != rows.len() || rows.iter().any(|(name, _)| !p.names.contains_key(name));
    }

    fn put(&mut self, n: u32, name: &str, r: &MachineRecord) {
        let p = self.pages.entry(n).or_insert_with(|| Page {
            names: BTreeMap::new(),
            bytes: 2,
            store_version: 0,
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
            store_version: p.store_version,
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
    pub fn written(&mut self, w: &PageWrite, store_version: u64) {
        let Some(p) = self.pages.get_mut(&w.page) else { return };
        p.state = State::Idle;
        p.store_version = if w.value.is_some() { store_version } else { 0 };
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

    /// A page was read after a write without an answer: its version, and what stands on it. Says which of its names are known
    /// by that to be on record.
    ///
    /// They are if the version has moved on: what was sent before builds on an older one and can't be carried out any
    /// more. While it has not, a late write may yet take away what is read.
    pub fn read_back(&mut self, page: u32, read: Option<(u64, &[(String, MachineRecord)])>) -> Vec<String> {
        let Some(p) = self.pages.get_mut(&page) else { return Vec::new() };
        let Some((store_version, rows)) = read else {
            p.state = State::Lost;
            return Vec::new();
        };
        p.state = State::Idle;
        if store_version == p.store_version {
            return Vec::new();
        }
        p.store_version = store_version;
        let ours = rows.iter().filter(|(name, r)| p.names.get(name) == Some(r));
        let ours: Vec<String> = ours.map(|(name, _)| name.clone()).collect();
        p.stale = rows.len() - ours.len();
        p.dirty = ours.len() < p.names.len() || p.names.is_empty();
        ours
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
mod tests;
