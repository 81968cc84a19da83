use super::*;
use crate::record::Kind;
use serde_json::json;

fn at(milliseconds: u64) -> Micros {
    Micros::from_millis(milliseconds)
}

#[test]
fn a_read_counts_from_its_request_and_older_responses_are_dropped() {
    let key = Key::new(Kind::Batch, "b").expect("valid");
    let mut cache = RecordCache::default();
    cache.track(&key);
    assert_eq!(cache.due_reads(at(10), 9), std::slice::from_ref(&key));
    cache.record_request(&key, at(10));
    assert!(cache.due_reads(at(20), 9).is_empty(), "a request is in flight");
    cache.require_read_since(&key, at(30));
    assert_eq!(
        cache.due_reads(at(30), 9),
        std::slice::from_ref(&key),
        "the request in flight was sent too early"
    );
    cache.record_request(&key, at(31));
    let newer = CoordinationRecord::open(2, json!(null)).to_value();
    assert!(cache.apply_answer(&key, at(31), at(1000), Some((&newer, 7))));
    let older = CoordinationRecord::open(1, json!(null)).to_value();
    assert!(
        !cache.apply_answer(&key, at(10), at(1000), Some((&older, 5))),
        "a newer response was applied before"
    );
    assert!(
        matches!(cache.get_since(&key, at(30)), Some(CachedRecord::Present(record)) if record.version == 2)
    );
    assert_eq!(cache.get_since(&key, at(32)), None);
    assert!(
        cache.due_reads(at(900), 9).is_empty() && cache.due_reads(at(1000), 9) == std::slice::from_ref(&key)
    );
    cache.record_request(&key, at(1000));
    assert_eq!(
        cache.due_reads(at(1000) + REQUEST_TIMEOUT, 9),
        std::slice::from_ref(&key),
        "no response arrived"
    );
}

#[test]
fn a_record_never_read_has_no_value_and_no_version() {
    let key = Key::new(Kind::Loan, "l").expect("valid");
    let mut cache = RecordCache::default();
    cache.track(&key);
    assert_eq!(
        (cache.get(&key), cache.get_since(&key, at(0)), cache.store_version(&key)),
        (&CachedRecord::NotRead, None, 0)
    );
    cache.retain(&BTreeSet::new());
    assert_eq!(cache.iter().count(), 0);
}
