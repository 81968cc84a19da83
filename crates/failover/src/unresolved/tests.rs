use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn names(of: &[usize]) -> BTreeSet<String> {
    of.iter().map(|i| format!("i-{i}")).collect()
}

#[test]
fn no_machines_make_no_set() {
    let mut unresolved = UnresolvedSets::default();
    assert_eq!(unresolved.open(BTreeSet::new()), None);
    assert!(unresolved.is_empty());
}

/// Against a plain model: a set is open exactly as long as one of its machines has neither been resolved nor been
/// taken off the record since, whatever else is opened and forgotten meanwhile.
#[test]
fn a_set_closes_with_the_last_of_its_machines_and_not_before() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut unresolved = UnresolvedSets::default();
        let mut model: BTreeMap<UnresolvedSetId, BTreeSet<String>> = BTreeMap::new();
        for _ in 0..120 {
            match rng.random_range(0..8) {
                0 => {
                    let of: Vec<usize> = (0..12).filter(|_| rng.random_bool(0.4)).collect();
                    if let Some(n) = unresolved.open(names(&of)) {
                        assert!(model.insert(n, names(&of)).is_none(), "a number is never used twice");
                    }
                }
                1 => {
                    let on: Vec<usize> = (0..12).filter(|_| rng.random_bool(0.9)).collect();
                    unresolved.retain_registered(&names(&on));
                    model.values_mut().for_each(|s| s.retain(|m| names(&on).contains(m)));
                }
                2 => {
                    let used: BTreeSet<UnresolvedSetId> =
                        model.keys().copied().filter(|_| rng.random_bool(0.8)).collect();
                    unresolved.retain_used(&used);
                    model.retain(|n, _| used.contains(n));
                }
                _ => {
                    let m = format!("i-{}", rng.random_range(0..12));
                    let ends = model.values().any(|s| s.len() == 1 && s.contains(&m));
                    model.values_mut().for_each(|s| {
                        s.remove(&m);
                    });
                    assert_eq!(unresolved.resolve(&m), ends, "seed {seed}");
                }
            }
            model.retain(|_, s| !s.is_empty());
            assert_eq!(unresolved.len(), model.len(), "seed {seed}");
            for (n, left) in &model {
                assert!(unresolved.is_open(*n) && unresolved.machines(*n).eq(left.iter()), "seed {seed}");
            }
        }
    }
}
