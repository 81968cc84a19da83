//! Releases: rotations wait for all that was accepted before the close, whatever fails.

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
    /// An operator asks a controller, until it answers otherwise than with "later".
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

/// Two titles on one night: rebuilds, renders of which some come too late and some are cancelled, and a rotation each.
pub(super) fn plan(w: &mut World) {
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
            let mut b = body(&format!("wk-7{t}{n:04}"), class, tasks, release);
            if stage == "rotation" && w.rng.random_bool(0.5) {
                b["follows"] = json!([format!("wk-7{t}0000")]);
            }
            // Renders crowd around the close, which comes after three minutes.
            let at = match n {
                0 | 1 => w.rng.random_range(15..60),
                _ if w.rng.random_bool(0.4) => w.rng.random_range(170..190),
                _ => w.rng.random_range(20..170),
            };
            let run = w.rng.random_range(3 * S..40 * S);
            let cancel = stage == "render" && w.rng.random_bool(0.1);
            let job = w.add_described_job(&b, run);
            (job.next, job.cancel_asked) = (at * S, cancel);
        }
    }
}

/// Crashes with restarts within a tenth to half a second, among all other troubles.
pub(super) fn rough(w: &mut World, until: u64) {
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

/// Two titles' night among all troubles: what must be true of it at its end, and how many were refused, done without, and over.
pub(super) fn release_day(seed: u64, mut w: World) -> (World, [usize; 3]) {
    let (mut refused, mut waived, mut last) = (0, 0, 0);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        plan(&mut w);
        rough(&mut w, 260 * S);
        w.run(0, 420 * S);
        // What was cancelled holds its rotation until an operator does without it.
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
                    let r = w.operate(
                        2,
                        &OperatorCommand::Waive {
                            release: selector(title, night),
                            job,
                            reason: "known".into(),
                        },
                    );
                    assert_eq!(r.status, 200, "{}", r.body);
                    waived += 1;
                }
            }
        }
        let end = w.now + 180 * S;
        w.run(0, end);
        for (id, j) in &w.jobs {
            let live = w.record(&format!("job/{id}"));
            if j.refused {
                let there = live.or(w.record(&format!("done/{id}")));
                assert!(there.is_none(), "{id} was refused and is there: {there:?}");
                refused += 1;
                continue;
            }
            let over = j.known == KnownState::Done || (j.known == KnownState::Cancelled && j.cancel_asked);
            assert!(over, "{id} is {:?}: {live:?}", j.known);
            last += usize::from(j.spec.release.is_some());
        }
    }));
    if let Err(panic) = result {
        let states = w.states();
        eprintln!("seed {seed}, at {:.3} s: {:#?} {states:#?}", w.now as f64 / 1e6, w.log);
        std::panic::resume_unwind(panic);
    }
    (w, [refused, waived, last])
}

/// No rotation task before its set is closed, all its members are done on record, and that is on record; nobody who was
/// accepted is left out; whoever was refused is not there; nothing is held for ever. The rules are looked at after each step.
#[test]
fn rotations_wait_for_all_that_was_accepted_whatever_fails() {
    let (mut refused, mut waived, mut last) = (0, 0, 0);
    for seed in seeds().map(|s| s + 5000) {
        let w = World::new(seed, Shape { jobs: 20, calendar: true, ..SMALL });
        let (_, [r, n, l]) = release_day(seed, w);
        (refused, waived, last) = (refused + r, waived + n, last + l);
    }
    assert!(refused > 30 && waived > 10 && last > 500, "{refused} refused, {waived} waived, {last} over");
}

