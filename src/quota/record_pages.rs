//! How a team's record is split over values of the state store.
//!
//! The first page is the value `team/NAME`. While all entries fit there, it is an object with an entry for each job.
//! When they do not, the pages `team/NAME!1` and on, objects likewise, hold the others, and the first page becomes an
//! array whose only element is its object. A controller that knows of the first page alone finds such a record malformed
//! and allocates nothing, where half of a record would let it exceed the team's limit.
//!
//! Each write, of whatever page, also writes the first page and is conditional on its version, so the version of the
//! first page is that of the record.

use super::allocation_notes::AllocationNote;
use crate::units::Resources;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The number of the first page.
pub(super) const FIRST_PAGE: u32 = 0;
/// Separates a team's name from the number of a page in a key.
const NUMBER_SEPARATOR: char = '!';
/// Bytes of the brackets around a page's entries.
const BRACKET_BYTES: usize = 4;
/// Bytes of an entry beside the job's id and the encoded allocation: quotes, colon and comma.
const PUNCTUATION_BYTES: usize = 4;

/// The key of a page in the state store.
pub(super) fn page_key(team: &str, page: u32) -> String {
    match page {
        FIRST_PAGE => format!("team/{team}"),
        _ => format!("team/{team}{NUMBER_SEPARATOR}{page}"),
    }
}

/// The number of the page with this key, if it belongs to the team.
pub(super) fn page_number(team: &str, key: &str) -> Option<u32> {
    let rest = key.strip_prefix("team/")?.strip_prefix(team)?;
    if rest.is_empty() { Some(FIRST_PAGE) } else { rest.strip_prefix(NUMBER_SEPARATOR)?.parse().ok() }
}

/// Whether a page of `team` could have the key of another team's record.
pub(super) fn is_ambiguous<'a>(team: &str, mut teams: impl Iterator<Item = &'a String>) -> bool {
    teams.any(|other| other.strip_prefix(team).is_some_and(|rest| rest.starts_with(NUMBER_SEPARATOR)))
}

/// Whether a value is the first one of several pages.
pub(super) fn is_first_of_several(value: &Value) -> bool {
    value.is_array()
}

/// The entries of a page; None if it is malformed.
pub(super) fn entries(value: &Value) -> Option<&Map<String, Value>> {
    value.as_object().or_else(|| value.as_array()?.first()?.as_object())
}

/// Encodes the first page.
pub(super) fn encode_first(entries: Map<String, Value>, is_only_page: bool) -> Value {
    let entries = Value::Object(entries);
    if is_only_page { entries } else { Value::Array(vec![entries]) }
}

/// Encodes all entries of a record, by page.
pub(super) fn encode_pages(
    allocations: &BTreeMap<String, Resources>,
    notes: &BTreeMap<String, AllocationNote>,
    pages: &RecordPages,
) -> BTreeMap<u32, Map<String, Value>> {
    let note = |job: &str| notes.get(job).copied().unwrap_or_default();
    let allocated = allocations.iter().map(|(job, allocation)| (job, note(job).encode_entry(*allocation)));
    let waiting = notes
        .iter()
        .filter(|(job, note)| note.request.is_some() && !allocations.contains_key(*job))
        .map(|(job, note)| (job, note.encode_entry(Resources::default())));
    let mut encoded = BTreeMap::from([(FIRST_PAGE, Map::new())]);
    for (job, entry) in allocated.chain(waiting) {
        encoded.entry(pages.page_of(job)).or_default().insert(job.clone(), entry);
    }
    encoded
}

/// The pages beside the first one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RecordPages {
    /// Their versions in the state store, by number.
    versions: BTreeMap<u32, u64>,
    /// The page of each job whose entry is not on the first one.
    page_by_job: BTreeMap<String, u32>,
}

