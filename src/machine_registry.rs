//! The machine registry: the durable list of machines. Before anything is started on a machine its name is on record, so
//! that after a failover it is asked for.
//!
//! Names are kept many to a page, since the state service counts changes and not bytes: at a change a machine, hundreds
//! of machines would take half a minute. Each controller owns pages of its own, writes no others, and says which of its
//! names may go. A page must never be written without its version as a precondition: a write that is applied late would
//! take away names that a newer one has added.

use crate::machine_shard::MachineRecord;
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Where pages are kept.
pub const PREFIX: &str = "mach/";
/// Bytes of a page without names.
const EMPTY_PAGE_BYTES: usize = 2;
/// Bytes between an entry and the next, and between a name and what is known of its machine.
const SEPARATOR_BYTES: usize = 2;
/// A page is written to take names off once one in so many of them is gone, if the write budget allows.
const STALE_FRACTION: usize = 4;

/// A page that is not of the form in which pages are written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedPage {
    /// It is not a map of machines.
    #[error("the page is not a map of machines")]
    NotAMap,
    /// What stands at a name is no machine.
    #[error("the entry of {0} is not a machine")]
    Entry(String),
}

/// What a page waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PageState {
    Idle,
    Writing,
    /// A write's fate is unknown: the page's version must be read before the next.
    Unknown,
    Reading,
}

#[derive(Debug)]
struct Page {
    machines: BTreeMap<String, MachineRecord>,
    bytes: usize,
    version: u64,
    /// It differs from what the store has. Names that may go don't count: they can wait.
    is_dirty: bool,
    /// How many names the store's page has that are gone.
    stale: usize,
    state: PageState,
}

impl Page {
    fn new() -> Page {
        Page {
            machines: BTreeMap::new(),
            bytes: EMPTY_PAGE_BYTES,
            version: 0,
            is_dirty: true,
            stale: 0,
            state: PageState::Idle,
        }
    }

    fn value(&self) -> Option<Value> {
        let entries: Map<String, Value> =
            self.machines.iter().map(|(name, machine)| (name.clone(), entry(machine))).collect();
        (!entries.is_empty()).then_some(Value::Object(entries))
    }
}

/// A page to write.
#[derive(Clone, Debug, PartialEq)]
pub struct PageWrite {
    /// Which page.
    pub page: u32,
    /// Its key.
    pub key: String,
    /// The version that it builds on: the precondition of the write.
    pub base_version: u64,
    /// The page; None if nothing is left on it.
    pub value: Option<Value>,
    /// The names on it.
    pub names: Vec<String>,
}

/// This controller's pages.
pub struct MachineRegistry {
    member: String,
    value_bytes: usize,
    pages: BTreeMap<u32, Page>,
    /// By machine, the page on which it stands.
    page_of: BTreeMap<String, u32>,
}

/// Reads a page: names and what is known of the machines.
///
/// # Errors
/// If the value is not a page.
pub fn read_page(page: &Value) -> Result<Vec<(String, MachineRecord)>, MalformedPage> {
    let entries = page.as_object().ok_or(MalformedPage::NotAMap)?;
    let machine = |(name, entry): (&String, &Value)| {
        let (kind, zone, spot, addr) =
            serde_json::from_value(entry.clone()).map_err(|_| MalformedPage::Entry(name.clone()))?;
        Ok((name.clone(), MachineRecord { kind, zone, spot, addr }))
    };
    entries.iter().map(machine).collect()
}

impl MachineRegistry {
    /// No pages yet; a page has at most `value_bytes`.
    #[must_use]
    pub fn new(member: &str, value_bytes: usize) -> MachineRegistry {
        MachineRegistry {
            member: member.into(),
            value_bytes,
            pages: BTreeMap::new(),
            page_of: BTreeMap::new(),
        }
    }

    /// The number of a page of ours, by its key.
    fn own_page(&self, key: &str) -> Option<u32> {
        let (member, number) = key.strip_prefix(PREFIX)?.rsplit_once('/')?;
        if member == self.member { number.parse().ok() } else { None }
    }

    fn key(&self, number: u32) -> String {
        format!("{PREFIX}{}/{number}", self.member)
    }

    /// A new epoch: all pages are read again.
    pub fn adopt_epoch(&mut self) {
        for page in self.pages.values_mut() {
            page.version = 0;
            page.is_dirty = true;
            page.state = PageState::Idle;
        }
    }

    /// Takes a page and its version as the store has it, if it is ours.
    pub fn apply_page(&mut self, key: &str, machines: &[(String, MachineRecord)], version: u64) {
        let Some(number) = self.own_page(key) else { return };
        for (name, machine) in machines {
            // A name stands on one page only.
            if !self.page_of.contains_key(name) {
                self.insert(number, name, machine);
            }
        }
        let Some(page) = self.pages.get_mut(&number) else { return };
        page.version = version;
        page.is_dirty = page.machines.len() != machines.len()
            || machines.iter().any(|(name, _)| !page.machines.contains_key(name));
    }

    fn insert(&mut self, number: u32, name: &str, machine: &MachineRecord) {
        let page = self.pages.entry(number).or_insert_with(Page::new);
        page.bytes += entry_bytes(name, machine);
        page.machines.insert(name.into(), machine.clone());
        page.is_dirty = true;
        self.page_of.insert(name.into(), number);
    }

    /// Puts a machine on record. One that is there already is written again: the caller doesn't know that it is.
    pub fn register(&mut self, name: &str, machine: &MachineRecord) {
        // A page from before the limit on values fell stays as it is until enough of its names are gone: it can't be
        // written, and what it names is on record. A name of it that must be written goes on another page as well.
        let value_bytes = self.value_bytes;
        let page = self.page_of.get(name).and_then(|number| self.pages.get_mut(number));
        if let Some(page) = page.filter(|page| page.bytes <= value_bytes) {
            page.is_dirty = true;
            return;
        }
        let number = self.page_for(entry_bytes(name, machine));
        self.insert(number, name, machine);
    }