/// A quiet night with an operator: each answer by its reason, the same on every controller; the rotation goes within
/// five seconds of the last render's record.
#[test]
fn a_release_is_closed_shown_and_rotated_on_a_quiet_night() {
    let mut w = World::new(910, Shape { jobs: 0, calendar: true, ..SMALL });
    run_until(&mut w, 30 * S);
    let release = |stage: &str| json!({"title": "shop-a", "stage": stage});
    let submit = |w: &mut World, n: usize, b: &Value| {
        let id = b["uid"].as_str().expect("an id").to_owned();
        w.ask(n, UserRequest::Submit(id, b.to_string()))
    };
    let known = |w: &mut World, n: usize, b: &Value| {
        w.add_described_job(b, 40 * S).next = NEVER;
        let r = submit(w, n, b);
        assert_eq!(r.status, 201, "{}", r.body);
    };
    for n in 0..3 {
        known(&mut w, n, &body(&format!("wk-00000{n}"), "render", 1, release("render")));
    }
    known(&mut w, 0, &body("wk-000003", "rotate", 1, release("rotation")));
    for (class, release, named) in [
        ("render", json!({"title": "shap-a", "stage": "render"}), "shop-*"),
        ("render", json!({"title": "shop-a", "stage": "render", "night": "1970-01-05"}), "begins at"),
        ("render", release("rotation"), "rotate"),
    ] {
        let r = submit(&mut w, 1, &body("wk-000004", class, 1, release));
        assert!(r.status == 422 && r.body.contains(named), "{}", r.body);
    }
    let night = Some("1970-01-01".to_owned());
    let title = "shop-a";
    let close = OperatorCommand::CloseRelease(selector(title, None));
    assert_eq!(w.operate(1, &close).status, 200);
    assert_eq!(w.operate(2, &close).status, 409, "closed already");
    let late = submit(&mut w, 0, &body("wk-000005", "render", 1, release("render")));
    assert!(late.status == 422 && late.body.contains("closed by an operator"), "{}", late.body);
    let again = submit(&mut w, 0, &body("wk-000002", "render", 1, release("render")));
    assert_eq!(again.status, 200, "a repeat gets the state as it is: {}", again.body);
    let next = w.now + 10 * S;
    run_until(&mut w, next);
    let mut shown = BTreeSet::new();
    for n in 0..3 {
        let r = w.operate(n, &OperatorCommand::ShowRelease(selector(title, night.clone())));
        let v: Value = serde_json::from_str(&r.body).expect("JSON");
        assert_eq!((r.status, &v["state"], &v["renders"]), (200, &json!("held"), &json!(3)), "{v}");
        assert!(v["text"].as_str().is_some_and(|t| t.contains("wk-000001 is not finished")), "{v}");
        shown.insert(r.body);
    }
    assert_eq!(shown.len(), 1, "{shown:?}");
    let why = w.ask(1, UserRequest::Why("wk-000003".into()));
    assert!(why.body.contains("is not finished"), "{}", why.body);
    // Opened again by one controller, it takes renders through all of them at once: a refusal must not rest on what
    // one of them read before.
    assert_eq!(w.operate(0, &OperatorCommand::ReopenRelease(selector(title, None))).status, 200);
    let owner = |w: &World, id: &str| w.nodes[0].as_ref().and_then(|n| n.membership.job_leader(id));
    let of = |w: &World, n: usize| {
        (10..).map(|i| format!("wk-{i:06}")).filter(|id| owner(w, id) == Some(n)).take(3).collect::<Vec<_>>()
    };
    let more: Vec<String> = of(&w, 1).into_iter().chain(of(&w, 2)).collect();
    for id in &more {
        let n = owner(&w, id).expect("an owner");
        known(&mut w, n, &body(id, "render", 1, release("render")));
    }
    assert_eq!(w.operate(1, &close).status, 200);
    let unknown = w.operate(0, &OperatorCommand::ShowRelease(selector("shop-b", None)));
    assert!(unknown.status == 404 && unknown.body.contains("nearest is shop-a"), "{}", unknown.body);
    let first = (0..3).map(|n| format!("wk-{n:06}"));
    let renders: Vec<String> = first.chain(more).map(|id| format!("done/{id}")).collect();
    let done = |w: &World| renders.iter().all(|key| w.record(key).is_some());
    while !done(&w) {
        let next = w.now + S / 10;
        run_until(&mut w, next);
        assert!(w.now < 200 * S, "renders take too long: {:#?}", w.states());
    }
    let last = w.now;
    let runs = |w: &World| w.workers.iter().any(|k| k.tasks.iter().any(|t| t.job == "wk-000003"));
    while !runs(&w) {
        let next = w.now + S / 10;
        run_until(&mut w, next);
        assert!(w.now <= last + 5 * S, "the rotation is late");
    }
    let reopen = w.operate(0, &OperatorCommand::ReopenRelease(selector(title, night)));
    assert!(reopen.status == 409 && reopen.body.contains("has started"), "{}", reopen.body);
    run_until(&mut w, 200 * S);
    let end = w.ask(2, UserRequest::Query("wk-000003".into()));
    assert!(end.body.contains("done"), "{}", end.body);
}

/// Without a calendar nothing is switched on: what names a release is refused with the reason.
#[test]
fn a_release_is_refused_where_no_calendar_is_set() {
    let mut w = World::new(911, Shape { jobs: 0, ..SMALL });
    run_until(&mut w, 30 * S);
    let b = body("wk-000001", "render", 1, json!({"title": "shop-a", "stage": "render"}));
    for n in 0..3 {
        let r = w.ask(n, UserRequest::Submit("wk-000001".into(), b.to_string()));
        assert!(r.status == 422 && r.body.contains("no calendar"), "{}", r.body);
        assert_eq!(w.operate(n, &OperatorCommand::ListReleases).status, 404);
    }
}

/// Releases are offered while old controllers are replaced one after the other, and once more while an old one turns up
/// later: they are taken only while all know of them, and an old one starts nothing that is held.
#[test]
fn releases_are_taken_once_no_old_controller_is_there() {
    let mut taken = 0;
    for seed in 5200..5215u64 {
        let mut w = World::new(seed, Shape { jobs: 15, calendar: true, ..SMALL });
        w.limited = [true; 3];
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            plan(&mut w);
            w.run(0, 20 * S);
            let named = |w: &World| {
                w.jobs.values().filter(|j| j.spec.release.is_some() && j.known != KnownState::Unknown).count()
            };
            for i in 0..3 {
                assert_eq!(named(&w), 0, "taken while an old controller is there");
                let n = (seed as usize + i) % 3;
                w.limited[n] = false;
                w.crash(n);
                let next = w.now + w.rng.random_range(8 * S..15 * S);
                w.run(0, next);
            }
            w.run(0, 120 * S);
            taken += named(&w);
            let n = seed as usize % 3;
            w.limited[n] = true;
            w.crash(n);
            w.run(0, 160 * S);
            w.limited[n] = false;
            w.crash(n);
            w.run(0, 560 * S);
            for (id, j) in w.jobs.iter().filter(|(_, j)| !j.spec.is_rotation() && !j.refused) {
                let over =
                    j.known == KnownState::Done || (j.known == KnownState::Cancelled && j.cancel_asked);
                assert!(over, "{id} is {:?}", j.known);
            }
        }));
        if let Err(panic) = result {
            let states = w.states();
            eprintln!("seed {seed}, at {:.3} s: {:#?} {states:#?}", w.now as f64 / 1e6, w.log);
            std::panic::resume_unwind(panic);
        }
    }
    assert!(taken > 100, "{taken} taken");
}