impl RecordPages {
    /// Adds a page as read.
    pub(super) fn add<'a>(&mut self, page: u32, version: u64, jobs: impl Iterator<Item = &'a String>) {
        self.versions.insert(page, version);
        self.page_by_job.extend(jobs.map(|job| (job.clone(), page)));
    }

    /// The page that has a job's entry.
    pub(super) fn page_of(&self, job: &str) -> u32 {
        self.page_by_job.get(job).copied().unwrap_or(FIRST_PAGE)
    }

    /// Puts a job's entry on a page.
    pub(super) fn assign(&mut self, job: &str, page: u32) {
        match page {
            FIRST_PAGE => self.page_by_job.remove(job),
            _ => self.page_by_job.insert(job.to_owned(), page),
        };
    }

    /// Forgets the jobs that have no entry any more.
    pub(super) fn retain(&mut self, has_entry: impl Fn(&str) -> bool) {
        self.page_by_job.retain(|job, _| has_entry(job));
    }

    /// The version of a page beside the first one; 0 if it does not exist.
    pub(super) fn version(&self, page: u32) -> u64 {
        self.versions.get(&page).copied().unwrap_or(0)
    }

    /// Notes that a page was written, or with None that it was deleted.
    pub(super) fn set_version(&mut self, page: u32, version: Option<u64>) {
        match version {
            Some(version) => self.versions.insert(page, version),
            None => self.versions.remove(&page),
        };
    }

    /// The numbers of all pages, and of one that may be added.
    pub(super) fn usable_pages(&self) -> impl Iterator<Item = u32> {
        let unused = (FIRST_PAGE + 1..).find(|page| !self.versions.contains_key(page));
        let numbers: BTreeSet<u32> = self.versions.keys().copied().chain(unused).collect();
        std::iter::once(FIRST_PAGE).chain(numbers)
    }
}

/// The space taken on each page, in bytes. It is tracked because a page that grows beyond the limit can't be written at
/// all, so not even released resources could be stored.
#[derive(Clone, Debug, Default)]
pub(super) struct PageSpace {
    limit: usize,
    taken: BTreeMap<u32, usize>,
}

impl PageSpace {
    pub(super) fn of(encoded: &BTreeMap<u32, Map<String, Value>>, limit: usize) -> PageSpace {
        let taken = encoded.iter().map(|(&page, entries)| {
            let bytes: usize = entries.iter().map(|(job, entry)| entry_bytes(job, entry)).sum();
            (page, bytes + BRACKET_BYTES)
        });
        PageSpace { limit, taken: taken.collect() }
    }

    fn taken(&self, page: u32) -> usize {
        self.taken.get(&page).copied().unwrap_or(BRACKET_BYTES)
    }

    /// Whether a page has space for so many more bytes.
    pub(super) fn has_space(&self, page: u32, bytes: usize) -> bool {
        self.taken(page) + bytes <= self.limit
    }

    /// Takes space on a page.
    pub(super) fn take(&mut self, page: u32, bytes: usize) {
        let taken = self.taken(page);
        self.taken.insert(page, taken + bytes);
    }

    /// Gives space on a page back.
    pub(super) fn give_back(&mut self, page: u32, bytes: usize) {
        let taken = self.taken(page);
        self.taken.insert(page, taken.saturating_sub(bytes));
    }

    /// The first page that is longer than the limit, as one is after the limit has fallen.
    pub(super) fn first_overlong(&self) -> Option<u32> {
        self.taken.iter().find(|&(_, taken)| *taken > self.limit).map(|(&page, _)| page)
    }

    /// Whether less than three quarters of the first page are taken.
    pub(super) fn is_first_page_relaxed(&self) -> bool {
        self.taken(FIRST_PAGE) < self.limit / 4 * 3
    }
}

/// The bytes that an entry takes on its page.
pub(super) fn entry_bytes(job: &str, entry: &Value) -> usize {
    job.len() + entry.to_string().len() + PUNCTUATION_BYTES
}

#[cfg(test)]
mod tests;
