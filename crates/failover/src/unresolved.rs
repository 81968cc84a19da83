//! Machines that may hold tasks of which this controller has received no information.
//!
//! A job that was taken over waits for each machine that may hold tasks of it, until that machine has sent a
//! heartbeat or its tasks have certainly ended. Jobs that were taken over together wait for the same machines, so
//! they share an [`UnresolvedSetId`]: a set that only shrinks. It stays valid across epochs, because only this
//! controller has commanded the job since it took it over.

use std::collections::{BTreeMap, BTreeSet};

/// Identifies a set of machines that some jobs wait for. No id is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnresolvedSetId(u64);

/// All sets that jobs wait for.
#[derive(Clone, Debug, Default)]
pub struct UnresolvedSets {
    last_id: u64,
    sets: BTreeMap<UnresolvedSetId, BTreeSet<String>>,
}

impl UnresolvedSets {
    /// Opens a set: some jobs wait for these machines from now on. Returns None if there are no machines to wait for.
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

    /// Removes a machine whose tasks are known, or which certainly no longer exists. Returns whether some set has
    /// become empty. The call is idempotent, and does nothing for a machine that is in no set.
    pub fn resolve(&mut self, machine: &str) -> bool {
        self.shrink(|machines| {
            machines.remove(machine);
        })
    }

    /// Keeps only the machines in `names`, the registered names that were read again: a machine that is not among
    /// them was removed because it certainly no longer exists. Returns whether some set has become empty.
    pub fn retain_registered(&mut self, names: &BTreeSet<String>) -> bool {
        self.shrink(|machines| machines.retain(|machine| names.contains(machine)))
    }

    /// Removes machines from each set and drops the sets that have become empty. Returns whether there were any.
    fn shrink(&mut self, remove: impl Fn(&mut BTreeSet<String>)) -> bool {
        let count_before = self.sets.len();
        self.sets.retain(|_, machines| {
            remove(machines);
            !machines.is_empty()
        });
        self.sets.len() < count_before
    }

    /// Drops the sets that no job waits for any more.
    pub fn retain_used(&mut self, used: &BTreeSet<UnresolvedSetId>) {
        self.sets.retain(|id, _| used.contains(id));
    }

    /// Whether any machine of this set is still unresolved.
    #[must_use]
    pub fn is_open(&self, id: UnresolvedSetId) -> bool {
        self.sets.contains_key(&id)
    }

    /// Returns the machines of a set that are still unresolved.
    pub fn machines(&self, id: UnresolvedSetId) -> impl Iterator<Item = &String> {
        self.sets.get(&id).into_iter().flatten()
    }

    /// Returns the number of open sets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sets.len()
    }

    /// Whether there are no open sets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }
}

#[cfg(test)]
mod tests;
