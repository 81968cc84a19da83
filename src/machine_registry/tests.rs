use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn record() -> MachineRecord {
    MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.1:9000".into() }
}

/// Guards against using half of all writes to the state store for the registry while many machines are added.
#[test]
fn machines_added_together_are_written_to_few_pages() {
    let mut registry = MachineRegistry::new("c0", 1000);
    let writes = |registry: &mut MachineRegistry| std::iter::from_fn(|| registry.next_write(false)).count();
    for i in 0..200 {
        registry.register(&format!("i-{i:06}"), &record());
    }
    let first_writes = writes(&mut registry);
    assert!(first_writes > 8);
    for page in 0..first_writes as u32 {
        registry.fail_write(page, true);
        registry.pages.get_mut(&page).expect("a page").is_dirty = false;
    }
    // One name in ten is removed, which leaves a gap on every page. As many are added again, five at a time.
    registry.remove_gone(|name| name.ends_with('7'));
    let mut later_writes = 0;
    for i in 0..20 {
        registry.register(&format!("i-9{i:05}"), &record());
        if i % 5 == 4 {
            later_writes += writes(&mut registry);
        }
    }
    assert!(later_writes <= 5, "{later_writes} writes for four times five names");
}

/// Writes are lost, applied late or not answered. A name that was reported as stored must stay in the state store
/// until it is removed.
#[test]
fn reported_names_stay_stored_despite_late_writes() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut registry = MachineRegistry::new("c0", 300);
        let mut store: BTreeMap<String, (Value, u64)> = BTreeMap::new();
        let mut version = 0;
        let mut late: Vec<PageWrite> = Vec::new();
        let mut reported: BTreeSet<String> = BTreeSet::new();
        let mut next_number = 0;
        let mut apply = |write: &PageWrite, store: &mut BTreeMap<String, (Value, u64)>| {
            if store.get(&write.key).map_or(0, |row| row.1) != write.base_version {
                return None;
            }
            version += 1;
            match &write.value {
                Some(value) => store.insert(write.key.clone(), (value.clone(), version)),
                None => store.remove(&write.key),
            };
            Some(version)
        };
        for _ in 0..300 {
            match rng.random_range(0..5) {
                0 => {
                    registry.register(&format!("i-{next_number:06}"), &record());
                    next_number += 1;
                }
                1 if !late.is_empty() => {
                    let write = late.remove(rng.random_range(0..late.len()));
                    apply(&write, &mut store);
                }
                2 => {
                    let removed = format!("i-{:06}", rng.random_range(0..next_number + 1));
                    registry.remove_gone(|name| name == removed);
                    reported.remove(&removed);
                }
                3 => {
                    if let Some((page, key)) = registry.next_read() {
                        let stored_page = store.get(&key).map_or((Vec::new(), 0), |(value, version)| {
                            (read_page(value).expect("readable"), *version)
                        });
                        let newly_reported = registry.apply_read_back(
                            page,
                            rng.random_bool(0.8).then_some((stored_page.1, stored_page.0.as_slice())),
                        );
                        reported.extend(newly_reported);
                    }
                }
                _ => {
                    let Some(write) = registry.next_write(true) else { continue };
                    assert!(write.value.as_ref().is_none_or(|value| value.to_string().len() <= 300));
                    match rng.random_range(0..3) {
                        0 => {
                            late.push(write.clone());
                            registry.fail_write(write.page, false);
                        }
                        _ => match apply(&write, &mut store) {
                            Some(version) => {
                                registry.commit_write(&write, version);
                                let listed = registry.names();
                                reported.extend(
                                    write.names.into_iter().filter(|name| listed.contains(name.as_str())),
                                );
                            }
                            None => registry.fail_write(write.page, false),
                        },
                    }
                }
            }
            let stored: BTreeSet<String> = store
                .values()
                .flat_map(|(value, _)| read_page(value).expect("readable"))
                .map(|(name, _)| name)
                .collect();
            assert!(reported.is_subset(&stored), "seed {seed}: {:?}", reported.difference(&stored));
        }
    }
}

/// Guards against machines that get no tasks because no write of their page is ever answered, although their names are
/// stored.
#[test]
fn names_count_as_stored_once_the_page_version_has_advanced() {
    let mut registry = MachineRegistry::new("c0", 1000);
    registry.register("i-1", &record());
    let first = registry.next_write(false).expect("a page");
    registry.fail_write(first.page, false);
    registry.register("i-2", &record());
    assert!(
        registry.apply_read_back(first.page, Some((0, &[][..]))).is_empty(),
        "the write may still be applied"
    );
    let second = registry.next_write(false).expect("a page");
    registry.fail_write(second.page, false);
    let rows = [("i-1".to_owned(), record())];
    // The first write was applied late, so the second can no longer be applied.
    assert_eq!(registry.apply_read_back(first.page, Some((7, &rows[..]))), ["i-1"]);
    let third = registry.next_write(false).expect("one name is not stored yet");
    assert_eq!((third.base_version, third.names.len()), (7, 2));
    registry.fail_write(third.page, false);
    assert!(registry.apply_read_back(first.page, None).is_empty());
    let rows = ["i-1", "i-2"].map(|name| (name.to_owned(), record()));
    assert_eq!(registry.apply_read_back(first.page, Some((8, &rows[..]))), ["i-1", "i-2"]);
    assert_eq!(registry.next_write(true), None, "all names are stored");
}
