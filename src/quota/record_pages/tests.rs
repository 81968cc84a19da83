use super::*;
use crate::quota::tests::{need, team};
use crate::quota::{AllocationInput, AllocationWrite, QuotaLedger, QuotaNeed};
use crate::state_store::KeyValue;
use crate::units::Micros;
use serde_json::json;

const VALUE_BYTES: usize = 2048;
const MAX_PAGES: usize = 4;

/// A team's record in a state store, with a version for each value.
#[derive(Default)]
struct Store {
    revision: u64,
    values: BTreeMap<String, (Value, u64)>,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(_, version)| *version)
    }

    /// Applies a write if its conditions hold, and returns whether they do.
    fn apply(&mut self, write: &AllocationWrite) -> bool {
        let first = page_key(&write.team, FIRST_PAGE);
        let mut conditions = write.pages.iter().map(|page| (&page.key, page.base_version));
        if self.version(&first) != write.base_version
            || conditions.any(|(key, version)| self.version(key) != version)
        {
            return false;
        }
        assert!(write.value_count() <= MAX_PAGES, "{} values", write.value_count());
        self.revision += 1;
        self.put(&first, write.value.clone());
        for page in &write.pages {
            match &page.value {
                Some(value) => self.put(&page.key, value.clone()),
                None => drop(self.values.remove(&page.key)),
            }
        }
        true
    }

    fn put(&mut self, key: &str, value: Value) {
        assert!(value.to_string().len() <= VALUE_BYTES, "{key}: {} bytes", value.to_string().len());
        self.values.insert(key.to_owned(), (value, self.revision));
    }

    /// All entries that a reader of this store finds, by job.
    fn entries(&self) -> BTreeMap<&String, &Value> {
        self.values.values().filter_map(|(value, _)| entries(value)).flatten().collect()
    }

    fn read(&self, ledger: &mut QuotaLedger, now: Micros, needs: &[QuotaNeed]) {
        let needs = BTreeMap::from([("t".to_owned(), needs.to_vec())]);
        for team in ledger.next_reads(now, &needs) {
            let first = page_key(&team, FIRST_PAGE);
            if ledger.is_paged(&team) {
                let row = |(key, (value, version)): (&String, &(Value, u64))| KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    store_version: *version,
                };
                let rows: Vec<KeyValue> = self.values.iter().map(row).collect();
                ledger.apply_rows(&team, &rows, false);
            } else {
                let record = self.values.get(&first).map(|(value, version)| (value, *version));
                ledger.apply_record(&team, record);
            }
        }
    }
}

/// Lets each shard, whose jobs begin with its number, read the record and write one change.
fn round(store: &mut Store, ledgers: &mut [QuotaLedger], now: Micros, needs: &[Vec<QuotaNeed>]) {
    for (shard, ledger) in ledgers.iter_mut().enumerate() {
        // Read twice: the first answer may show that there are further pages.
        ledger.require_read("t");
        store.read(ledger, now, &needs[shard]);
        store.read(ledger, now, &needs[shard]);
        let prefix = format!("wk-{shard}");
        let input = AllocationInput {
            team: "t",
            needs: &needs[shard],
            is_led_locally: &|job| job.starts_with(&prefix),
            can_release: &|_| true,
            value_bytes: VALUE_BYTES,
            max_pages: MAX_PAGES,
        };
        let Some(write) = ledger.next_write(now, &input) else { continue };
        ledger.begin_write(now, &write);
        match store.apply(&write) {
            true => ledger.commit_write(write, store.revision),
            false => ledger.fail_write(&write, true),
        }
    }
}

fn needs_of(shard: usize, jobs: std::ops::Range<usize>) -> Vec<QuotaNeed> {
    jobs.map(|job| need(&format!("wk-{shard}{job:05}"), 0, 1, false)).collect()
}

