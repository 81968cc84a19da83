use super::*;
use serde_json::json;

#[test]
fn release_field_round_trips_and_errors_name_the_malformed_field() {
    let json = json!({"title": "boldog", "night": "2026-12-01", "stage": "rebuild", "expects": 40});
    let release_ref = ReleaseRef::parse(&json).expect("valid");
    assert_eq!(release_ref.to_value(), json);
    let key = release_ref.key().expect("a key");
    assert_eq!(
        (key.head_key().as_str(), title_and_night(&key)),
        ("pact/r/boldog@2026-12-01", Some(("boldog", "2026-12-01")))
    );
    assert_eq!(
        ReleaseRef::parse(&json!({"title": "t", "stage": "render", "night": null})).expect("valid").night,
        None
    );
    for (json, message_start) in [
        (json!(7), "release: must"),
        (json!({"stage": "render"}), "release.title: is missing"),
        (json!({"title": "a/b", "stage": "render"}), "release.title: must"),
        (json!({"title": "a@b", "stage": "render"}), "release.title: must"),
        (json!({"title": 1, "stage": "render"}), "release.title: must be a string"),
        (
            json!({"title": "t", "stage": "rendr"}),
            "release.stage: \"rendr\" is none of rebuild, render and rotation; the nearest is render",
        ),
        (json!({"title": "t", "stage": "render", "night": "2026-12-1"}), "release.night: "),
        (json!({"title": "t", "stage": "render", "night": "2026-02-30"}), "release.night: "),
        (json!({"title": "t", "stage": "render", "expects": 4}), "release.expects: is for rebuilds"),
        (json!({"title": "t", "stage": "rebuild", "expects": 0}), "release.expects: must"),
    ] {
        let message = ReleaseRef::parse(&json).expect_err(message_start).to_string();
        assert!(message.starts_with(message_start), "{message}");
    }
}
