use super::*;
use proptest::prelude::*;

#[test]
fn names_that_cannot_be_part_of_a_key_are_rejected() {
    for bad in ["", " ", "a b", "a/b", "a\n", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert_eq!(Key::new(Kind::Batch, bad), Err(InvalidName), "{bad:?}");
    }
    let key = Key::new(Kind::Release, "Kő-és-Kard@2026-12-01").expect("valid");
    assert_eq!(Key::parse(&key.head_key()), Some(key.clone()));
    assert!(key.page_key(u64::MAX, 99_999).len() <= 200);
    assert!(!key.page_key(1, 0).starts_with(HEAD_PREFIX), "a list of heads must not contain pages");
}

#[test]
fn newer_and_damaged_records_are_distinguished() {
    let value = CoordinationRecord::open(3, json!({"a": 1})).to_value();
    assert_eq!(CoordinationRecord::read(&value).map(|record| record.version), Ok(3));
    let read_with = |key: &str, replacement: Value| {
        let mut value = value.clone();
        value[key] = replacement;
        CoordinationRecord::read(&value)
    };
    assert_eq!(read_with("form", json!(FORMAT_VERSION + 1)), Err(Unreadable::Newer(FORMAT_VERSION + 1)));
    assert_eq!(read_with("phase", json!("ajar")), Err(Unreadable::Damaged("phase")));
    assert_eq!(read_with("version", json!(-1)), Err(Unreadable::Damaged("version")));
    assert_eq!(CoordinationRecord::read(&json!(7)), Err(Unreadable::Damaged("form")));
}

#[test]
fn version_and_phase_never_decrease() {
    let record = |version, phase| CoordinationRecord { version, phase, pages: 0, body: Value::Null };
    let closed = record(2, Phase::Closed);
    assert_eq!(
        closed.check_transition(&record(2, Phase::Closing)),
        Err(TransitionError::Phase(Phase::Closed))
    );
    assert_eq!(closed.check_transition(&record(1, Phase::Closed)), Err(TransitionError::Version(2)));
    assert_eq!(closed.check_transition(&record(3, Phase::Open)), Ok(()));
}

proptest! {
    #[test]
    fn pages_hold_all_items_in_order_within_the_limit(lengths in prop::collection::vec(0usize..90, 0..200), max_bytes in 150usize..400) {
        let items_before: Vec<Value> = lengths.iter().enumerate().map(|(i, length)| json!(format!("{i}{}", "x".repeat(*length)))).collect();
        let (values, left_out) = split_into_pages(items_before.clone(), max_bytes);
        prop_assert_eq!(left_out, 0);
        prop_assert!(values.iter().all(|value| value.to_string().len() <= max_bytes));
        let items_after: Vec<Value> = values.iter().flat_map(|value| read_page_items(value).expect("readable").to_vec()).collect();
        prop_assert_eq!(items_after, items_before);
    }
}
