//! Releases: a rotation waits for all members that were accepted before the close, under all kinds of faults.

use crate::*;
use hazelsaddle::controller::{OperatorCommand, ReleaseSelector};

const TITLES: [&str; 2] = ["shop-a", "shop-b"];

fn body(id: &str, class: &str, tasks: u32, release: Value) -> Value {
    json!({"uid": id, "breed": class, "herd": "t1", "gait": "batch", "rank": "normal", "strides": tasks, "vcpus": 1.0,
        "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false, "scatter": false,
        "borrowed": false, "rideS": 10.0, "restS": 0.0, "unsaddleS": 0.0, "release": release})
}

fn selector(title: &str, night: Option<String>) -> ReleaseSelector {
    ReleaseSelector { title: title.into(), night }
}

impl World {
    /// An operator sends a request to a controller and retries until the answer is not 503.
    fn operate(&mut self, n: usize, request: &OperatorCommand) -> Reply {
        for _ in 0..20 {
            self.serial += 1;
            let ticket = self.serial;
            self.tickets.insert(ticket, Ticket::TestRequest);
            self.schedule(
                1,
                SimEvent::Controller(n, 0, Event::Operator { ticket, request: request.clone() }),
            );
            let end = self.now + 12 * S;
            while self.now < end && !self.answers.contains_key(&ticket) {
                let next = self.now + S / 10;
                self.run(0, next);
            }
            let reply = self.answers.remove(&ticket).expect("an answer within 12 s");
            if reply.status != 503 {
                return reply;
            }
            let next = self.now + S;
            self.run(0, next);
        }
        panic!("{request:?} is never answered");
    }

    fn record(&self, key: &str) -> Option<&Value> {
        self.store.keys.get(key).map(|v| &v.0)
    }
}

/// Adds the jobs of two titles for one night: for each a rebuild, a rotation, and renders, of which some are submitted too late
/// and some are cancelled.
pub(super) fn add_release_jobs(w: &mut World) {
    for (t, title) in TITLES.iter().enumerate() {
        let count = w.rng.random_range(6..14);
        for n in 0..count {
            let (stage, class, tasks) = match n {
                0 => ("rebuild", "prices", 2),
                1 => ("rotation", "rotate", 1),
                _ => ("render", "render", w.rng.random_range(1..4)),
            };
            let mut release = json!({"title": title, "stage": stage});
            if w.rng.random_bool(0.5) {
                release["night"] = "1970-01-01".into();
            }
            let mut job_body = body(&format!("wk-7{t}{n:04}"), class, tasks, release);
            if stage == "rotation" && w.rng.random_bool(0.5) {
                job_body["follows"] = json!([format!("wk-7{t}0000")]);
            }
            // Many renders are submitted just before or after the close, which is at three minutes.
            let at = match n {
                0 | 1 => w.rng.random_range(15..60),
                _ if w.rng.random_bool(0.4) => w.rng.random_range(170..190),
                _ => w.rng.random_range(20..170),
            };
            let run = w.rng.random_range(3 * S..40 * S);
            let cancel = stage == "render" && w.rng.random_bool(0.1);
            let job = w.add_described_job(&job_body, run);
            (job.next, job.cancel_asked) = (at * S, cancel);
        }
    }
}

/// Plays crashes with restarts after a tenth to half a second, and all other kinds of faults, until `until`.
pub(super) fn play_faults(w: &mut World, until: u64) {
    while w.now < until {
        let next = w.now + w.rng.random_range(2 * S..12 * S);
        w.run(0, next);
        match w.rng.random_bool(0.6) {
            true => {
                let n = w.rng.random_range(0..3usize);
                w.crash(n);
                w.restart_at[n] = w.now + w.rng.random_range(S / 10..S / 2);
            }
            false => w.inject_random_fault(),
        }
    }
}

/// Plays the night of two titles under all kinds of faults and checks it at the end. Returns the number of rejected jobs, of
/// waived members and of finished members.
pub(super) fn play_release(seed: u64, mut w: World) -> (World, [usize; 3]) {
    let (mut refused, mut waived, mut finished) = (0, 0, 0);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        add_release_jobs(&mut w);
        play_faults(&mut w, 260 * S);
        w.run(0, 420 * S);
        // A cancelled member holds its rotation until an operator waives it.
        for (t, title) in TITLES.iter().enumerate() {
            let show = OperatorCommand::ShowRelease(selector(title, Some("1970-01-01".into())));
            let shown = w.operate(t, &show);
            assert_eq!(shown.status, 200, "{}", shown.body);
            let shown: Value = serde_json::from_str(&shown.body).expect("JSON");
            for cause in shown["waits_for"].as_array().expect("causes") {
                assert!(["cancelled", "live", "no_render"].iter().any(|c| cause["cause"] == *c), "{shown}");
                let job = cause["job"].as_str().unwrap_or("missing").to_owned();
                if cause["cause"] != "live" {
                    let night = Some("1970-01-01".to_owned());
                    let reply = w.operate(
                        2,
                        &OperatorCommand::Waive {
                            release: selector(title, night),
                            job,
                            reason: "known".into(),
                        },
                    );
                    assert_eq!(reply.status, 200, "{}", reply.body);
                    waived += 1;
                }
            }
        }
        let end = w.now + 180 * S;
        w.run(0, end);
        for (id, j) in &w.jobs {
            let live = w.record(&format!("job/{id}"));
            if j.refused {
                let stored = live.or(w.record(&format!("done/{id}")));
                assert!(stored.is_none(), "{id} was rejected and is stored: {stored:?}");
                refused += 1;
                continue;
            }
            let has_ended =
                j.known == KnownState::Done || (j.known == KnownState::Cancelled && j.cancel_asked);
            assert!(has_ended, "{id} is {:?}: {live:?}", j.known);
            finished += usize::from(j.spec.release.is_some());
        }
    }));
    if let Err(panic) = result {
        let states = w.states();
        eprintln!("seed {seed}, at {:.3} s: {:#?} {states:#?}", w.now as f64 / 1e6, w.log);
        std::panic::resume_unwind(panic);
    }
    (w, [refused, waived, finished])
}

