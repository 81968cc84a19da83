use super::tier::QuotaTier;
use super::*;
use crate::config::settings::TeamSettings;
use crate::state_store::KeyValue;
use crate::units::Micros;
use serde_json::{Value, json};
use std::collections::BTreeMap;

pub(super) fn team(cpus_max: f64) -> Vec<TeamSettings> {
    vec![TeamSettings { name: "t".into(), cpus: 0.0, cpus_max, gpus: 0.0, gpus_max: 0.0 }]
}
pub(super) fn need(job: &str, in_use: i64, more_tasks: i64, all_or_nothing: bool) -> QuotaNeed {
    let per_task = Resources { cpus: 1000, gpus: 0, memory: 500 };
    let in_use = Resources { memory: 0, ..per_task.times(in_use) };
    QuotaNeed {
        job: job.into(),
        per_task,
        in_use,
        is_usage_known: true,
        more_tasks,
        all_or_nothing,
        priority: u8::from(all_or_nothing),
        accepted: Micros(5_000_000),
    }
}

pub(super) fn next_write(
    ledger: &QuotaLedger,
    now: Micros,
    needs: &[QuotaNeed],
    is_led_locally: impl Fn(&str) -> bool,
    can_release: impl Fn(&str) -> bool,
) -> Option<AllocationWrite> {
    let (is_led_locally, can_release) = (&is_led_locally, &can_release);
    let input =
        AllocationInput { team: "t", needs, is_led_locally, can_release, value_bytes: 4096, max_pages: 1 };
    ledger.next_write(now, &input)
}

