//! Checks of the register of answers itself: it fails on inconsistent answers only.

use crate::*;

/// The register reports each answer that is older than what was known when the request was sent, and no other.
#[test]
fn the_register_distinguishes_stale_answers_from_late_ones() {
    let job = |status: u16, stance: &str| {
        Reply::json(status, &json!({"uid": "wk-000001", "stance": stance, "done": 0, "running": 0}))
    };
    let none = Reply::error(404, "no such job");
    let query = || UserRequest::Query("wk-000001".into());
    // The first answer, the second one, which is requested before or after the first arrives, and the violated rule.
    let cases = [
        (job(201, "pending"), none.clone(), "forgotten"),
        (job(200, "running"), Reply::error(400, "strides: is missing"), "forgotten"),
        (job(201, "pending"), Reply::error(422, "never"), "forgotten"),
        (job(200, "aborted"), job(200, "pending"), "went_back"),
        (job(200, "aborted"), job(201, "pending"), "went_back"),
        (job(200, "aborted"), none, "forgotten"),
    ];
    for (known, then, rule) in cases {
        for late in [false, true] {
            let mut w = World::new(1, Shape { jobs: 0, ..SMALL });
            let body = json!({"uid": "wk-000001", "breed": "x", "herd": "t1", "gait": "batch", "rank": "idle",
                "strides": 1, "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0,
                "together": false, "scatter": false, "borrowed": false, "rideS": 1.0, "restS": 0.0,
                "unsaddleS": 0.0});
            w.record_request(1, 0, &UserRequest::Submit("wk-000001".into(), body.to_string()));
            w.record_request(2, 1, &UserRequest::Cancel("wk-000001".into()));
            if late {
                w.record_request(4, 2, &query());
            }
            w.record_request(3, 1, &query());
            w.check_answer(3, &known);
            if !late {
                w.record_request(4, 2, &query());
            }
            let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| w.check_answer(4, &then)));
            match result {
                Ok(()) => assert!(late, "{known:?}, then {then:?}"),
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().expect("a message");
                    assert!(!late && text.contains(rule), "{text}");
                }
            }
        }
    }
}

/// Two different outcomes of one job are a fault, whenever they were requested.
#[test]
#[should_panic(expected = "two ends")]
fn the_register_accepts_one_outcome_only() {
    let mut w = World::new(1, Shape { jobs: 0, ..SMALL });
    let body = json!({"uid": "wk-000001", "breed": "x", "herd": "t1", "gait": "batch", "rank": "idle",
        "strides": 1, "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false,
        "scatter": false, "borrowed": false, "rideS": 1.0, "restS": 0.0, "unsaddleS": 0.0});
    w.record_request(1, 0, &UserRequest::Submit("wk-000001".into(), body.to_string()));
    w.record_request(2, 1, &UserRequest::Cancel("wk-000001".into()));
    w.record_request(3, 2, &UserRequest::Query("wk-000001".into()));
    w.check_answer(2, &Reply::json(200, &json!({"uid": "wk-000001", "stance": "aborted"})));
    w.check_answer(
        3,
        &Reply::json(200, &json!({"uid": "wk-000001", "stance": "done", "done": 1, "running": 0})),
    );
}