    /// The page for an entry of this length: one that is to be written anyway, else the emptiest that is half empty,
    /// which takes those that come next as well, else a new one. Names that fill the gaps of many pages cost a change
    /// each, and machines come by the dozen.
    fn page_for(&self, bytes: usize) -> u32 {
        let has_space = |page: &Page| {
            page.bytes + bytes <= if page.is_dirty { self.value_bytes } else { self.value_bytes / 2 }
        };
        let fitting = self.pages.iter().filter(|(_, page)| has_space(page));
        let best = fitting.min_by_key(|(number, page)| (!page.is_dirty, page.bytes, **number));
        let unused = || (0..).find(|number| !self.pages.contains_key(number)).unwrap_or(0);
        best.map_or_else(unused, |(number, _)| *number)
    }

    /// Takes names off that are certainly gone. Their pages are written with the next change.
    pub fn remove_gone(&mut self, is_gone: impl Fn(&str) -> bool) {
        let value_bytes = self.value_bytes;
        for page in self.pages.values_mut() {
            let (names_before, bytes) = (page.machines.len(), &mut page.bytes);
            let was_too_long = *bytes > value_bytes;
            page.machines.retain(|name, machine| {
                let stays = !is_gone(name);
                if !stays {
                    *bytes -= entry_bytes(name, machine);
                }
                stays
            });
            let removed = names_before - page.machines.len();
            page.stale += removed;
            // An empty page goes at once, and one that fits again is written while it does.
            let fits_again = was_too_long && page.bytes <= value_bytes;
            page.is_dirty |= removed > 0 && (page.machines.is_empty() || fits_again);
        }
        self.page_of.retain(|name, _| !is_gone(name));
    }

    /// The next page to write; with `has_spare_budget` also one that has become empty and may go, or many of whose names
    /// are gone. It counts as under way until `commit_write` or `fail_write`.
    #[must_use]
    pub fn next_write(&mut self, has_spare_budget: bool) -> Option<PageWrite> {
        let value_bytes = self.value_bytes;
        let is_worn = |page: &Page| has_spare_budget && page.stale * STALE_FRACTION > page.machines.len();
        let is_due = |page: &Page| {
            (page.is_dirty || is_worn(page))
                && page.state == PageState::Idle
                && page.bytes <= value_bytes
                && (has_spare_budget || !page.machines.is_empty())
        };
        let (&number, page) = self.pages.iter_mut().find(|(_, page)| is_due(page))?;
        page.state = PageState::Writing;
        page.is_dirty = false;
        page.stale = 0;
        let (base_version, value) = (page.version, page.value());
        let names = page.machines.keys().cloned().collect();
        Some(PageWrite { page: number, key: self.key(number), base_version, value, names })
    }

    /// The next page whose version must be read, with its key. It counts as under way until `apply_read_back`.
    #[must_use]
    pub fn next_read(&mut self) -> Option<(u32, String)> {
        let (&number, page) = self.pages.iter_mut().find(|(_, page)| page.state == PageState::Unknown)?;
        page.state = PageState::Reading;
        Some((number, self.key(number)))
    }

    /// A write was applied, with the page's new version.
    pub fn commit_write(&mut self, write: &PageWrite, version: u64) {
        let Some(page) = self.pages.get_mut(&write.page) else { return };
        page.state = PageState::Idle;
        page.version = if write.value.is_some() { version } else { 0 };
        if page.machines.is_empty() && write.value.is_none() {
            self.pages.remove(&write.page);
        }
    }

    /// A write had no effect (`is_certain`), or nobody knows.
    pub fn fail_write(&mut self, page: u32, is_certain: bool) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.state = if is_certain { PageState::Idle } else { PageState::Unknown };
            page.is_dirty = true;
        }
    }

    /// A page was read after a write without an answer: its version, and what stands on it; None if it could not be
    /// read. Returns which of its names are known by that to be on record.
    ///
    /// They are if the version has moved on: what was sent before builds on an older one and can't be carried out any
    /// more. While it has not, a late write may yet take away what is read.
    #[must_use]
    pub fn apply_read_back(
        &mut self,
        page: u32,
        read: Option<(u64, &[(String, MachineRecord)])>,
    ) -> Vec<String> {
        let Some(page) = self.pages.get_mut(&page) else { return Vec::new() };
        let Some((version, machines)) = read else {
            page.state = PageState::Unknown;
            return Vec::new();
        };
        page.state = PageState::Idle;
        if version == page.version {
            return Vec::new();
        }
        page.version = version;
        let same = machines.iter().filter(|(name, machine)| page.machines.get(name) == Some(machine));
        let recorded: Vec<String> = same.map(|(name, _)| name.clone()).collect();
        page.stale = machines.len() - recorded.len();
        page.is_dirty = recorded.len() < page.machines.len() || page.machines.is_empty();
        recorded
    }

    /// Names on our pages.
    #[must_use]
    pub fn names(&self) -> BTreeSet<&str> {
        self.page_of.keys().map(String::as_str).collect()
    }
}

fn entry(machine: &MachineRecord) -> Value {
    json!([machine.kind, machine.zone, machine.spot, machine.addr])
}

fn entry_bytes(name: &str, machine: &MachineRecord) -> usize {
    entry(machine).to_string().len() + json!(name).to_string().len() + SEPARATOR_BYTES
}

#[cfg(test)]
mod tests;
