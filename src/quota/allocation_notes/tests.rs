use crate::quota::tests::{need, next_write, team};
use crate::quota::tier::QuotaTier;
use crate::quota::{QuotaLedger, QuotaNeed};
use crate::units::{Micros, Resources};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Two job shards with jobs of one team, and what the record says.
struct TwoShards {
    ledgers: [QuotaLedger; 2],
    store: (Value, u64),
}

impl TwoShards {
    fn round(&mut self, now: Micros, needs: [&[QuotaNeed]; 2]) {
        for (shard, needs) in needs.into_iter().enumerate() {
            let ledger = &mut self.ledgers[shard];
            let all = BTreeMap::from([("t".to_owned(), needs.to_vec())]);
            for team in ledger.next_reads(now, &all) {
                ledger.apply_record(&team, Some((&self.store.0, self.store.1)));
            }
            let mine = |j: &str| j.starts_with(["a", "b"][shard]);
            let Some(write) = next_write(ledger, now, needs, mine, |_| true) else { continue };
            ledger.begin_write(now, &write);
            if write.base_version == self.store.1 {
                self.store = (write.value.clone(), write.base_version + 1);
                ledger.commit_write(write, self.store.1);
            } else {
                ledger.fail_write(&write, true);
            }
        }
    }
}

/// Arrays of a team must not take each bit of room that comes free, or hold all of it in vain, so that its gangs never
/// get enough at one time.
#[test]
fn gang_gets_its_teams_room_however_many_small_jobs_there_are() {
    for held_in_vain in [true, false] {
        let mut two = TwoShards {
            ledgers: [QuotaLedger::new(&team(10.0)), QuotaLedger::new(&team(10.0))],
            store: (json!({}), 1),
        };
        let (mut running, mut at) = (0, None);
        for s in 1..120u64 {
            // The array of the second shard runs what it may, one task of it ends each second, and more come.
            if !held_in_vain {
                let may = two.ledgers[1].usable("t", "b1").cpus / 1000;
                running = (running - 1).max(0).max(may.min(running + 2));
                running = if s % 3 == 0 { running - 1 } else { running }.max(0);
            }
            let array = QuotaNeed { priority: 0, ..need("b1", running, 50, false) };
            let gang = QuotaNeed { accepted: Micros(9_000_000), ..need("a1", 0, 8, true) };
            let gang: &[QuotaNeed] = if s > 20 { std::slice::from_ref(&gang) } else { &[] };
            two.round(Micros::from_millis(s * 1000), [gang, &[array]]);
            let allocated = two.ledgers[0].allocation("t", "a1").cpus;
            let sum: i64 = two.store.0.as_object().unwrap().values().map(|v| v[0].as_i64().unwrap()).sum();
            assert!(sum <= 10_000, "{}", two.store.0);
            if allocated == 8000 {
                at = at.or(Some(s));
            }
        }
        assert!(at.is_some_and(|s| s < 80), "held in vain: {held_in_vain}: {at:?}");
    }
}

/// The allocation of a job taken over covers tasks that its new leader doesn't know of yet.
#[test]
fn room_is_not_given_back_while_tasks_may_run_that_nobody_knows_of() {
    for settled in [true, false] {
        let mut ledger = QuotaLedger::new(&team(10.0));
        ledger.apply_record("t", Some((&json!({"a": [10_000, 0, 5], "b": [0, 0, 6, 8000, 0, 1]}), 4)));
        let array = QuotaNeed { is_usage_known: settled, priority: 0, ..need("a", 1, 9, false) };
        let late = Micros::from_millis(60_000);
        let write = next_write(&ledger, late, &[array], |j| j == "a", |_| true);
        assert_eq!(
            write.map(|write| write.allocations["a"].cpus),
            settled.then_some(2000),
            "what the gang lacks, and no more"
        );
    }
}

/// The first version reads two numbers of an allocation and writes two.
#[test]
fn record_without_the_order_of_jobs_is_read_and_completed() {
    let mut s = team(10.0);
    s[0].cpus = 6.0;
    let mut ledger = QuotaLedger::new(&s);
    ledger.apply_record("t", Some((&json!({"a": [5000, 0], "z": [3000, 0], "w": [0, 0]}), 4)));
    let tier = |ledger: &QuotaLedger, job: &str| {
        let at = if job == "a" { 5_000_000 } else { 7_000_000 };
        ledger.tier_of("t", job, Micros(at), Resources::default())
    };
    assert_eq!(tier(&ledger, "a"), QuotaTier::Unknown, "whether the other came first is not said");
    let late = Micros::from_millis(60_000);
    let none = next_write(&ledger, late, &[need("a", 5, 0, false)], |j| j == "a", |_| true);
    assert!(none.is_none(), "the order alone is not worth a write");
    let write = next_write(&ledger, late, &[need("a", 5, 1, false)], |j| j == "a", |_| true).unwrap();
    assert_eq!(write.value, json!({"a": [6000, 0, 5], "z": [3000, 0]}));
    ledger.apply_record("t", Some((&json!({"a": [3000, 0, 5], "z": [3000, 0, 7]}), 5)));
    assert_eq!((tier(&ledger, "a"), tier(&ledger, "z")), (QuotaTier::Within, QuotaTier::Within));
    ledger.apply_record("t", Some((&json!({"a": [4000, 0, 5], "z": [3000, 0, 7]}), 6)));
    assert_eq!((tier(&ledger, "a"), tier(&ledger, "z")), (QuotaTier::Within, QuotaTier::Beyond));
}
