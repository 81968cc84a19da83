use super::*;
use serde_json::json;

#[test]
fn what_a_job_says_is_read_and_kept_and_errors_name_the_field() {
    let v = json!({"title": "boldog", "night": "2026-12-01", "stage": "rebuild", "expects": 40});
    let s = ReleaseRef::parse(&v).expect("valid");
    assert_eq!(s.to_value(), v);
    let key = s.key().expect("a key");
    assert_eq!(
        (key.head_key().as_str(), title_and_night(&key)),
        ("pact/r/boldog@2026-12-01", Some(("boldog", "2026-12-01")))
    );
    assert_eq!(
        ReleaseRef::parse(&json!({"title": "t", "stage": "render", "night": null})).expect("valid").night,
        None
    );
    for (v, named) in [
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
        let e = ReleaseRef::parse(&v).expect_err(named).to_string();
        assert!(e.starts_with(named), "{e}");
    }
}
