//! Who has joined a pact: found in the jobs' own records.
//!
//! A job names the pacts that it joins in its own record, which its acceptance writes on condition of the pact's mark while
//! that is open. So joining costs no change, and from the moment that the record says *closing* none can join any more, not
//! even by a transaction that is applied late. Then all live records are read and, only after the last of them, all final
//! ones: a job that ends in between moves from the former to the latter in one transaction, so it is seen at least once. The
//! cost is reads alone, a page for some hundred jobs, and one census serves all pacts that wait for one.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Where live jobs are on record.
pub const LIVE: &str = "job/";
/// Where ends are.
pub const ENDS: &str = "done/";

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stands {
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
    pub stands: Stands,
    /// What its record says of the pact.
    pub says: Value,
}

/// What is to be read next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A page of the keys with this prefix that begin after the second.
    Read(&'static str, String),
    /// All is read.
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Live,
    Ends,
    Over,
}

/// A census under way. It is thrown away with the epoch, and begun anew by whoever needs it then.
#[derive(Clone, Debug)]
pub struct Census {
    part: Part,
    after: String,
    of: BTreeSet<String>,
    found: BTreeMap<String, BTreeMap<String, Member>>,
    /// Records that can't be read: nothing can be said of their jobs, so nothing closes.
    unreadable: Vec<String>,
}

/// What a job's record says: the pacts that it joined, by head key, and how it stands. None: it can't be read.
pub type Reading = Option<(Vec<(String, Value)>, Stands)>;

impl Census {
    /// Begins one for these pacts, by the keys of their heads. All of them must be on record as closing *before* the first
    /// page is asked for.
    #[must_use]
    pub fn begin(of: BTreeSet<String>) -> Census {
        Census { part: Part::Live, after: String::new(), of, found: BTreeMap::new(), unreadable: Vec::new() }
    }

    /// The pacts it is for.
    #[must_use]
    pub fn of(&self) -> &BTreeSet<String> {
        &self.of
    }

    /// What to read next.
    #[must_use]
    pub fn next(&self) -> Step {
        match self.part {
            Part::Live => Step::Read(LIVE, self.after.clone()),
            Part::Ends => Step::Read(ENDS, self.after.clone()),
            Part::Over => Step::Over,
        }
    }

    /// A page came, as the answer to the very question that [`Census::next`] gave. `read` says what a record says.
    pub fn page(
        &mut self,
        rows: impl IntoIterator<Item = (String, Value)>,
        more: bool,
        read: impl Fn(&str, &Value) -> Reading,
    ) {
        let prefix = match self.part {
            Part::Live => LIVE,
            Part::Ends => ENDS,
            Part::Over => return,
        };
        for (key, value) in rows {
            if let Some(id) = key.strip_prefix(prefix) {
                match read(id, &value) {
                    Some((joined, stands)) => {
                        for (pact, says) in joined.into_iter().filter(|(p, _)| self.of.contains(p)) {
                            let members = self.found.entry(pact).or_default();
                            // Seen twice: its end came in between, and is what holds.
                            let m = members.entry(id.to_owned()).or_insert(Member { stands, says });
                            m.stands = m.stands.max(stands);
                        }
                    }
                    None => self.unreadable.push(id.to_owned()),
                }
            }
            self.after = key;
        }
        if !more {
            self.after.clear();
            self.part = if self.part == Part::Live { Part::Ends } else { Part::Over };
        }
    }

    /// Jobs whose records can't be read.
    #[must_use]
    pub fn unreadable(&self) -> &[String] {
        &self.unreadable
    }

    /// The members of one pact, once all is read and every record could be: None before.
    #[must_use]
    pub fn members(&self, pact: &str) -> Option<BTreeMap<String, Member>> {
        let whole = self.part == Part::Over && self.unreadable.is_empty() && self.of.contains(pact);
        whole.then(|| self.found.get(pact).cloned().unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
