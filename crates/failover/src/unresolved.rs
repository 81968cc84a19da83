//! Machines that may hold tasks nobody has told us of.
//!
//! A job that was taken over waits for evidence from each machine that may hold tasks of it. Jobs that were taken over
//! together wait for the same machines, so they share a [`UnresolvedSetId`]: a set that only shrinks. It outlives epochs: what a
//! machine has shown since its job became ours stays true, because nobody else has commanded that job since.

use std::collections::{BTreeMap, BTreeSet};

/// A set of machines that some jobs wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnresolvedSetId(u64);

/// All sets that are waited for.
#[derive(Clone, Debug, Default)]
pub struct UnresolvedSets {
    next: u64,
    sets: BTreeMap<UnresolvedSetId, BTreeSet<String>>,
}

impl UnresolvedSets {
    /// Jobs wait for these machines from now on. None if there are none: nothing is in doubt.
    #[must_use]
    pub fn open(&mut self, machines: BTreeSet<String>) -> Option<UnresolvedSetId> {
        if machines.is_empty() {
            return None;
        }
        self.next += 1;
        self.sets.insert(UnresolvedSetId(self.next), machines);
        Some(UnresolvedSetId(self.next))
    }

    /// A machine has shown what it holds, or is certainly gone. Returns whether some set has become empty. Calling it
    /// twice, or for a machine that nobody waits for, changes nothing.
    pub fn heard(&mut self, machine: &str) -> bool {
        let before = self.sets.len();
        self.sets.retain(|_, s| {
            s.remove(machine);
            !s.is_empty()
        });
        self.sets.len() < before
    }

    /// The names on record have been read again: what is not among them was taken off as certainly gone. Returns
    /// whether some set has become empty.
    pub fn on_record(&mut self, names: &BTreeSet<String>) -> bool {
        let before = self.sets.len();
        self.sets.retain(|_, s| {
            s.retain(|m| names.contains(m));
            !s.is_empty()
        });
        self.sets.len() < before
    }

    /// Forgets the sets that no job waits for any more.
    pub fn keep(&mut self, used: &BTreeSet<UnresolvedSetId>) {
        self.sets.retain(|d, _| used.contains(d));
    }

    /// Whether anything of this set is still waited for.
    #[must_use]
    pub fn is_open(&self, d: UnresolvedSetId) -> bool {
        self.sets.contains_key(&d)
    }

    /// The machines of a set that are still waited for.
    pub fn machines(&self, d: UnresolvedSetId) -> impl Iterator<Item = &String> {
        self.sets.get(&d).into_iter().flatten()
    }

    /// How many sets are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sets.len()
    }

    /// Whether nothing is waited for.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }
}

#[cfg(test)]
mod tests;
