use super::*;
use serde_json::json;

fn body() -> Value {
    json!({"uid":"wk-000412","breed":"train","herd":"vision","gait":"group","rank":"high","strides":16,
        "vcpus":8.0,"cards":1.0,"ramGb":64.0,"tack":"img-07","imageGb":6.2,"breedsOfStall":["g8"],
        "paddock":null,"together":true,"scatter":false,"borrowed":true,"rideS":240.0,"restS":30.0,
        "unsaddleS":4.0,"dueS":900.0})
}

#[test]
fn each_missing_or_wrong_field_is_named() {
    assert!(JobSpec::from_value(&body()).is_ok());
    let optional = ["breedsOfStall", "paddock", "dueS"];
    for key in body().as_object().unwrap().keys() {
        let mut b = body();
        b.as_object_mut().unwrap().remove(key);
        if optional.contains(&key.as_str()) {
            assert!(JobSpec::from_value(&b).is_ok(), "{key}");
        } else {
            let e = JobSpec::from_value(&b).unwrap_err().to_string();
            assert!(e.starts_with(key.as_str()), "{e}");
        }
        for wrong in [json!({}), json!([1]), json!(-1.0), json!("")] {
            b[key] = wrong;
            let e = JobSpec::from_value(&b).unwrap_err().to_string();
            assert!(e.starts_with(key.as_str()), "{e}");
        }
    }
    for text in ["", "[]", "7", "{", "nul"] {
        assert!(matches!(JobSpec::parse(text), Err(SubmissionError::Body(_))), "{text}");
    }
}

#[test]
fn malformed_releases_and_batches_are_named() {
    let with = |key: &str, v: Value| {
        let mut b = body();
        b[key] = v;
        JobSpec::from_value(&b)
    };
    let long = "x".repeat(120);
    for (key, wrong) in [
        ("release", json!("tonight")),
        ("release", json!({"title": "t"})),
        ("release", json!({"title": "t", "stage": "dance"})),
        ("release", json!({"title": "a b", "stage": "render"})),
        ("release", json!({"title": "", "stage": "render"})),
        ("release", json!({"title": long, "stage": "render"})),
        ("release", json!({"title": "t", "stage": "render", "night": "1-12-2026"})),
        ("release", json!({"title": "t", "stage": "render", "night": 7})),
        ("batch", json!({"name": "b"})),
        ("batch", json!({"name": "b", "version": -1})),
        ("batch", json!({"name": "b/c", "version": 1})),
        ("merges", json!({"name": "", "version": 1})),
        ("merges", json!([])),
    ] {
        let e = with(key, wrong.clone()).expect_err("malformed").to_string();
        assert!(e.starts_with(key), "{wrong}: {e}");
    }
    let s =
        with("release", json!({"title": "t", "stage": "rotation", "night": "2026-12-01"})).expect("valid");
    assert!(s.is_rotation() && s.has_coordination_record());
    assert_eq!(s.release.and_then(|r| r.key()).map(|k| k.head_key()), Some("pact/r/t@2026-12-01".into()));
    assert!(with("batch", Value::Null).is_ok_and(|s| !s.has_coordination_record()));
}
