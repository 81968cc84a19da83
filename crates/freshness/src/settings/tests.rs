use super::*;

#[test]
fn invalid_keys_and_classes_are_rejected_and_named() {
    let mut settings = Settings::default();
    assert_eq!(settings.set("sources", "bet-bolu, oris-oqu"), Ok(()));
    assert_eq!(settings.set("source", "x"), Err(SettingError::UnknownKey("sources")));
    assert_eq!(
        settings.set("merges", "aimak merge"),
        Err(SettingError::InvalidClassName("aimak merge".into()))
    );
    assert_eq!(
        settings.set("merges", "aimak-merge,aimak-merge"),
        Err(SettingError::DuplicateClass("aimak-merge".into()))
    );
    assert_eq!(settings.check(), Ok(()));
    settings.required = ["til-tekser".to_owned()].into();
    assert_eq!(settings.check(), Err(("required", SettingError::RequiredNotSource("til-tekser".into()))));
    settings.required = BTreeSet::new();
    settings.merges.insert("oris-oqu".into());
    assert_eq!(settings.check(), Err(("merges", SettingError::SourceAndMerge("oris-oqu".into()))));
    assert!(!settings.can_merge("bet-bolu") && Settings::default().can_merge("bet-bolu"));
}
