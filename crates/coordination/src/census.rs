//! The census finds the jobs that have joined a coordination record by reading the jobs' own records.
//!
//! A job names the coordination records that it joins in its own record. The transaction that accepts the job has the
//! version of the coordination record as a precondition, and the phase must be *open*. So joining costs no extra
//! write, and once the coordination record says *closing*, no job can join any more, not even by a transaction that
//! is applied late. Then all live jobs' records are read and, only after the last of them, all final records. A job
//! that ends in between moves from the former to the latter in one transaction, so it is seen at least once. The only
//! cost is reads, one page per few hundred jobs, and one census serves all coordination records that wait for one.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Key prefix of live jobs' records.
pub const LIVE_JOB_PREFIX: &str = "job/";
/// Key prefix of final records.
pub const FINAL_RECORD_PREFIX: &str = "done/";

/// The state of a member. A greater state is more final: it supersedes a lesser one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CensusJobState {
    /// The job was live when its record was read.
    Live,
    /// All tasks of the job are done, and that is stored.
    Done,
    /// The job was cancelled, and that is stored.
    Cancelled,
}

/// A member as the census found it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its state.
    pub state: CensusJobState,
    /// What its job's record declares about the coordination record.
    pub declaration: Value,
}

/// The coordination records that a job's record names.
#[derive(Clone, Debug, PartialEq)]
pub struct JobMemberships {
    /// The coordination records that the job joined, by head key, with what it declares about each.
    pub joined: Vec<(String, Value)>,
    /// The job's state.
    pub state: CensusJobState,
}

/// What to read next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CensusStep {
    /// Read a page of records.
    ReadPage {
        /// The prefix of the keys.
        prefix: &'static str,
        /// The page begins after this key; empty for the first page.
        after: String,
    },
    /// All records have been read.
    Complete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Live,
    FinalRecords,
    Complete,
}

/// A census in progress. It is discarded with the epoch; a controller that needs one then begins anew.
#[derive(Clone, Debug)]
pub struct Census {
    stage: Stage,
    after: String,
    records: BTreeSet<String>,
    members_by_record: BTreeMap<String, BTreeMap<String, Member>>,
    /// Jobs whose records can't be read. They may be members of any coordination record, so none can close.
    unreadable: Vec<String>,
}

impl Census {
    /// Begins a census for these coordination records, given by the keys of their heads. All of them must be stored as
    /// closing *before* the first page is requested.
    #[must_use]
    pub fn begin(records: BTreeSet<String>) -> Census {
        Census {
            stage: Stage::Live,
            after: String::new(),
            records,
            members_by_record: BTreeMap::new(),
            unreadable: Vec::new(),
        }
    }

    /// Returns the coordination records that the census is for.
    #[must_use]
    pub fn records(&self) -> &BTreeSet<String> {
        &self.records
    }

    /// Returns what to read next.
    #[must_use]
    pub fn next_step(&self) -> CensusStep {
        match self.prefix() {
            Some(prefix) => CensusStep::ReadPage { prefix, after: self.after.clone() },
            None => CensusStep::Complete,
        }
    }

    fn prefix(&self) -> Option<&'static str> {
        match self.stage {
            Stage::Live => Some(LIVE_JOB_PREFIX),
            Stage::FinalRecords => Some(FINAL_RECORD_PREFIX),
            Stage::Complete => None,
        }
    }

    /// Applies the page that [`Census::next_step`] requested. `read` parses a job's record; it returns None for an
    /// unreadable one.
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
                    Some(memberships) => self.add_job(id, memberships),
                    None => self.unreadable.push(id.to_owned()),
                }
            }
            self.after = key;
        }
        if !more {
            self.after.clear();
            self.stage = if self.stage == Stage::Live { Stage::FinalRecords } else { Stage::Complete };
        }
    }

    fn add_job(&mut self, id: &str, memberships: JobMemberships) {
        let JobMemberships { joined, state } = memberships;
        for (record, declaration) in joined {
            if !self.records.contains(&record) {
                continue;
            }
            let members = self.members_by_record.entry(record).or_default();
            // A job that is seen twice ended in between, and its final state counts.
            let member = members.entry(id.to_owned()).or_insert(Member { state, declaration });
            member.state = member.state.max(state);
        }
    }

    /// Returns the jobs whose records can't be read.
    #[must_use]
    pub fn unreadable(&self) -> &[String] {
        &self.unreadable
    }

    /// Returns the members of one coordination record; None until all records have been read, or if any is unreadable.
    #[must_use]
    pub fn members(&self, record: &str) -> Option<BTreeMap<String, Member>> {
        let is_conclusive =
            self.stage == Stage::Complete && self.unreadable.is_empty() && self.records.contains(record);
        is_conclusive.then(|| self.members_by_record.get(record).cloned().unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
