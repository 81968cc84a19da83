use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn record() -> MachineRecord {
    MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.1:9000".into() }
}

/// Seen on sanaq-forms-next: half of all changes went to pages of the roll in a swing of arrivals.
#[test]
fn machines_that_come_together_go_on_few_pages() {
    let mut roll = MachineRegistry::new("c0", 1000);
    let writes = |roll: &mut MachineRegistry| std::iter::from_fn(|| roll.next_write(false)).count();
    for i in 0..200 {
        roll.add(&format!("i-{i:06}"), &record());
    }
    let all = writes(&mut roll);
    assert!(all > 8);
    for n in 0..all as u32 {
        roll.failed(n, true);
        roll.pages.get_mut(&n).expect("a page").dirty = false;
    }
    // One of ten is gone, so that there is a gap on every page; as many come anew, five at a time.
    roll.prune(|n| n.ends_with('7'));
    let mut more = 0;
    for i in 0..20 {
        roll.add(&format!("i-9{i:05}"), &record());
        if i % 5 == 4 {
            more += writes(&mut roll);
        }
    }
    assert!(more <= 5, "{more} changes for four times five names");
}

/// Writes get lost, are applied late, or go unanswered: a name that was reported as written is in
/// the store from then on, until it is taken off.
#[test]
fn what_was_written_stays_whatever_is_applied_late() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut roll = MachineRegistry::new("c0", 300);
        let mut store: BTreeMap<String, (Value, u64)> = BTreeMap::new();
        let mut store_version = 0;
        let mut late: Vec<PageWrite> = Vec::new();
        let mut sure: BTreeSet<String> = BTreeSet::new();
        let mut next = 0;
        let mut apply = |w: &PageWrite, store: &mut BTreeMap<String, (Value, u64)>| {
            if store.get(&w.key).map_or(0, |v| v.1) != w.store_version {
                return None;
            }
            store_version += 1;
            match &w.value {
                Some(v) => store.insert(w.key.clone(), (v.clone(), store_version)),
                None => store.remove(&w.key),
            };
            Some(store_version)
        };
        for _ in 0..300 {
            match rng.random_range(0..5) {
                0 => {
                    roll.add(&format!("i-{next:06}"), &record());
                    next += 1;
                }
                1 if !late.is_empty() => {
                    let w = late.remove(rng.random_range(0..late.len()));
                    apply(&w, &mut store);
                }
                2 => {
                    let gone = format!("i-{:06}", rng.random_range(0..next + 1));
                    roll.prune(|n| n == gone);
                    sure.remove(&gone);
                }
                3 => {
                    if let Some((page, key)) = roll.next_read() {
                        let found = store
                            .get(&key)
                            .map_or((Vec::new(), 0), |(v, m)| (read(v).expect("readable"), *m));
                        let known = roll
                            .read_back(page, rng.random_bool(0.8).then_some((found.1, found.0.as_slice())));
                        sure.extend(known);
                    }
                }
                _ => {
                    let Some(w) = roll.next_write(true) else { continue };
                    assert!(w.value.as_ref().is_none_or(|v| v.to_string().len() <= 300));
                    match rng.random_range(0..3) {
                        0 => {
                            late.push(w.clone());
                            roll.failed(w.page, false);
                        }
                        _ => match apply(&w, &mut store) {
                            Some(m) => {
                                roll.written(&w, m);
                                let on = roll.names();
                                sure.extend(w.names.into_iter().filter(|n| on.contains(n.as_str())));
                            }
                            None => roll.failed(w.page, false),
                        },
                    }
                }
            }
            let stored: BTreeSet<String> =
                store.values().flat_map(|(v, _)| read(v).expect("readable")).map(|(n, _)| n).collect();
            assert!(sure.is_subset(&stored), "seed {seed}: {:?}", sure.difference(&stored));
        }
    }
}

/// Guards against machines that get no work although their names are on record: no write of their page is ever answered.
#[test]
fn names_are_known_to_be_on_record_once_the_page_has_moved_on() {
    let mut roll = MachineRegistry::new("c0", 1000);
    roll.add("i-1", &record());
    let first = roll.next_write(false).expect("a page");
    roll.failed(first.page, false);
    roll.add("i-2", &record());
    assert!(roll.read_back(first.page, Some((0, &[][..]))).is_empty(), "it may be carried out yet");
    let second = roll.next_write(false).expect("a page");
    roll.failed(second.page, false);
    let rows = [("i-1".to_owned(), record())];
    // The first was carried out late, which the second can't be any more.
    assert_eq!(roll.read_back(first.page, Some((7, &rows[..]))), ["i-1"]);
    let third = roll.next_write(false).expect("one name is not there yet");
    assert_eq!((third.store_version, third.names.len()), (7, 2));
    roll.failed(third.page, false);
    assert!(roll.read_back(first.page, None).is_empty());
    let rows = ["i-1", "i-2"].map(|n| (n.to_owned(), record()));
    assert_eq!(roll.read_back(first.page, Some((8, &rows[..]))), ["i-1", "i-2"]);
    assert_eq!(roll.next_write(true), None, "all is there");
}
