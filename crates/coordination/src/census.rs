//! Who has joined a coordination record: found in the jobs' own records.
//!
//! A job names the records that it joins in its own record, which its acceptance writes on condition of the coordination
//! record's version while that is open. So joining costs no change, and from the moment that the coordination record says
//! *closing* none can join any more, not even by a transaction that is applied late. Then all live jobs are read and, only
//! after the last of them, all final ones: a job that ends in between moves from the former to the latter in one
//! transaction, so it is seen at least once. The cost is reads alone, a page for some hundred jobs, and one census serves
//! all records that wait for one.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Key prefix of live jobs' records.
pub const LIVE_JOB_PREFIX: &str = "job/";
/// Key prefix of final records.
pub const FINAL_RECORD_PREFIX: &str = "done/";

/// How a member stands. The order is that of certainty: a later state supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CensusJobState {
    /// It was live when it was seen.
    Live,
    /// All its tasks are done, and that is on record.
    Done,
    /// It was cancelled, and that is on record.
    Cancelled,
}

/// A member as the census found it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// How it stands.
    pub state: CensusJobState,
    /// What its job's record declares about the coordination record.
    pub declaration: Value,
}

/// What a job's record says of coordination records.
#[derive(Clone, Debug, PartialEq)]
pub struct JobMemberships {
    /// The coordination records that it joined, by head key, with what it declares about each.
    pub joined: Vec<(String, Value)>,
    /// How it stands.
    pub state: CensusJobState,
}

/// What is to be read next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CensusStep {
    /// A page of records.
    ReadPage {
        /// The keys' prefix.
        prefix: &'static str,
        /// The page begins behind this key; empty: at the first.
        after: String,
    },
    /// All is read.
    Complete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Live,
    Ends,
    Complete,
}

/// A census under way. It is thrown away with the epoch, and begun anew by whoever needs it then.
#[derive(Clone, Debug)]
pub struct Census {
    part: Part,
    after: String,
    records: BTreeSet<String>,
    found: BTreeMap<String, BTreeMap<String, Member>>,
    /// Jobs whose records can't be read: nothing can be said of them, so nothing closes.
    unreadable: Vec<String>,
}

impl Census {
    /// Begins a census for these coordination records, by the keys of their heads. All of them must be stored as closing
    /// *before* the first page is asked for.
    #[must_use]
    pub fn begin(records: BTreeSet<String>) -> Census {
        Census {
            part: Part::Live,
            after: String::new(),
            records,
            found: BTreeMap::new(),
            unreadable: Vec::new(),
        }
    }

    /// The coordination records it is for.
    #[must_use]
    pub fn records(&self) -> &BTreeSet<String> {
        &self.records
    }

    /// What to read next.
    #[must_use]
    pub fn next_step(&self) -> CensusStep {
        match self.prefix() {
            Some(prefix) => CensusStep::ReadPage { prefix, after: self.after.clone() },
            None => CensusStep::Complete,
        }
    }

    fn prefix(&self) -> Option<&'static str> {
        match self.part {
            Part::Live => Some(LIVE_JOB_PREFIX),
            Part::Ends => Some(FINAL_RECORD_PREFIX),
            Part::Complete => None,
        }
    }

    /// Applies a page that came as the answer to the very question that [`Census::next_step`] gave. `read` says what a
    /// job's record says; None: it can't be read.
    pub fn apply_page(
        &mut self,
        rows: impl IntoIterator<Item = (String, Value)>,
        more: bool,
        read: impl Fn(&str, &Value) -> Option<JobMemberships>,
    ) {
        let Some(prefix) = self.prefix() else { return };
        for (key, value) in rows {
            if let Some(id) = key.strip_prefix(prefix) {
                match read(id, &value) {
                    Some(reading) => self.add_job(id, reading),
                    None => self.unreadable.push(id.to_owned()),
                }
            }
            self.after = key;
        }
        if !more {
            self.after.clear();
            self.part = if self.part == Part::Live { Part::Ends } else { Part::Complete };
        }
    }

    fn add_job(&mut self, id: &str, reading: JobMemberships) {
        let JobMemberships { joined, state } = reading;
        for (record, declaration) in joined {
            if !self.records.contains(&record) {
                continue;
            }
            let members = self.found.entry(record).or_default();
            // Seen twice: its end came in between, and is what holds.
            let member = members.entry(id.to_owned()).or_insert(Member { state, declaration });
            member.state = member.state.max(state);
        }
    }

    /// Jobs whose records can't be read.
    #[must_use]
    pub fn unreadable(&self) -> &[String] {
        &self.unreadable
    }

    /// The members of one coordination record, once all is read and every job's record could be: None before.
    #[must_use]
    pub fn members(&self, record: &str) -> Option<BTreeMap<String, Member>> {
        let is_whole =
            self.part == Part::Complete && self.unreadable.is_empty() && self.records.contains(record);
        is_whole.then(|| self.found.get(record).cloned().unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
