//! The machine registry: the durable list of machines. A machine's name is stored before any task is started on it,
//! so that a new leader waits for the machine after a failover.
//!
//! Each page holds many names, since the state store limits the number of writes rather than their bytes: at one
//! write per machine, hundreds of machines would take half a minute. Each controller has its own pages, writes no
//! others, and decides which of its names can be removed. A page must always be written with its version as a
//! precondition: otherwise a write that is applied late would remove names that a newer one has added.

use crate::machine_shard::MachineRecord;
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Key prefix of all pages.
pub const PREFIX: &str = "mach/";
/// Length of a page without entries, in bytes.
const EMPTY_PAGE_BYTES: usize = 2;
/// Bytes between two entries, and between a name and its machine's entry.
const SEPARATOR_BYTES: usize = 2;
/// A page is written to remove stale names once they are more than one in this many, if the write budget allows.
const STALE_FRACTION: usize = 4;

/// A page that does not have the expected format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedPage {
    /// It is not a map of machines.
    #[error("the page is not a map of machines")]
    NotAMap,
    /// The value of a name is not a machine.
    #[error("the entry of {0} is not a machine")]
    Entry(String),
}

/// The write state of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PageState {
    Idle,
    Writing,
    /// The result of a write is unknown: the page's version must be read before the next write.
    Unknown,
    Reading,
}

#[derive(Debug)]
struct Page {
    machines: BTreeMap<String, MachineRecord>,
    bytes: usize,
    version: u64,
    /// Whether it differs from the stored page in other ways than stale names, whose removal is not urgent.
    is_dirty: bool,
    /// Number of names on the stored page whose machines were returned to the cloud.
    stale_names: usize,
    state: PageState,
}

impl Page {
    fn new() -> Page {
        Page {
            machines: BTreeMap::new(),
            bytes: EMPTY_PAGE_BYTES,
            version: 0,
            is_dirty: true,
            stale_names: 0,
            state: PageState::Idle,
        }
    }

    fn value(&self) -> Option<Value> {
        let entries: Map<String, Value> =
            self.machines.iter().map(|(name, machine)| (name.clone(), entry_value(machine))).collect();
        (!entries.is_empty()).then_some(Value::Object(entries))
    }
}

/// A page write to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PageWrite {
    /// The page's number.
    pub page: u32,
    /// Its key.
    pub key: String,
    /// The store version that the write builds on, which is its precondition.
    pub base_version: u64,
    /// The page's value; None to delete the page, which has become empty.
    pub value: Option<Value>,
    /// The names on the page.
    pub names: Vec<String>,
}

/// The registry pages of this controller.
pub struct MachineRegistry {
    member: String,
    value_bytes: usize,
    pages: BTreeMap<u32, Page>,
    /// By machine, the page that holds it.
    page_of: BTreeMap<String, u32>,
}

