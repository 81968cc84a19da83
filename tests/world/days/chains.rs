//! Jobs that follow others.

use crate::*;

/// Jobs that follow others, in chains, diamonds and fans, of several teams and owners, with cancellations
/// at every level, under all troubles, while the state service's limits fall at some moment.
#[test]
fn jobs_that_follow_others_wait_and_end_with_them_whatever_fails() {
    let mut cascades = 0;
    for seed in seeds().map(|s| s + 1000) {
        let mut w = World::new(seed, CHAINED);
        w.limits_fall = (30 + seed % 200) * S;
        let mut w = play(seed, w, 250 * S, 250 * S, 600 * S);
        let states = w.states();
        assert!(
            w.unfinished_jobs().is_empty(),
            "seed {seed}: {:?} {:#?} {states:#?}",
            w.unfinished_jobs(),
            w.log
        );
        cascades += w.jobs.values().filter(|j| j.known == KnownState::Cancelled && !j.cancel_asked).count();
    }
    assert!(cascades > 100, "{cascades} jobs ended with one that they needed");
}

/// What a submission names is looked up before it is taken: each answer by its reason, on every controller,
/// and never out of ignorance.
#[test]
fn a_submission_that_names_what_it_can_not_follow_is_told_why() {
    let mut w = World::new(900, Shape { jobs: 0, ..SMALL });
    run_until(&mut w, 30 * S);
    let body = |id: &str, kind: &str, follows: Value| {
        json!({"uid": id, "breed": "x", "herd": "t1", "gait": kind, "rank": "idle", "strides": 1, "vcpus": 1.0,
            "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false, "scatter": false,
            "borrowed": false, "rideS": 10.0, "restS": 0.0, "unsaddleS": 0.0, "follows": follows})
    };
    // Workers look jobs up by their ids, as they would with their users' upload.
    let known = |w: &mut World, id: &str, kind: &str, follows: Value| {
        w.add_described_job(&body(id, kind, follows), 5 * S).next = u64::MAX;
    };
    let submit = |w: &mut World, n: usize, id: &str, kind: &str, follows: Value| {
        w.ask(n, UserRequest::Submit(id.into(), body(id, kind, follows).to_string()))
    };
    for (id, kind) in [("wk-000001", "batch"), ("wk-000002", "service")] {
        known(&mut w, id, kind, Value::Null);
        assert_eq!(submit(&mut w, 0, id, kind, Value::Null).status, 201);
    }
    for n in 0..3 {
        let mut told = |id: &str, follows: Value| submit(&mut w, n, id, "batch", follows);
        let unknown = told("wk-000010", json!(["wk-000001", "wk-777777"]));
        assert_eq!(unknown.status, 422);
        assert!(unknown.body.contains("wk-777777"), "{}", unknown.body);
        let service = told("wk-000011", json!(["wk-000002"]));
        assert!(service.status == 422 && service.body.contains("wk-000002"), "{}", service.body);
        let itself = told("wk-000012", json!(["wk-000012"]));
        assert!(itself.status == 422 && itself.body.contains("wk-000012"), "{}", itself.body);
        let many: Vec<String> = (0..251).map(|i| format!("wk-{i}")).collect();
        let many = told("wk-000013", json!(many));
        assert!(many.status == 422 && many.body.contains("250"), "{}", many.body);
    }
    // The state service is away: nobody can say whether a job was ever accepted, or take another.
    w.outage_until = w.now + 3 * S;
    let away = submit(&mut w, 1, "wk-000014", "batch", json!(["wk-777777"]));
    assert!(away.status == 503 && away.retry_after.is_some(), "{}", away.body);
    run_until(&mut w, 60 * S);
    // A job that is over long since will do; naming it twice counts once.
    let done = w.ask(0, UserRequest::Query("wk-000001".into()));
    assert!(done.body.contains("done"), "{}", done.body);
    known(&mut w, "wk-000015", "batch", json!(["wk-000001", "wk-000001"]));
    let twice = submit(&mut w, 2, "wk-000015", "batch", json!(["wk-000001", "wk-000001"]));
    assert_eq!(twice.status, 201, "{}", twice.body);
    // A retry gets the state as it is, also when the list can't be looked up any more.
    run_until(&mut w, 90 * S);
    w.outage_until = w.now + 3 * S;
    let again = submit(&mut w, 2, "wk-000015", "batch", json!(["wk-000001", "wk-777777"]));
    assert_eq!(again.status, 200, "{}", again.body);
}

/// A long list is looked up within the budget of requests: refused at once, and each retry gets further.
#[test]
fn a_long_list_of_prerequisites_is_looked_up_over_some_retries() {
    let mut w = World::new(901, Shape { jobs: 0, ..SMALL });
    run_until(&mut w, 30 * S);
    let ids: Vec<String> = (0..200).map(|i| format!("wk-5{i:05}")).collect();
    for id in &ids {
        w.store.keys.insert(format!("done/{id}"), (json!({"end": "done", "done": 1}), 1, None));
    }
    let body = json!({"uid": "wk-000001", "breed": "x", "herd": "t1", "gait": "batch", "rank": "idle", "strides": 1,
        "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false, "scatter": false,
        "borrowed": false, "rideS": 10.0, "restS": 0.0, "unsaddleS": 0.0, "follows": ids})
    .to_string();
    let owner = w.nodes[0].as_ref().and_then(|n| n.membership.job_leader("wk-000001")).expect("an owner");
    let mut refused = 0;
    loop {
        let r = w.ask(owner, UserRequest::Submit("wk-000001".into(), body.clone()));
        if r.status == 201 {
            break;
        }
        assert!(r.status == 503 && r.retry_after == Some(1), "{}", r.body);
        refused += 1;
        let then = w.now + S;
        run_until(&mut w, then);
    }
    assert!((2..20).contains(&refused), "{refused} refusals");
}