/// Guards against jobs that get no quota because their team's record is as long as a value may be.
#[test]
fn every_job_gets_quota_and_pages_go_with_their_last_entry() {
    let mut ledgers: Vec<QuotaLedger> = (0..3).map(|_| QuotaLedger::new(&team(2000.0))).collect();
    let mut store = Store::default();
    let mut now = Micros::from_millis(1_000_000);
    let mut play = |store: &mut Store, needs: &[Vec<QuotaNeed>], rounds: usize| {
        for _ in 0..rounds {
            round(store, &mut ledgers, now, needs);
            now = now + Micros::from_millis(3_000);
        }
    };
    let needs: Vec<Vec<QuotaNeed>> = (0..3).map(|shard| needs_of(shard, 0..300)).collect();
    play(&mut store, &needs, 60);
    assert_eq!(store.entries().len(), 900, "every job of every shard");
    assert!(store.values.len() > 10);
    let few: Vec<Vec<QuotaNeed>> = (0..3).map(|shard| needs_of(shard, 150..153)).collect();
    play(&mut store, &few, 60);
    assert_eq!(store.entries().len(), 9);
    play(&mut store, &[Vec::new(), Vec::new(), Vec::new()], 60);
    assert_eq!(store.values.keys().collect::<Vec<_>>(), ["team/t"]);
    assert_eq!(store.values["team/t"].0, json!({}), "the form that every version reads");
}

#[test]
fn limit_holds_over_all_pages() {
    let mut ledgers: Vec<QuotaLedger> = (0..3).map(|_| QuotaLedger::new(&team(200.0))).collect();
    let mut store = Store::default();
    for step in 0..40 {
        let first = step / 4 * 20;
        let needs: Vec<Vec<QuotaNeed>> = (0..3).map(|shard| needs_of(shard, first..first + 100)).collect();
        round(&mut store, &mut ledgers, Micros::from_millis(1_000_000 + step as u64 * 3_000), &needs);
        let allocated: i64 = store.entries().values().map(|entry| entry[0].as_i64().unwrap_or(0)).sum();
        assert!(allocated <= 200_000, "step {step}: {allocated}");
    }
    assert!(store.values.len() > 2);
    let allocated: i64 = store.entries().values().map(|entry| entry[0].as_i64().unwrap_or(0)).sum();
    assert_eq!(allocated, 200_000, "the limit is reached");
}

/// Guards against a team that is locked out because its record is longer than a limit that has fallen.
#[test]
fn overlong_record_is_split_and_nothing_is_lost() {
    let record: Map<String, Value> =
        (0..126).map(|job| (format!("wk-0{job:05}"), json!([1000, 0, 1_790_000_000 + job]))).collect();
    let mut store = Store { revision: 7, ..Store::default() };
    store.values.insert("team/t".into(), (Value::Object(record.clone()), 7));
    let mut ledgers = [QuotaLedger::new(&team(500.0))];
    let now = Micros::from_millis(1_000_000);
    round(&mut store, &mut ledgers, now, &[needs_of(0, 0..126)]);
    assert!(store.values["team/t"].0.is_array());
    let expected: BTreeMap<&String, &Value> = record.iter().collect();
    assert_eq!(store.entries(), expected);
}

#[test]
fn first_of_several_pages_alone_is_no_record() {
    let mut ledger = QuotaLedger::new(&team(500.0));
    ledger.apply_record("t", Some((&json!([{"wk-000001": [1000, 0]}]), 5)));
    assert!(ledger.is_paged("t"));
    assert_eq!(ledger.allocated("t").cpus, 0);
    let needs = needs_of(0, 0..1);
    let all = BTreeMap::from([("t".to_owned(), needs)]);
    assert_eq!(ledger.next_reads(Micros(1), &all), ["t"], "all pages are read at once");
}

#[test]
fn keys_of_pages_are_told_from_those_of_other_teams() {
    assert_eq!(page_key("t", FIRST_PAGE), "team/t");
    assert_eq!(page_key("t", 12), "team/t!12");
    assert_eq!(page_number("t", "team/t"), Some(FIRST_PAGE));
    assert_eq!(page_number("t", "team/t!12"), Some(12));
    for other in ["team/t0", "team/t0!1", "team/t!x", "team/s", "t"] {
        assert_eq!(page_number("t", other), None, "{other}");
    }
    let teams = ["a".to_owned(), "a!1".to_owned(), "b".to_owned()];
    assert!(is_ambiguous("a", teams.iter()));
    assert!(!is_ambiguous("b", teams.iter()));
}