/// Reads a page: the names and the machines' records.
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
    /// Creates a registry without pages. A page has at most `value_bytes`.
    #[must_use]
    pub fn new(member: &str, value_bytes: usize) -> MachineRegistry {
        MachineRegistry {
            member: member.into(),
            value_bytes,
            pages: BTreeMap::new(),
            page_of: BTreeMap::new(),
        }
    }

    /// Returns the number of the page with this key, if it belongs to this controller.
    fn own_page_number(&self, key: &str) -> Option<u32> {
        let (member, number) = key.strip_prefix(PREFIX)?.rsplit_once('/')?;
        if member == self.member { number.parse().ok() } else { None }
    }

    fn key(&self, number: u32) -> String {
        format!("{PREFIX}{}/{number}", self.member)
    }

    /// Adopts a new epoch, after which all pages are read again.
    pub fn adopt_epoch(&mut self) {
        for page in self.pages.values_mut() {
            page.version = 0;
            page.is_dirty = true;
            page.state = PageState::Idle;
        }
    }

    /// Applies a stored page and its version, if it belongs to this controller.
    pub fn apply_page(&mut self, key: &str, machines: &[(String, MachineRecord)], version: u64) {
        let Some(number) = self.own_page_number(key) else { return };
        for (name, machine) in machines {
            // Each name is on one page only.
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

    /// Adds a machine. If it is already on a page, that page is written again, since the caller has no proof that the
    /// name is stored.
    pub fn register(&mut self, name: &str, machine: &MachineRecord) {
        // A page that was written under a higher limit on value size cannot be written until enough of its names are
        // removed; the names on it are stored. If one of them must be written, it is also added to another page.
        let value_bytes = self.value_bytes;
        let page = self.page_of.get(name).and_then(|number| self.pages.get_mut(number));
        if let Some(page) = page.filter(|page| page.bytes <= value_bytes) {
            page.is_dirty = true;
            return;
        }
        let number = self.find_page_for(entry_bytes(name, machine));
        self.insert(number, name, machine);
    }

    /// Returns the page for an entry of this length: a page that will be written anyway, else the emptiest page that
    /// has room within half the limit, which then takes the next entries as well, else a new page. Filling the gaps
    /// of many pages would cost one write per page, and machines are added by the dozen.
    fn find_page_for(&self, bytes: usize) -> u32 {
        let has_space = |page: &Page| {
            page.bytes + bytes <= if page.is_dirty { self.value_bytes } else { self.value_bytes / 2 }
        };
        let fitting_pages = self.pages.iter().filter(|(_, page)| has_space(page));
        let best_page = fitting_pages.min_by_key(|(number, page)| (!page.is_dirty, page.bytes, **number));
        let find_unused_number = || (0..).find(|number| !self.pages.contains_key(number)).unwrap_or(0);
        best_page.map_or_else(find_unused_number, |(number, _)| *number)
    }

    /// Removes the names of machines that were certainly returned to the cloud. Their pages are written with the next
    /// change.
    pub fn remove_gone(&mut self, is_gone: impl Fn(&str) -> bool) {
        let value_bytes = self.value_bytes;
        for page in self.pages.values_mut() {
            let (names_before, bytes) = (page.machines.len(), &mut page.bytes);
            let was_too_long = *bytes > value_bytes;
            page.machines.retain(|name, machine| {
                let is_kept = !is_gone(name);
                if !is_kept {
                    *bytes -= entry_bytes(name, machine);
                }
                is_kept
            });
            let removed = names_before - page.machines.len();
            page.stale_names += removed;
            // A page that has become empty is deleted soon, and one that fits the limit again is written while it does.
            let fits_again = was_too_long && page.bytes <= value_bytes;
            page.is_dirty |= removed > 0 && (page.machines.is_empty() || fits_again);
        }
        self.page_of.retain(|name, _| !is_gone(name));
    }

    /// Returns the next page to write. With `has_spare_budget`, that may also be an empty page to delete, or one with
    /// many stale names. The write counts as in flight until `commit_write` or `fail_write`.
    #[must_use]
    pub fn next_write(&mut self, has_spare_budget: bool) -> Option<PageWrite> {
        let value_bytes = self.value_bytes;
        let has_many_stale_names =
            |page: &Page| has_spare_budget && page.stale_names * STALE_FRACTION > page.machines.len();
        let is_due = |page: &Page| {
            (page.is_dirty || has_many_stale_names(page))
                && page.state == PageState::Idle
                && page.bytes <= value_bytes
                && (has_spare_budget || !page.machines.is_empty())
        };
        let (&number, page) = self.pages.iter_mut().find(|(_, page)| is_due(page))?;
        page.state = PageState::Writing;
        page.is_dirty = false;
        page.stale_names = 0;
        let (base_version, value) = (page.version, page.value());
        let names = page.machines.keys().cloned().collect();
        Some(PageWrite { page: number, key: self.key(number), base_version, value, names })
    }

    /// Returns the next page whose version must be read, with its key. The read counts as in flight until
    /// `apply_read_back`.
    #[must_use]
    pub fn next_read(&mut self) -> Option<(u32, String)> {
        let (&number, page) = self.pages.iter_mut().find(|(_, page)| page.state == PageState::Unknown)?;
        page.state = PageState::Reading;
        Some((number, self.key(number)))
    }

    /// Records that a write was applied, with the page's new version.
    pub fn commit_write(&mut self, write: &PageWrite, version: u64) {
        let Some(page) = self.pages.get_mut(&write.page) else { return };
        page.state = PageState::Idle;
        page.version = if write.value.is_some() { version } else { 0 };
        if page.machines.is_empty() && write.value.is_none() {
            self.pages.remove(&write.page);
        }
    }

    /// Records that a write had no effect (`is_certain`), or that its result is unknown.
    pub fn fail_write(&mut self, page: u32, is_certain: bool) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.state = if is_certain { PageState::Idle } else { PageState::Unknown };
            page.is_dirty = true;
        }
    }

    /// Applies the read of a page after a write without a response: its version and entries; None if the read failed.
    /// Returns the names of this registry's page that are thereby known to be stored.
    ///
    /// They are if the version has advanced: any write that was sent earlier builds on an older version and can no
    /// longer be applied. While the version is unchanged, a late write may still replace what was read.
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
        let unchanged = machines.iter().filter(|(name, machine)| page.machines.get(name) == Some(machine));
        let stored: Vec<String> = unchanged.map(|(name, _)| name.clone()).collect();
        page.stale_names = machines.len() - stored.len();
        page.is_dirty = stored.len() < page.machines.len() || page.machines.is_empty();
        stored
    }

    /// Returns the names on this controller's pages.
    #[must_use]
    pub fn names(&self) -> BTreeSet<&str> {
        self.page_of.keys().map(String::as_str).collect()
    }
}

fn entry_value(machine: &MachineRecord) -> Value {
    json!([machine.kind, machine.zone, machine.spot, machine.addr])
}

fn entry_bytes(name: &str, machine: &MachineRecord) -> usize {
    entry_value(machine).to_string().len() + json!(name).to_string().len() + SEPARATOR_BYTES
}

#[cfg(test)]
mod tests;
