use super::*;
use proptest::prelude::*;

#[test]
fn names_that_would_break_a_key_are_refused() {
    for bad in ["", " ", "a b", "a/b", "a\n", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert_eq!(Key::new(Kind::Batch, bad), Err(InvalidName), "{bad:?}");
    }
    let key = Key::new(Kind::Release, "Kő-és-Kard@2026-12-01").expect("valid");
    assert_eq!(Key::parse(&key.head_key()), Some(key.clone()));
    assert!(key.page_key(u64::MAX, 99_999).len() <= 200);
    assert!(!key.page_key(1, 0).starts_with(HEADS), "a list of heads must not hold pages");
}

#[test]
fn what_is_newer_or_damaged_is_told_apart() {
    let v = CoordinationRecord::open(3, json!({"a": 1})).to_value();
    assert_eq!(CoordinationRecord::read(&v).map(|r| r.version), Ok(3));
    let with = |key: &str, x: Value| {
        let mut v = v.clone();
        v[key] = x;
        CoordinationRecord::read(&v)
    };
    assert_eq!(with("form", json!(FORMAT_VERSION + 1)), Err(Unreadable::Newer(FORMAT_VERSION + 1)));
    assert_eq!(with("phase", json!("ajar")), Err(Unreadable::Damaged("phase")));
    assert_eq!(with("version", json!(-1)), Err(Unreadable::Damaged("version")));
    assert_eq!(CoordinationRecord::read(&json!(7)), Err(Unreadable::Damaged("form")));
}

#[test]
fn a_record_only_goes_forward() {
    let at = |version, phase| CoordinationRecord { version, phase, pages: 0, body: Value::Null };
    let closed = at(2, Phase::Closed);
    assert_eq!(closed.check_transition(&at(2, Phase::Closing)), Err(TransitionError::Phase(Phase::Closed)));
    assert_eq!(closed.check_transition(&at(1, Phase::Closed)), Err(TransitionError::Version(2)));
    assert_eq!(closed.check_transition(&at(3, Phase::Open)), Ok(()));
}

proptest! {
    #[test]
    fn pages_hold_all_items_in_order_and_fit(lens in prop::collection::vec(0usize..90, 0..200), bytes in 150usize..400) {
        let list: Vec<Value> = lens.iter().enumerate().map(|(i, n)| json!(format!("{i}{}", "x".repeat(*n)))).collect();
        let (values, lost) = split_into_pages(list.clone(), bytes);
        prop_assert_eq!(lost, 0);
        prop_assert!(values.iter().all(|v| v.to_string().len() <= bytes));
        let back: Vec<Value> = values.iter().flat_map(|v| read_page_items(v).expect("readable").to_vec()).collect();
        prop_assert_eq!(back, list);
    }
}
