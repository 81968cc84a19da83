use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn names(machines: &[usize]) -> BTreeSet<String> {
    machines.iter().map(|i| format!("i-{i}")).collect()
}

#[test]
fn no_set_is_opened_without_machines() {
    let mut unresolved = UnresolvedSets::default();
    assert_eq!(unresolved.open(BTreeSet::new()), None);
    assert!(unresolved.is_empty());
}

/// Compared with a simple model: a set is open exactly as long as one of its machines has been neither resolved nor
/// removed from the registry since, whatever other sets are opened and dropped meanwhile.
#[test]
fn a_set_closes_with_its_last_machine() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut unresolved = UnresolvedSets::default();
        let mut model: BTreeMap<UnresolvedSetId, BTreeSet<String>> = BTreeMap::new();
        for _ in 0..120 {
            match rng.random_range(0..8) {
                0 => {
                    let machines: Vec<usize> = (0..12).filter(|_| rng.random_bool(0.4)).collect();
                    if let Some(id) = unresolved.open(names(&machines)) {
                        assert!(model.insert(id, names(&machines)).is_none(), "an id is used only once");
                    }
                }
                1 => {
                    let registered: Vec<usize> = (0..12).filter(|_| rng.random_bool(0.9)).collect();
                    unresolved.retain_registered(&names(&registered));
                    model
                        .values_mut()
                        .for_each(|set| set.retain(|machine| names(&registered).contains(machine)));
                }
                2 => {
                    let used: BTreeSet<UnresolvedSetId> =
                        model.keys().copied().filter(|_| rng.random_bool(0.8)).collect();
                    unresolved.retain_used(&used);
                    model.retain(|id, _| used.contains(id));
                }
                _ => {
                    let machine = format!("i-{}", rng.random_range(0..12));
                    let is_last = model.values().any(|set| set.len() == 1 && set.contains(&machine));
                    model.values_mut().for_each(|set| {
                        set.remove(&machine);
                    });
                    assert_eq!(unresolved.resolve(&machine), is_last, "seed {seed}");
                }
            }
            model.retain(|_, set| !set.is_empty());
            assert_eq!(unresolved.len(), model.len(), "seed {seed}");
            for (id, remaining) in &model {
                assert!(
                    unresolved.is_open(*id) && unresolved.machines(*id).eq(remaining.iter()),
                    "seed {seed}"
                );
            }
        }
    }
}
