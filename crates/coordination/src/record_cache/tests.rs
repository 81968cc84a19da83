use super::*;
use crate::record::Kind;
use serde_json::json;

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

#[test]
fn a_reading_counts_from_its_question_and_older_ones_are_dropped() {
    let key = Key::new(Kind::Batch, "b").expect("valid");
    let mut s = RecordCache::default();
    s.want(&key);
    assert_eq!(s.due(at(10), 9), std::slice::from_ref(&key));
    s.asked(&key, at(10));
    assert!(s.due(at(20), 9).is_empty(), "one is under way");
    s.want_since(&key, at(30));
    assert_eq!(s.due(at(30), 9), std::slice::from_ref(&key), "it began too early for who asks now");
    s.asked(&key, at(31));
    let newer = CoordinationRecord::open(2, json!(null)).value();
    assert!(s.read(&key, at(31), at(1000), Some((&newer, 7))));
    let older = CoordinationRecord::open(1, json!(null)).value();
    assert!(!s.read(&key, at(10), at(1000), Some((&older, 5))), "overtaken on the way");
    assert!(matches!(s.get_since(&key, at(30)), Some(Held::Is(r)) if r.version == 2));
    assert_eq!(s.get_since(&key, at(32)), None);
    assert!(s.due(at(900), 9).is_empty() && s.due(at(1000), 9) == std::slice::from_ref(&key));
    s.asked(&key, at(1000));
    assert_eq!(s.due(at(1000) + PATIENCE, 9), std::slice::from_ref(&key), "no answer came");
}

#[test]
fn nothing_rests_on_what_was_never_read() {
    let key = Key::new(Kind::Loan, "l").expect("valid");
    let mut s = RecordCache::default();
    s.want(&key);
    assert_eq!((s.get(&key), s.get_since(&key, at(0)), s.store_version(&key)), (&Held::Unread, None, 0));
    s.keep(&BTreeSet::new());
    assert_eq!(s.iter().count(), 0);
}