/// No rotation task starts before its release is closed, all its members are stored as done, and the start of the rotation is
/// stored. No accepted member is left out, no rejected job is stored, and nothing is held for ever. The invariants are checked
/// after each step.
#[test]
fn rotations_wait_for_all_accepted_members_under_all_faults() {
    let (mut refused, mut waived, mut finished) = (0, 0, 0);
    for seed in seeds().map(|s| s + 5000) {
        let w = World::new(seed, Shape { jobs: 20, calendar: true, ..SMALL });
        let (_, [run_refused, run_waived, run_finished]) = play_release(seed, w);
        (refused, waived, finished) = (refused + run_refused, waived + run_waived, finished + run_finished);
    }
    assert!(
        refused > 30 && waived > 10 && finished > 500,
        "{refused} rejected, {waived} waived, {finished} finished"
    );
}

/// A night without faults and with an operator. Every controller gives the same answer with its reason, and the rotation starts
/// within five seconds after the last render is stored as done.
#[test]
fn a_release_is_closed_shown_and_rotated_without_faults() {
    let mut w = World::new(910, Shape { jobs: 0, calendar: true, ..SMALL });
    run_until(&mut w, 30 * S);
    let release = |stage: &str| json!({"title": "shop-a", "stage": stage});
    let submit = |w: &mut World, n: usize, job_body: &Value| {
        let id = job_body["uid"].as_str().expect("an id").to_owned();
        w.ask(n, UserRequest::Submit(id, job_body.to_string()))
    };
    let add_accepted = |w: &mut World, n: usize, job_body: &Value| {
        w.add_described_job(job_body, 40 * S).next = NEVER;
        let reply = submit(w, n, job_body);
        assert_eq!(reply.status, 201, "{}", reply.body);
    };
    for n in 0..3 {
        add_accepted(&mut w, n, &body(&format!("wk-00000{n}"), "render", 1, release("render")));
    }
    add_accepted(&mut w, 0, &body("wk-000003", "rotate", 1, release("rotation")));
    for (class, release, expected_text) in [
        ("render", json!({"title": "shap-a", "stage": "render"}), "shop-*"),
        ("render", json!({"title": "shop-a", "stage": "render", "night": "1970-01-05"}), "begins at"),
        ("render", release("rotation"), "rotate"),
    ] {
        let reply = submit(&mut w, 1, &body("wk-000004", class, 1, release));
        assert!(reply.status == 422 && reply.body.contains(expected_text), "{}", reply.body);
    }
    let night = Some("1970-01-01".to_owned());
    let title = "shop-a";
    let close = OperatorCommand::CloseRelease(selector(title, None));
    assert_eq!(w.operate(1, &close).status, 200);
    assert_eq!(w.operate(2, &close).status, 409, "closed already");
    let late_reply = submit(&mut w, 0, &body("wk-000005", "render", 1, release("render")));
    assert!(
        late_reply.status == 422 && late_reply.body.contains("closed by an operator"),
        "{}",
        late_reply.body
    );
    let repeated_reply = submit(&mut w, 0, &body("wk-000002", "render", 1, release("render")));
    assert_eq!(
        repeated_reply.status, 200,
        "a repeated submission gets the current state: {}",
        repeated_reply.body
    );
    let next = w.now + 10 * S;
    run_until(&mut w, next);
    let mut shown = BTreeSet::new();
    for n in 0..3 {
        let reply = w.operate(n, &OperatorCommand::ShowRelease(selector(title, night.clone())));
        let v: Value = serde_json::from_str(&reply.body).expect("JSON");
        assert_eq!((reply.status, &v["state"], &v["renders"]), (200, &json!("held"), &json!(3)), "{v}");
        assert!(v["text"].as_str().is_some_and(|t| t.contains("wk-000001 is not finished")), "{v}");
        shown.insert(reply.body);
    }
    assert_eq!(shown.len(), 1, "{shown:?}");
    let why = w.ask(1, UserRequest::Why("wk-000003".into()));
    assert!(why.body.contains("is not finished"), "{}", why.body);
    // A release that one controller reopens accepts renders through all controllers at once: a rejection must not be
    // based on a stale read.
    assert_eq!(w.operate(0, &OperatorCommand::ReopenRelease(selector(title, None))).status, 200);
    let job_leader = |w: &World, id: &str| w.nodes[0].as_ref().and_then(|n| n.membership.job_leader(id));
    let ids_led_by = |w: &World, n: usize| {
        (10..)
            .map(|i| format!("wk-{i:06}"))
            .filter(|id| job_leader(w, id) == Some(n))
            .take(3)
            .collect::<Vec<_>>()
    };
    let reopened_renders: Vec<String> = ids_led_by(&w, 1).into_iter().chain(ids_led_by(&w, 2)).collect();
    for id in &reopened_renders {
        let n = job_leader(&w, id).expect("a job leader");
        add_accepted(&mut w, n, &body(id, "render", 1, release("render")));
    }
    assert_eq!(w.operate(1, &close).status, 200);
    let unknown_reply = w.operate(0, &OperatorCommand::ShowRelease(selector("shop-b", None)));
    assert!(
        unknown_reply.status == 404 && unknown_reply.body.contains("nearest is shop-a"),
        "{}",
        unknown_reply.body
    );
    let first = (0..3).map(|n| format!("wk-{n:06}"));
    let renders: Vec<String> = first.chain(reopened_renders).map(|id| format!("done/{id}")).collect();
    let are_renders_stored = |w: &World| renders.iter().all(|key| w.record(key).is_some());
    while !are_renders_stored(&w) {
        let next = w.now + S / 10;
        run_until(&mut w, next);
        assert!(w.now < 200 * S, "renders take too long: {:#?}", w.states());
    }
    let last_stored_at = w.now;
    let is_rotation_started =
        |w: &World| w.workers.iter().any(|k| k.tasks.iter().any(|t| t.job == "wk-000003"));
    while !is_rotation_started(&w) {
        let next = w.now + S / 10;
        run_until(&mut w, next);
        assert!(w.now <= last_stored_at + 5 * S, "the rotation is late");
    }
    let reopen_reply = w.operate(0, &OperatorCommand::ReopenRelease(selector(title, night)));
    assert!(reopen_reply.status == 409 && reopen_reply.body.contains("has started"), "{}", reopen_reply.body);
    run_until(&mut w, 200 * S);
    let end = w.ask(2, UserRequest::Query("wk-000003".into()));
    assert!(end.body.contains("done"), "{}", end.body);
}

