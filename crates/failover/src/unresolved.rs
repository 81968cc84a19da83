//! Machines that may hold tasks nobody has told us of.
//!
//! A job that was taken over waits for evidence from each machine that may hold tasks of it. Jobs that were taken over
//! together wait for the same machines, so they share an [`UnresolvedSetId`]: a set that only shrinks. It outlives epochs:
//! what a machine has shown since its job became ours stays true, because nobody else has commanded that job since.

use std::collections::{BTreeMap, BTreeSet};

/// A set of machines that some jobs wait for. No number is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnresolvedSetId(u64);

/// All sets that are waited for.
#[derive(Clone, Debug, Default)]
pub struct UnresolvedSets {
    last_id: u64,
    sets: BTreeMap<UnresolvedSetId, BTreeSet<String>>,
}

impl UnresolvedSets {
    /// Jobs wait for these machines from now on. None if there are none: nothing is unresolved.
    #[must_use]
    pub fn open(&mut self, machines: BTreeSet<String>) -> Option<UnresolvedSetId> {
        if machines.is_empty() {
            return None;
        }
        self.last_id += 1;
        let id = UnresolvedSetId(self.last_id);
        self.sets.insert(id, machines);
        Some(id)
    }

    /// A machine has shown what it holds, or is certainly gone. Returns whether some set has become empty. Calling it
    /// twice, or for a machine that nobody waits for, changes nothing.
    pub fn resolve(&mut self, machine: &str) -> bool {
        self.shrink(|machines| {
            machines.remove(machine);
        })
    }

    /// The names on record have been read again: what is not among them was taken off as certainly gone. Returns
    /// whether some set has become empty.
    pub fn retain_registered(&mut self, names: &BTreeSet<String>) -> bool {
        self.shrink(|machines| machines.retain(|machine| names.contains(machine)))
    }

    /// Removes machines from each set and drops the sets that have become empty. Returns whether there were any.
    fn shrink(&mut self, remove: impl Fn(&mut BTreeSet<String>)) -> bool {
        let before = self.sets.len();
        self.sets.retain(|_, machines| {
            remove(machines);
            !machines.is_empty()
        });
        self.sets.len() < before
    }

    /// Forgets the sets that no job waits for any more.
    pub fn retain_used(&mut self, used: &BTreeSet<UnresolvedSetId>) {
        self.sets.retain(|id, _| used.contains(id));
    }

    /// Whether anything of this set is still waited for.
    #[must_use]
    pub fn is_open(&self, id: UnresolvedSetId) -> bool {
        self.sets.contains_key(&id)
    }

    /// The machines of a set that are still waited for.
    pub fn machines(&self, id: UnresolvedSetId) -> impl Iterator<Item = &String> {
        self.sets.get(&id).into_iter().flatten()
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
