use super::*;

#[test]
fn what_is_unknown_or_wrong_is_named() {
    let mut s = Settings::default();
    assert_eq!(s.set("sources", "bet-bolu, oris-oqu"), Ok(()));
    assert_eq!(s.set("source", "x"), Err(SettingError::Key("sources")));
    assert_eq!(s.set("merges", "aimak merge"), Err(SettingError::Name("aimak merge".into())));
    assert_eq!(s.set("merges", "aimak-merge,aimak-merge"), Err(SettingError::Twice("aimak-merge".into())));
    assert_eq!(s.check(), Ok(()));
    s.required = ["til-tekser".to_owned()].into();
    assert_eq!(s.check(), Err(("required", SettingError::NoSource("til-tekser".into()))));
    s.required = BTreeSet::new();
    s.merges.insert("oris-oqu".into());
    assert_eq!(s.check(), Err(("merges", SettingError::Both("oris-oqu".into()))));
    assert!(!s.can_merge("bet-bolu") && Settings::default().can_merge("bet-bolu"));
}
