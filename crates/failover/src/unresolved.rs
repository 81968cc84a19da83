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
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    fn names(of: &[usize]) -> BTreeSet<String> {
        of.iter().map(|i| format!("i-{i}")).collect()
    }

    #[test]
    fn nothing_in_doubt_is_no_doubt() {
        let mut d = UnresolvedSets::default();
        assert_eq!(d.open(BTreeSet::new()), None);
        assert!(d.is_empty());
    }

    /// Against a plain model: a doubt is open exactly as long as one of its machines has neither been heard nor been
    /// taken off the record since, whatever else is opened and forgotten meanwhile.
    #[test]
    fn a_doubt_ends_with_the_last_of_its_machines_and_not_before() {
        for seed in 0..200 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut d = UnresolvedSets::default();
            let mut model: BTreeMap<UnresolvedSetId, BTreeSet<String>> = BTreeMap::new();
            for _ in 0..120 {
                match rng.random_range(0..8) {
                    0 => {
                        let of: Vec<usize> = (0..12).filter(|_| rng.random_bool(0.4)).collect();
                        if let Some(n) = d.open(names(&of)) {
                            assert!(model.insert(n, names(&of)).is_none(), "a number is never used twice");
                        }
                    }
                    1 => {
                        let on: Vec<usize> = (0..12).filter(|_| rng.random_bool(0.9)).collect();
                        d.on_record(&names(&on));
                        model.values_mut().for_each(|s| s.retain(|m| names(&on).contains(m)));
                    }
                    2 => {
                        let used: BTreeSet<UnresolvedSetId> =
                            model.keys().copied().filter(|_| rng.random_bool(0.8)).collect();
                        d.keep(&used);
                        model.retain(|n, _| used.contains(n));
                    }
                    _ => {
                        let m = format!("i-{}", rng.random_range(0..12));
                        let ends = model.values().any(|s| s.len() == 1 && s.contains(&m));
                        model.values_mut().for_each(|s| {
                            s.remove(&m);
                        });
                        assert_eq!(d.heard(&m), ends, "seed {seed}");
                    }
                }
                model.retain(|_, s| !s.is_empty());
                assert_eq!(d.len(), model.len(), "seed {seed}");
                for (n, left) in &model {
                    assert!(d.is_open(*n) && d.machines(*n).eq(left.iter()), "seed {seed}");
                }
            }
        }
    }
}