#[test]
fn two_shards_never_allocate_more_than_the_limit() {
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
fn write_with_unknown_outcome_limits_use_until_it_is_settled() {
    let mut ledger = QuotaLedger::new(&team(10.0));
    ledger.apply_record("t", Some((&json!({"a": [5000, 0]}), 4)));
    let late = Micros::from_millis(60_000);
    let write = next_write(&ledger, late, &[need("a", 2, 0, false)], |_| true, |_| true).unwrap();
    ledger.begin_write(late, &write);
    ledger.fail_write(&write, false);
    ledger.apply_record("t", Some((&json!({"a": [5000, 0]}), 4)));
    assert_eq!(ledger.usable("t", "a").cpus, 2000, "the unanswered write may still be applied");
    let later = Micros::from_millis(70_000);
    let write =
        next_write(&ledger, later, &[need("a", 2, 3, false)], |_| true, |_| true).expect("written again");
    ledger.begin_write(later, &write);
    ledger.commit_write(write, 5);
    assert_eq!(ledger.usable("t", "a").cpus, 5000);
}

/// If all controllers released resources of many teams every few seconds, these writes would use most of the write budget
/// and delay the records of cancellations.
#[test]
fn unneeded_quota_is_released_in_batches() {
    let writes = |limit: f64| {
        let mut ledger = QuotaLedger::new(&team(limit));
        ledger.apply_record("t", Some((&json!({"a": [900_000, 0]}), 4)));
        let (mut version, mut write_count) = (4, 0);
        for second in 60..120u64 {
            let now = Micros::from_millis(second * 1000);
            let need = need("a", 900 - second as i64, 0, false);
            let Some(write) = next_write(&ledger, now, &[need], |_| true, |_| true) else { continue };
            ledger.begin_write(now, &write);
            (version, write_count) = (version + 1, write_count + 1);
            ledger.commit_write(write, version);
        }
        write_count
    };
    assert_eq!(writes(4000.0), 3, "far from the limit");
    assert_eq!(writes(1000.0), 20, "near the limit other jobs may wait for the resources");
}

/// After a failover a job array with running tasks may look to its new leader like a waiting job that needs only a first
/// task, because the machines have not sent heartbeats yet. The rest of its allocation must not go to other jobs while
/// its tasks run (simulated cluster, seed 4539).
#[test]
fn allocation_never_shrinks_while_use_is_unknown() {
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
    assert_eq!(write.allocations["a"].cpus, 4000, "shrinks to the resources in use");
    assert_eq!(write.allocations["gone"].cpus, 3000, "its tasks are not known to be gone");
    let write = next_write(&ledger, late, &[need("a", 4, 0, false)], |_| true, |_| true).unwrap();
    assert!(!write.allocations.contains_key("gone"));
    assert!(
        next_write(&ledger, late, &[need("a", 5, 9, true)], |_| true, |_| false).is_none(),
        "a gang gets all its resources or none"
    );
}

/// Writes get no answer, are refused, or are applied late, reads arrive out of order, and epochs change. The running
/// tasks must never use more than the limit. A refusal of a write must not discard an earlier unanswered write that may
/// still be applied, and an outdated read must not restore an allocation that has shrunk since.
#[test]
fn limit_holds_when_writes_and_reads_arrive_late() {
    use rand::{RngExt, SeedableRng, rngs::StdRng};
    let mut max_running = 0;
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store: (Value, u64) = (json!({}), 1);
        let mut ledgers = [QuotaLedger::new(&team(10.0)), QuotaLedger::new(&team(10.0))];
        let mut running: BTreeMap<String, i64> = BTreeMap::new();
        // By shard: unanswered writes that may still be applied, and answers to reads that have not arrived yet.
        let mut unanswered_writes: Vec<(usize, AllocationWrite)> = Vec::new();
        let mut pending_reads: Vec<(usize, Value, u64)> = Vec::new();
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
                0 if !unanswered_writes.is_empty() => {
                    let (_, write) =
                        unanswered_writes.swap_remove(rng.random_range(0..unanswered_writes.len()));
                    apply(&mut store, &write);
                }
                1 | 2 if !pending_reads.is_empty() => {
                    let (reader, value, version) =
                        pending_reads.swap_remove(rng.random_range(0..pending_reads.len()));
                    ledgers[reader].apply_record("t", Some((&value, version)));
                }
                // A new epoch fences earlier requests, and all shards read the record again.
                3 if rng.random_bool(0.2) => {
                    unanswered_writes.clear();
                    for (i, ledger) in ledgers.iter_mut().enumerate() {
                        ledger.begin_epoch();
                        pending_reads.push((i, store.0.clone(), store.1));
                    }
                }
                4..7 => {
                    let job = &jobs[rng.random_range(0..3usize)];
                    let running_tasks = running.entry(job.clone()).or_default();
                    if rng.random_bool(0.5) {
                        *running_tasks = (*running_tasks - 1).max(0);
                    } else if ledgers[shard].usable("t", job).cpus >= (*running_tasks + 1) * 1000 {
                        *running_tasks += 1;
                    }
                }
                _ => {
                    let needs: Vec<QuotaNeed> = jobs
                        .iter()
                        .map(|j| need(j, running.get(j).copied().unwrap_or(0), rng.random_range(0..8), false))
                        .collect();
                    let by_team = BTreeMap::from([("t".to_owned(), needs)]);
                    let is_led_locally = |job: &str| job.starts_with(prefix);
                    let Some(write) =
                        next_write(&ledgers[shard], now, &by_team["t"], is_led_locally, |_| true)
                    else {
                        for _ in ledgers[shard].next_reads(now, &by_team) {
                            pending_reads.push((shard, store.0.clone(), store.1));
                        }
                        continue;
                    };
                    ledgers[shard].begin_write(now, &write);
                    match rng.random_range(0..6) {
                        0 => ledgers[shard].fail_write(&write, true),
                        1 | 2 => {
                            ledgers[shard].fail_write(&write, false);
                            unanswered_writes.push((shard, write));
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
            let total_running: i64 = running.values().sum();
            assert!(
                total_running <= 10,
                "seed {seed}, step {step}: {total_running} tasks run of a team that may run 10"
            );
            max_running = max_running.max(total_running);
        }
    }
    assert_eq!(max_running, 10, "the limit is reached");
}

fn row(key: &str, value: Value, store_version: u64) -> KeyValue {
    KeyValue { key: key.into(), value, store_version }
}

/// Guards against starts under an allocation that another leader of the job has shrunk, and against jobs that wait for a
/// read that nobody sends.
#[test]
fn nothing_is_usable_in_an_epoch_before_the_record_is_read() {
    let mut ledger = QuotaLedger::new(&team(10.0));
    ledger.apply_record("t", Some((&json!({"a": [5000, 0]}), 4)));
    assert_eq!(ledger.usable("t", "a").cpus, 5000);
    ledger.begin_epoch();
    assert_eq!(ledger.usable("t", "a").cpus, 0);
    assert_eq!(ledger.unread_teams().collect::<Vec<_>>(), ["t"]);
    let later = Micros::from_millis(2000);
    assert_eq!(ledger.next_reads(later, &BTreeMap::new()), ["t"]);
    // The first page of several shows only that all of them must be read.
    ledger.apply_record("t", Some((&json!([{"a": [1000, 0]}]), 5)));
    assert_eq!(ledger.usable("t", "a").cpus, 0);
    assert_eq!(ledger.next_reads(later, &BTreeMap::new()), ["t"], "read at once");
    ledger.require_read("t");
    assert_eq!(ledger.next_reads(later, &BTreeMap::new()), ["t"], "a failed read is repeated at once");
    let pages = [row("team/t", json!([{"a": [1000, 0]}]), 5), row("team/t!1", json!({"b": [2000, 0]}), 5)];
    ledger.apply_rows("t", &pages, false);
    assert_eq!((ledger.usable("t", "a").cpus, ledger.usable("t", "b").cpus), (1000, 2000));
    assert_eq!(ledger.unread_teams().count(), 0);
    // Within the epoch a record that must be read again keeps what it was: its jobs have had no other leader.
    ledger.require_read("t");
    assert_eq!(ledger.usable("t", "a").cpus, 1000);
}

/// Guards against takeovers that take a request longer for each team with several pages.
#[test]
fn listing_of_all_records_shows_those_of_several_pages() {
    let settings = ["s", "t", "u"].map(|name| TeamSettings { name: name.into(), ..team(10.0).remove(0) });
    let mut ledger = QuotaLedger::new(&settings);
    let rows = [
        row("team/s", json!({"a": [1000, 0]}), 4),
        row("team/t", json!([{"b": [1000, 0]}]), 5),
        row("team/t!1", json!({"c": [2000, 0]}), 5),
        row("team/u", json!([{"d": [1000, 0]}]), 6),
        row("team/u!1", json!({"e": [2000, 0]}), 6),
    ];
    ledger.apply_listed_rows(&rows[..4], true);
    assert_eq!(ledger.usable("s", "a").cpus, 1000);
    assert_eq!((ledger.usable("t", "b").cpus, ledger.usable("t", "c").cpus), (1000, 2000));
    assert_eq!(ledger.usable("u", "d").cpus, 0, "its other pages were listed later");
    ledger.apply_listed_rows(&rows[4..], false);
    assert_eq!(ledger.usable("u", "d").cpus, 0);
    assert_eq!(ledger.unread_teams().collect::<Vec<_>>(), ["u"]);
    assert!(ledger.is_paged("u"), "all its pages are read by one request");
}

/// Work must neither preempt nor be preempted by what an earlier epoch's record said of its team's guarantee.
#[test]
fn tier_is_unknown_before_the_record_is_read() {
    let settings = [TeamSettings { cpus: 10.0, ..team(10.0).remove(0) }];
    let mut ledger = QuotaLedger::new(&settings);
    let tier = |ledger: &QuotaLedger| {
        ledger.tier_of("t", "a", Micros(5_000_000), Resources { cpus: 1000, gpus: 0, memory: 0 })
    };
    ledger.apply_record("t", Some((&json!({"a": [1000, 0]}), 4)));
    assert_eq!(tier(&ledger), QuotaTier::Within);
    ledger.begin_epoch();
    assert_eq!(tier(&ledger), QuotaTier::Unknown);
}
