//! A change of a team's record, as it is written to the state store.

use super::allocation::AllocationInput;
use super::allocation_notes::AllocationNote;
use super::ledger::TeamQuota;
use super::record_pages::{self, FIRST_PAGE, RecordPages, encode_pages};
use crate::units::Resources;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A change of a team's record.
#[derive(Clone, Debug, PartialEq)]
pub struct AllocationWrite {
    /// The team.
    pub team: String,
    /// The version of the record to which the change applies: that of its first page.
    pub base_version: u64,
    /// The new first page, encoded.
    pub value: Value,
    /// The other pages that change.
    pub pages: Vec<QuotaPageWrite>,
    /// The allocations in the new record.
    pub allocations: BTreeMap<String, Resources>,
    pub(super) notes: BTreeMap<String, AllocationNote>,
    /// The pages of the new record, with the versions from before the write.
    pub(super) record_pages: RecordPages,
}

/// The change of a page beside the first one.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaPageWrite {
    pub(super) page: u32,
    /// Its key in the state store.
    pub key: String,
    /// Its version before the write; 0 if it does not exist.
    pub base_version: u64,
    /// Its new contents; None: it is deleted, since it has no entry left.
    pub value: Option<Value>,
}

impl AllocationWrite {
    /// Builds the write. None if a page that it changes would be too long.
    pub(super) fn build(
        team: &TeamQuota,
        input: &AllocationInput,
        allocations: BTreeMap<String, Resources>,
        notes: BTreeMap<String, AllocationNote>,
        record_pages: RecordPages,
    ) -> Option<AllocationWrite> {
        let before = encode_pages(&team.allocations, &team.notes, &team.pages);
        let mut after = encode_pages(&allocations, &notes, &record_pages);
        let changed = changed_pages(&before, &after);
        let first = after.remove(&FIRST_PAGE).unwrap_or_default();
        let page_write = |page: u32| QuotaPageWrite {
            page,
            key: record_pages::page_key(input.team, page),
            base_version: team.pages.version(page),
            value: after.get(&page).cloned().map(Value::Object),
        };
        let pages: Vec<QuotaPageWrite> = changed.into_iter().map(page_write).collect();
        let write = AllocationWrite {
            team: input.team.into(),
            base_version: team.version,
            value: record_pages::encode_first(first, after.is_empty()),
            pages,
            allocations,
            notes,
            record_pages,
        };
        write.fits(input.value_bytes).then_some(write)
    }

    /// Whether no page that the write changes is longer than a value may be.
    fn fits(&self, value_bytes: usize) -> bool {
        let mut values = self.pages.iter().filter_map(|page| page.value.as_ref()).chain([&self.value]);
        values.all(|value| value.to_string().len() <= value_bytes)
    }

    /// The number of values that the write changes.
    #[must_use]
    pub fn value_count(&self) -> usize {
        1 + self.pages.len()
    }

    /// The pages of the record after the write was committed at this version.
    pub(super) fn committed_pages(&self, version: u64) -> RecordPages {
        let mut record_pages = self.record_pages.clone();
        for page in &self.pages {
            record_pages.set_version(page.page, page.value.as_ref().map(|_| version));
        }
        record_pages
    }
}

/// The pages beside the first one whose entries differ.
pub(super) fn changed_pages(
    before: &BTreeMap<u32, Map<String, Value>>,
    after: &BTreeMap<u32, Map<String, Value>>,
) -> BTreeSet<u32> {
    let all = before.keys().chain(after.keys()).filter(|page| **page != FIRST_PAGE);
    all.filter(|page| before.get(page) != after.get(page)).copied().collect()
}
