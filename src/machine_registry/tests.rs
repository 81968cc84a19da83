use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn record() -> MachineRecord {
    MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.1:9000".into() }
}

/// Otherwise half of all changes to the store would go to the registry while many machines come.
#[test]
fn machines_that_come_together_go_on_few_pages() {
    let mut registry = MachineRegistry::new("c0", 1000);
    let writes = |registry: &mut MachineRegistry| std::iter::from_fn(|| registry.next_write(false)).count();
    for i in 0..200 {
        registry.register(&format!("i-{i:06}"), &record());
    }
    let all = writes(&mut registry);
    assert!(all > 8);
    for n in 0..all as u32 {
        registry.fail_write(n, true);
        registry.pages.get_mut(&n).expect("a page").is_dirty = false;
    }
    // One of ten is gone, so that there is a gap on every page; as many come anew, five at a time.
    registry.remove_gone(|n| n.ends_with('7'));
    let mut more = 0;
    for i in 0..20 {
        registry.register(&format!("i-9{i:05}"), &record());
        if i % 5 == 4 {
            more += writes(&mut registry);
        }
    }
    assert!(more <= 5, "{more} changes for four times five names");
}

/// Writes get lost, are applied late, or go unanswered: a name that was reported as written is in
/// the store from then on, until it is taken off.
#[test]
fn written_names_stay_whatever_is_applied_late() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut registry = MachineRegistry::new("c0", 300);
        let mut store: BTreeMap<String, (Value, u64)> = BTreeMap::new();
        let mut version = 0;
        let mut late: Vec<PageWrite> = Vec::new();
        let mut sure: BTreeSet<String> = BTreeSet::new();
        let mut next = 0;
        let mut apply = |write: &PageWrite, store: &mut BTreeMap<String, (Value, u64)>| {
            if store.get(&write.key).map_or(0, |v| v.1) != write.base_version {
                return None;
            }
            version += 1;
            match &write.value {
                Some(v) => store.insert(write.key.clone(), (v.clone(), version)),
                None => store.remove(&write.key),
            };
            Some(version)
        };
        for _ in 0..300 {
            match rng.random_range(0..5) {
                0 => {
                    registry.register(&format!("i-{next:06}"), &record());
                    next += 1;
                }
                1 if !late.is_empty() => {
                    let write = late.remove(rng.random_range(0..late.len()));
                    apply(&write, &mut store);
                }
                2 => {
                    let gone = format!("i-{:06}", rng.random_range(0..next + 1));
                    registry.remove_gone(|n| n == gone);
                    sure.remove(&gone);
                }
                3 => {
                    if let Some((page, key)) = registry.next_read() {
                        let found = store
                            .get(&key)
                            .map_or((Vec::new(), 0), |(v, m)| (read_page(v).expect("readable"), *m));
                        let known = registry.apply_read_back(
                            page,
                            rng.random_bool(0.8).then_some((found.1, found.0.as_slice())),
                        );
                        sure.extend(known);
                    }
                }
                _ => {
                    let Some(write) = registry.next_write(true) else { continue };
                    assert!(write.value.as_ref().is_none_or(|v| v.to_string().len() <= 300));
                    match rng.random_range(0..3) {
                        0 => {
                            late.push(write.clone());
                            registry.fail_write(write.page, false);
                        }
                        _ => match apply(&write, &mut store) {
                            Some(m) => {
                                registry.commit_write(&write, m);
                                let on = registry.names();
                                sure.extend(write.names.into_iter().filter(|n| on.contains(n.as_str())));
                            }
                            None => registry.fail_write(write.page, false),
                        },
                    }
                }
            }
            let stored: BTreeSet<String> =
                store.values().flat_map(|(v, _)| read_page(v).expect("readable")).map(|(n, _)| n).collect();
            assert!(sure.is_subset(&stored), "seed {seed}: {:?}", sure.difference(&stored));
        }
    }
}

/// Guards against machines that get no work although their names are on record: no write of their page is ever answered.
#[test]
fn names_are_known_to_be_on_record_once_the_page_has_moved_on() {
    let mut registry = MachineRegistry::new("c0", 1000);
    registry.register("i-1", &record());
    let first = registry.next_write(false).expect("a page");
    registry.fail_write(first.page, false);
    registry.register("i-2", &record());
    assert!(registry.apply_read_back(first.page, Some((0, &[][..]))).is_empty(), "it may be carried out yet");
    let second = registry.next_write(false).expect("a page");
    registry.fail_write(second.page, false);
    let rows = [("i-1".to_owned(), record())];
    // The first was carried out late, which the second can't be any more.
    assert_eq!(registry.apply_read_back(first.page, Some((7, &rows[..]))), ["i-1"]);
    let third = registry.next_write(false).expect("one name is not there yet");
    assert_eq!((third.base_version, third.names.len()), (7, 2));
    registry.fail_write(third.page, false);
    assert!(registry.apply_read_back(first.page, None).is_empty());
    let rows = ["i-1", "i-2"].map(|n| (n.to_owned(), record()));
    assert_eq!(registry.apply_read_back(first.page, Some((8, &rows[..]))), ["i-1", "i-2"]);
    assert_eq!(registry.next_write(true), None, "all is there");
}
