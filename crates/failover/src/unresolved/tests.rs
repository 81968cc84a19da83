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
