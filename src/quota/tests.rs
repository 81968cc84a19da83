use super::*;
use crate::config::settings::TeamSettings;
use crate::units::Micros;
use serde_json::{Value, json};
use std::collections::BTreeMap;

pub(super) fn team(max: f64) -> Vec<TeamSettings> {
    vec![TeamSettings { name: "t".into(), cpus: 0.0, cpus_max: max, gpus: 0.0, gpus_max: 0.0 }]
}
pub(super) fn need(job: &str, in_use: i64, more: i64, whole: bool) -> QuotaNeed {
    let per_task = Resources { cpus: 1000, gpus: 0, memory: 500 };
    let in_use = Resources { memory: 0, ..per_task.times(in_use) };
    QuotaNeed {
        job: job.into(),
        per_task,
        in_use,
        is_usage_known: true,
        more_tasks: more,
        all_or_nothing: whole,
        priority: u8::from(whole),
        accepted: Micros(5_000_000),
    }
}

pub(super) fn next_write(
    ledger: &QuotaLedger,
    now: Micros,
    needs: &[QuotaNeed],
    is_ours: impl Fn(&str) -> bool,
    is_released: impl Fn(&str) -> bool,
) -> Option<AllocationWrite> {
    let (is_ours, is_released) = (&is_ours, &is_released);
    let input = AllocationInput {
        team: "t",
        needs,
        is_led_locally: is_ours,
        can_release: is_released,
        value_bytes: 4096,
    };
    ledger.next_write(now, &input)
}

#[test]
fn two_shards_never_allot_more_than_the_limit() {
    use rand::{RngExt, SeedableRng, rngs::StdRng};
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store: (Value, u64) = (json!({}), 0);
        let mut ledgers = [QuotaLedger::new(&team(10.0)), QuotaLedger::new(&team(10.0))];
        for step in 0..60u64 {
            let shard = rng.random_range(0..2usize);
            let prefix = ["a", "b"][shard];
            if rng.random_bool(0.5) {
                ledgers[shard].apply_record("t", (store.1 > 0).then_some((&store.0, store.1)));
            }
            let needs: Vec<QuotaNeed> = (0..3)
                .map(|i| need(&format!("{prefix}{i}"), 0, rng.random_range(0..8), rng.random_bool(0.3)))
                .collect();
            let now = Micros::from_millis(step * 4000);
            let Some(write) = next_write(&ledgers[shard], now, &needs, |j| j.starts_with(prefix), |_| true)
            else {
                continue;
            };
            if write.base_version == store.1 {
                store = (write.value.clone(), store.1 + 1);
                let total: i64 = write.allocations.values().map(|c| c.cpus).sum();
                assert!(total <= 10_000, "seed {seed}: {total}");
                ledgers[shard].commit_write(write, store.1);
            } else {
                ledgers[shard].fail_write(&write, true);
            }
        }
    }
}

#[test]
fn write_of_unknown_fate_binds_until_it_is_settled() {
    let mut ledger = QuotaLedger::new(&team(10.0));
    ledger.apply_record("t", Some((&json!({"a": [5000, 0]}), 4)));
    let late = Micros::from_millis(60_000);
    let write = next_write(&ledger, late, &[need("a", 2, 0, false)], |_| true, |_| true).unwrap();
    ledger.begin_write(late, &write);
    ledger.fail_write(&write, false);
    ledger.apply_record("t", Some((&json!({"a": [5000, 0]}), 4)));
    assert_eq!(ledger.usable("t", "a").cpus, 2000, "the shrunken allocation may yet be applied");
    let later = Micros::from_millis(70_000);
    let write =
        next_write(&ledger, later, &[need("a", 2, 3, false)], |_| true, |_| true).expect("written again");
    ledger.begin_write(later, &write);
    ledger.commit_write(write, 5);
    assert_eq!(ledger.usable("t", "a").cpus, 5000);
}

/// Many teams that give room back every few seconds on all controllers would take most of the write budget, and
/// cancellations would wait to be put on record.
#[test]
fn room_that_nobody_lacks_is_given_back_in_batches() {
    let writes = |limit: f64| {
        let mut ledger = QuotaLedger::new(&team(limit));
        ledger.apply_record("t", Some((&json!({"a": [900_000, 0]}), 4)));
        let (mut version, mut n) = (4, 0);
        for s in 60..120u64 {
            let now = Micros::from_millis(s * 1000);
            let need = need("a", 900 - s as i64, 0, false);
            let Some(write) = next_write(&ledger, now, &[need], |_| true, |_| true) else { continue };
            ledger.begin_write(now, &write);
            (version, n) = (version + 1, n + 1);
            ledger.commit_write(write, version);
        }
        n
    };
    assert_eq!(writes(4000.0), 3, "far from the limit");
    assert_eq!(writes(1000.0), 20, "near it others may wait for the room");
}

/// An array that has begun long ago and whose tasks its new leader has yet to hear of may be taken for one that waits and
/// asks for a first task alone. The rest of its allocation must not go to others while its tasks run
/// (simulated cluster, seed 4539).
#[test]
fn allocation_of_an_unsettled_job_never_shrinks() {
    for settled in [false, true] {
        let mut ledger = QuotaLedger::new(&team(10.0));
        ledger.apply_record("t", Some((&json!({"a": [8000, 0]}), 4)));
        let needs = [QuotaNeed { is_usage_known: settled, ..need("a", 0, 1, false) }, need("b", 0, 9, false)];
        let write =
            next_write(&ledger, Micros::from_millis(60_000), &needs, |_| true, |_| true).expect("b grows");
        assert_eq!(write.allocations["a"].cpus, if settled { 1000 } else { 8000 });
        assert_eq!(write.allocations["a"].cpus + write.allocations["b"].cpus, 10_000);
    }
}