/// Without a calendar releases are disabled: a submission that names a release is rejected with the reason.
#[test]
fn a_release_is_rejected_where_no_calendar_is_set() {
    let mut w = World::new(911, Shape { jobs: 0, ..SMALL });
    run_until(&mut w, 30 * S);
    let job_body = body("wk-000001", "render", 1, json!({"title": "shop-a", "stage": "render"}));
    for n in 0..3 {
        let reply = w.ask(n, UserRequest::Submit("wk-000001".into(), job_body.to_string()));
        assert!(reply.status == 422 && reply.body.contains("no calendar"), "{}", reply.body);
        assert_eq!(w.operate(n, &OperatorCommand::ListReleases).status, 404);
    }
}

/// Jobs of releases are submitted while old controllers are replaced one after the other, and again while an old one joins
/// later. They are accepted only while all controllers support releases, and an old controller starts no held job.
#[test]
fn releases_are_accepted_once_no_old_controller_runs() {
    let mut accepted = 0;
    for seed in 5200..5215u64 {
        let mut w = World::new(seed, Shape { jobs: 15, calendar: true, ..SMALL });
        w.limited = [true; 3];
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            add_release_jobs(&mut w);
            w.run(0, 20 * S);
            let accepted_members = |w: &World| {
                w.jobs.values().filter(|j| j.spec.release.is_some() && j.known != KnownState::Unknown).count()
            };
            for i in 0..3 {
                assert_eq!(accepted_members(&w), 0, "accepted while an old controller runs");
                let n = (seed as usize + i) % 3;
                w.limited[n] = false;
                w.crash(n);
                let next = w.now + w.rng.random_range(8 * S..15 * S);
                w.run(0, next);
            }
            w.run(0, 120 * S);
            accepted += accepted_members(&w);
            let n = seed as usize % 3;
            w.limited[n] = true;
            w.crash(n);
            w.run(0, 160 * S);
            w.limited[n] = false;
            w.crash(n);
            w.run(0, 560 * S);
            for (id, j) in w.jobs.iter().filter(|(_, j)| !j.spec.is_rotation() && !j.refused) {
                let has_ended =
                    j.known == KnownState::Done || (j.known == KnownState::Cancelled && j.cancel_asked);
                assert!(has_ended, "{id} is {:?}", j.known);
            }
        }));
        if let Err(panic) = result {
            let states = w.states();
            eprintln!("seed {seed}, at {:.3} s: {:#?} {states:#?}", w.now as f64 / 1e6, w.log);
            std::panic::resume_unwind(panic);
        }
    }
    assert!(accepted > 100, "{accepted} accepted");
}