#[test]
fn allocation_stays_while_tasks_use_it() {
    let mut ledger = QuotaLedger::new(&team(10.0));
    ledger.apply_record("t", Some((&json!({"a": [5000, 0], "gone": [3000, 0]}), 4)));
    let late = Micros::from_millis(60_000);
    let write = next_write(&ledger, late, &[need("a", 4, 0, false)], |_| true, |_| false).unwrap();
    assert_eq!(write.allocations["a"].cpus, 4000, "down to what is in use");
    assert_eq!(write.allocations["gone"].cpus, 3000, "tasks not known to be gone");
    let write = next_write(&ledger, late, &[need("a", 4, 0, false)], |_| true, |_| true).unwrap();
    assert!(!write.allocations.contains_key("gone"));
    assert!(
        next_write(&ledger, late, &[need("a", 5, 9, true)], |_| true, |_| false).is_none(),
        "a gang gets all or none"
    );
}

/// Writes go unanswered, are refused, or are applied late, after newer ones; reads are overtaken; epochs change: what runs
/// never takes more than the limit. A refusal of the next write must not let go of an earlier one that has no answer and
/// may be applied after that, nor must an answer that was overtaken bring back an allocation that has shrunk.
#[test]
fn allocations_hold_whatever_is_carried_out_late() {
    use rand::{RngExt, SeedableRng, rngs::StdRng};
    let mut most = 0;
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store: (Value, u64) = (json!({}), 1);
        let mut ledgers = [QuotaLedger::new(&team(10.0)), QuotaLedger::new(&team(10.0))];
        let mut running: BTreeMap<String, i64> = BTreeMap::new();
        // By shard: writes that may be applied yet, with whether their answer will come, and answers of reads under way.
        let mut late: Vec<(usize, AllocationWrite)> = Vec::new();
        let mut answers: Vec<(usize, Value, u64)> = Vec::new();
        let apply = |store: &mut (Value, u64), write: &AllocationWrite| {
            let fits = write.base_version == store.1;
            if fits {
                *store = (write.value.clone(), store.1 + 1);
            }
            fits.then_some(store.1)
        };
        for step in 0..300u64 {
            let now = Micros::from_millis(step * 700);
            let shard = rng.random_range(0..2usize);
            let prefix = ["a", "b"][shard];
            let jobs: Vec<String> = (0..3).map(|i| format!("{prefix}{i}")).collect();
            match rng.random_range(0..12) {
                0 if !late.is_empty() => {
                    let (_, write) = late.swap_remove(rng.random_range(0..late.len()));
                    apply(&mut store, &write);
                }
                1 | 2 if !answers.is_empty() => {
                    let (to, value, version) = answers.swap_remove(rng.random_range(0..answers.len()));
                    ledgers[to].apply_record("t", Some((&value, version)));
                }
                // A new epoch fences what was sent before; everybody reads anew.
                3 if rng.random_bool(0.2) => {
                    late.clear();
                    for (i, ledger) in ledgers.iter_mut().enumerate() {
                        ledger.begin_epoch();
                        answers.push((i, store.0.clone(), store.1));
                    }
                }
                4..7 => {
                    let job = &jobs[rng.random_range(0..3usize)];
                    let n = running.entry(job.clone()).or_default();
                    if rng.random_bool(0.5) {
                        *n = (*n - 1).max(0);
                    } else if ledgers[shard].usable("t", job).cpus >= (*n + 1) * 1000 {
                        *n += 1;
                    }
                }
                _ => {
                    let needs: Vec<QuotaNeed> = jobs
                        .iter()
                        .map(|j| need(j, running.get(j).copied().unwrap_or(0), rng.random_range(0..8), false))
                        .collect();
                    let by_team = BTreeMap::from([("t".to_owned(), needs)]);
                    let mine = |j: &str| j.starts_with(prefix);
                    let Some(write) = next_write(&ledgers[shard], now, &by_team["t"], mine, |_| true) else {
                        for _ in ledgers[shard].next_reads(now, &by_team) {
                            answers.push((shard, store.0.clone(), store.1));
                        }
                        continue;
                    };
                    ledgers[shard].begin_write(now, &write);
                    match rng.random_range(0..6) {
                        0 => ledgers[shard].fail_write(&write, true),
                        1 | 2 => {
                            ledgers[shard].fail_write(&write, false);
                            late.push((shard, write));
                        }
                        3 => {
                            apply(&mut store, &write);
                            ledgers[shard].fail_write(&write, false);
                        }
                        _ => match apply(&mut store, &write) {
                            Some(version) => ledgers[shard].commit_write(write, version),
                            None => ledgers[shard].fail_write(&write, true),
                        },
                    }
                }
            }
            let all: i64 = running.values().sum();
            assert!(all <= 10, "seed {seed}, step {step}: {all} tasks run of a team that may run 10");
            most = most.max(all);
        }
    }
    assert_eq!(most, 10, "the limit is reached");
}
