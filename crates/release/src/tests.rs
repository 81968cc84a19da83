use crate::calendar::{Calendar, Calendars, EARLY_JOIN_US, Stage, date_of};
use crate::join::{Refusal, ReleaseJoin, decide_join, resolve_night};
use crate::priority_inheritance::{InheritedPriority, inherited_by_members};
use crate::readiness::{Cause, MemberState, Readiness, assess};
use crate::release_record::{self, ChangeError, ClosedBy, MISSING, Member, Release};
use crate::release_ref::{ReleaseRef, release_key};
use crate::status::ReleaseStatus;
use hazelsaddle_coordination::census::{self, CensusJobState};
use hazelsaddle_coordination::record::{CoordinationRecord, Phase, Unreadable};
use hazelsaddle_coordination::record_cache::CachedRecord;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const HOUR: u64 = 3_600_000_000;
/// 2026-12-01 20:00 UTC.
const BEGINS: u64 = 1_796_155_200_000_000;

fn calendars(renders_due: &str) -> Calendars {
    let pairs = [
        ("title", "boldog-*"),
        ("zone", "UTC"),
        ("night_begins", "20:00"),
        ("renders_due", renders_due),
        ("rotation_due", "06:00"),
        ("weekdays", "tue, wed"),
        ("render", "otbasy-baila"),
    ];
    Calendars(vec![Calendar::parse("nightly", pairs).expect("valid")])
}
fn says(stage: Stage, night: &str) -> ReleaseRef {
    let night = (!night.is_empty()).then(|| night.to_owned());
    ReleaseRef { title: "boldog-1".into(), night, stage, expects: None }
}
fn opened() -> CoordinationRecord {
    let c = calendars("05:00");
    let n = c.0[0].night(date_of("2026-12-01").expect("a date")).expect("a night");
    Release::open("boldog-1", &n, "nightly", BEGINS).to_record()
}
fn member(id: &str, stage: Stage, expects: Option<u64>) -> Member {
    Member { id: id.into(), stage, expects }
}
/// A set closed with a rebuild `a` that declares two renders, and these renders.
fn closed(renders: &[&str]) -> (CoordinationRecord, Vec<Member>) {
    let found = |id: &str, says: Value| {
        (id.to_owned(), census::Member { state: CensusJobState::Live, declaration: says })
    };
    let mut all: BTreeMap<String, census::Member> =
        [found("a", json!({"title": "boldog-1", "stage": "rebuild", "expects": 2}))].into();
    all.extend(renders.iter().map(|id| found(id, json!({"title": "boldog-1", "stage": "render"}))));
    all.extend([found("z", json!({"title": "boldog-1", "stage": "rotation"}))]);
    let key = release_key("boldog-1", "2026-12-01").expect("a key");
    let closing = release_record::close(&opened()).expect("open");
    let (pages, head) = release_record::finish_closing(&key, &closing, &all, 4096).expect("closing");
    let members = release_record::read_member_pages(pages.iter().map(|p| &p.1)).expect("readable");
    (head, members)
}
fn causes(
    record: &CoordinationRecord,
    members: &[Member],
    fact: impl Fn(&str) -> MemberState,
) -> Vec<String> {
    match assess(&CachedRecord::Present(record.clone()), Some(members), fact) {
        Readiness::Held { why } => why.iter().map(ToString::to_string).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn who_may_join_and_why_not() {
    let c = calendars("05:00");
    let ask = |held: &CachedRecord, s: &ReleaseRef, class: &str, now: u64| match decide_join(
        held, &c, s, class, now,
    ) {
        ReleaseJoin::Join => "now".to_owned(),
        ReleaseJoin::OpenFirst(r) => format!("open {}", r.version),
        ReleaseJoin::Retry(why) => format!("later: {why}"),
        ReleaseJoin::Refused(why) => why.to_string(),
    };
    let (render, rotation) = (says(Stage::Render, "2026-12-01"), says(Stage::Rotation, "2026-12-01"));
    let class = "otbasy-baila";
    let none = &CachedRecord::Absent;
    assert!(ask(&CachedRecord::NotRead, &render, class, BEGINS).starts_with("later"));
    assert!(ask(&CachedRecord::Unreadable(Unreadable::Newer(9)), &render, class, BEGINS).contains("form 9"));
    let mut damaged = opened();
    damaged.body = json!({"title": 7});
    assert!(
        ask(&CachedRecord::Present(damaged), &rotation, class, BEGINS).starts_with("later"),
        "never guessed"
    );
    assert_eq!(ask(none, &render, class, BEGINS - EARLY_JOIN_US), "open 1");
    assert_eq!(
        ask(none, &render, class, BEGINS - EARLY_JOIN_US - 1),
        "the night 2026-12-01 of boldog-1 begins at 2026-12-01 20:00 UTC"
    );
    let over = "the night 2026-12-01 of boldog-1 is over";
    assert_eq!(ask(none, &render, class, BEGINS + 9 * HOUR), over);
    assert_eq!(ask(none, &rotation, class, BEGINS + 9 * HOUR), "open 1", "it waits, and says for what");
    assert_eq!(ask(none, &rotation, class, BEGINS + 24 * HOUR), over, "the next has begun");
    assert_eq!(
        ask(none, &says(Stage::Render, "2026-12-03"), class, BEGINS),
        "calendar nightly has no night on 2026-12-03"
    );
    assert_eq!(
        ask(none, &render, "aimak-merge", BEGINS),
        "class aimak-merge takes no part as render; calendar nightly has otbasy-baila for that"
    );
    let mut other = render.clone();
    other.title = "bldog-1".into();
    assert_eq!(
        ask(none, &other, class, BEGINS),
        "no calendar has the title bldog-1; the nearest pattern is boldog-*"
    );

    let open = opened();
    // The record decides, not the clock.
    assert_eq!(ask(&CachedRecord::Present(open.clone()), &render, class, BEGINS + 20 * HOUR), "now");
    let closing = release_record::begin_closing(&open, ClosedBy::Calendar).expect("open");
    assert_eq!(closing.phase, Phase::Closing);
    assert!(
        ask(&CachedRecord::Present(closing.clone()), &render, class, BEGINS)
            .starts_with("the release of boldog-1 on 2026-12-01 was closed by the calendar")
    );
    assert_eq!(ask(&CachedRecord::Present(closing), &rotation, class, BEGINS), "now");
}

#[test]
fn a_night_under_way_keeps_its_times_when_the_calendar_changes() {
    let earlier = calendars("04:00");
    let record = opened();
    let body = Release::read(&record).expect("readable");
    let at = |sets: &[(Phase, &Release)], stage, now| {
        resolve_night(&earlier, sets.iter().copied(), &says(stage, ""), now)
    };
    let half_past_four = BEGINS + 8 * HOUR + HOUR / 2;
    let none = at(&[], Stage::Render, half_past_four).expect_err("by the new calendar they were due");
    assert_eq!(none.to_string(), "no night of boldog-1 is open now; the next begins at 2026-12-02 20:00 UTC");
    assert_eq!(at(&[(Phase::Open, &body)], Stage::Render, half_past_four).as_deref(), Ok("2026-12-01"));
    assert!(at(&[(Phase::Closed, &body)], Stage::Render, half_past_four).is_err());
    assert_eq!(at(&[(Phase::Closed, &body)], Stage::Rotation, half_past_four).as_deref(), Ok("2026-12-01"));
    assert!(body.close_reason([], half_past_four).is_none(), "five was the time that it was opened with");
    assert_eq!(body.close_reason([], BEGINS + 9 * HOUR), Some(ClosedBy::Calendar));
    // The next night goes before an older set that was left open, and a calendar that is gone leaves its sets.
    let mut left = body.clone();
    left.renders_us = u64::MAX;
    assert_eq!(at(&[(Phase::Open, &left)], Stage::Render, BEGINS + 25 * HOUR).as_deref(), Ok("2026-12-02"));
    let gone = Calendars::default();
    assert_eq!(
        resolve_night(&gone, [(Phase::Open, &body)], &says(Stage::Render, ""), BEGINS).as_deref(),
        Ok("2026-12-01")
    );
    assert!(matches!(resolve_night(&gone, [], &says(Stage::Render, ""), BEGINS), Err(Refusal::Title { .. })));
}

#[test]
fn closed_by_the_count_of_renders_that_are_not_cancelled() {
    let body = Release::read(&opened()).expect("readable");
    let two = [
        member("a", Stage::Rebuild, Some(2)),
        member("b", Stage::Render, None),
        member("c", Stage::Render, None),
    ];
    assert_eq!(body.close_reason(&two[..2], BEGINS), None);
    assert_eq!(body.close_reason(&two, BEGINS), Some(ClosedBy::Count));
    assert_eq!(body.close_reason(&two[1..], BEGINS), None, "nothing was declared");
}

#[test]
fn a_rotation_waits_for_each_cause_by_name() {
    let all = |f: MemberState| move |_: &str| f;
    for (held, cause) in [
        (CachedRecord::NotRead, Cause::Unread),
        (CachedRecord::Absent, Cause::NotOpened),
        (
            CachedRecord::Unreadable(Unreadable::Newer(2)),
            Cause::Unreadable { why: Unreadable::Newer(2).to_string() },
        ),
    ] {
        assert_eq!(assess(&held, Some(&[]), all(MemberState::Done)), Readiness::Held { why: vec![cause] });
    }
    let (head, members) = closed(&["b", "c"]);
    assert_eq!(members.len(), 3, "a rotation is no member");
    assert_eq!(
        assess(&CachedRecord::Present(head.clone()), None, all(MemberState::Done)),
        Readiness::Held { why: vec![Cause::Pages] }
    );
    let facts = |id: &str| match id {
        "a" => MemberState::Done,
        "b" => MemberState::Cancelled,
        _ => MemberState::Suspected,
    };
    let words = causes(&head, &members, facts);
    assert_eq!(
        words,
        [
            "render b was cancelled",
            "render c failed on several machines",
            "1 of 2 declared renders are missing (waive missing to do without)"
        ]
    );
    // Doing without the cancelled one doesn't say that it came: it may have been sent anew, for another.
    let waived = release_record::waive(&head, &members, "b", "broken prices").expect("a member");
    assert_eq!(
        causes(&waived, &members, |id| if id == "b" { MemberState::Cancelled } else { MemberState::Done })
            .len(),
        1
    );
    let waived = release_record::waive(&waived, &members, MISSING, "one is enough").expect("closed");
    let Readiness::Ready(next) = assess(&CachedRecord::Present(waived.clone()), Some(&members), |id| {
        if id == "b" { MemberState::Cancelled } else { MemberState::Done }
    }) else {
        panic!("nothing is left to wait for")
    };
    // On record first; and from then on whatever else is known.
    assert_eq!(
        assess(&CachedRecord::Present(next.clone()), None, all(MemberState::Unread)),
        Readiness::MayStart
    );
    assert_eq!(
        release_record::reopen(&next),
        Err(ChangeError::Rotated("boldog-1".into(), "2026-12-01".into()))
    );
    assert!(matches!(release_record::waive(&next, &members, "c", "late"), Err(ChangeError::Rotated(..))));

    let (none, members) = closed(&[]);
    let without = release_record::waive(&none, &members, MISSING, "prices alone").expect("closed");
    assert!(matches!(
        assess(&CachedRecord::Present(without), Some(&members), all(MemberState::Done)),
        Readiness::Ready(_)
    ));
    let rebuild = [member("a", Stage::Rebuild, None)];
    assert_eq!(
        causes(&none, &rebuild, all(MemberState::Done)),
        ["no render is part of it (waive missing to do without)"]
    );
}

#[test]
fn changes_that_are_not_allowed() {
    let open = opened();
    let k = release_key("boldog-1", "2026-12-01").expect("a key");
    assert_eq!(
        release_record::finish_closing(&k, &open, &BTreeMap::new(), 4096),
        Err(ChangeError::Already(Phase::Open)),
        "others may still join"
    );
    assert_eq!(release_record::mark_rotated(&open), Err(ChangeError::Already(Phase::Open)));
    assert_eq!(
        release_record::waive(&open, &[], MISSING, "why not"),
        Err(ChangeError::CountInProgress),
        "it would cover what goes missing later"
    );
    assert_eq!(
        release_record::reopen(&release_record::close(&open).expect("open")),
        Err(ChangeError::CountInProgress)
    );
    let (head, members) = closed(&["b"]);
    assert_eq!(release_record::close(&head), Err(ChangeError::Already(Phase::Closed)));
    for why in ["", "  ", "a\nb", &"x".repeat(121)] {
        assert_eq!(release_record::waive(&head, &members, "b", why), Err(ChangeError::InvalidReason));
    }
    let e = release_record::waive(&head, &members, "wk-b", "so").expect_err("no member");
    assert_eq!(e.to_string(), "wk-b is no render or rebuild of this set; the nearest is b");
    let once = release_record::waive(&head, &members, "b", "first").expect("a member");
    let twice = release_record::waive(&once, &members, "b", "second").expect("said again");
    assert_eq!(Release::read(&twice).expect("readable").waived["b"], "first");
    let many: Vec<Member> = (0..20).map(|n| member(&format!("r{n:02}"), Stage::Render, None)).collect();
    let last = many.iter().try_fold(head, |r, m| release_record::waive(&r, &many, &m.id, &"x".repeat(120)));
    assert_eq!(last, Err(ChangeError::TooManyWaivers), "the head must fit into a value");
}

#[test]
fn a_reopened_set_waits_for_an_operator_and_shows_what_was_waived() {
    let (head, members) = closed(&["b"]);
    let waived = release_record::waive(&head, &members, MISSING, "one is enough").expect("closed");
    let again = release_record::reopen(&waived).expect("not rotated");
    let body = Release::read(&again).expect("readable");
    assert_eq!((again.version, again.phase, again.pages), (2, Phase::Open, 0));
    assert_eq!(body.close_reason(&members, u64::MAX), None);
    assert_eq!(
        body.waived.keys().collect::<Vec<_>>(),
        ["missing/1"],
        "it covers nothing that is missing now"
    );
    assert!(release_record::reopen(&again).is_err());
    let mut rest = again.clone();
    rest.body["newer"] = json!({"x": 1});
    let kept = release_record::close(&rest).expect("open");
    assert_eq!(kept.body["newer"], json!({"x": 1}), "what other versions have put there stays");
}

#[test]
fn what_is_shown_follows_from_records_and_the_time() {
    let (head, members) = closed(&["b", "c"]);
    let head = release_record::waive(&head, &members, "c", "shop 7 is shut").expect("a member");
    let fact = |id: &str| if id == "a" { MemberState::Done } else { MemberState::Live };
    let show = |now| {
        ReleaseStatus::from_record(
            ("boldog-1", "2026-12-01"),
            &CachedRecord::Present(head.clone()),
            Some(&members),
            fact,
            now,
        )
    };
    assert_eq!(
        show(BEGINS + 11 * HOUR).to_string(),
        "boldog-1 2026-12-01: held, late\n  calendar nightly: began 2026-12-01T20:00:00Z, renders due 2026-12-02T05:00:00Z, rotation due 2026-12-02T06:00:00Z\n  \
         renders 2, done 0, 2 declared, closed by an operator\n  waits: render b is not finished\n  waived: c (shop 7 is shut)\n"
    );
    let v = serde_json::to_value(show(BEGINS)).expect("json");
    assert_eq!((&v["late"], &v["closed_by"]), (&json!(false), &json!("operator")));
    let waits = json!(
        [{"cause": "live", "job": "b", "stage": "render", "text": "render b is not finished"}]
    );
    assert_eq!(v["waits_for"], waits);
    let gone =
        ReleaseStatus::from_record(("boldog-1", "2026-12-01"), &CachedRecord::Absent, None, fact, BEGINS);
    assert_eq!((gone.state, gone.waits_for[0].text.as_str()), ("absent", "no render has joined yet"));
}

#[test]
fn renders_of_the_title_due_first_go_first() {
    let body = Release::read(&opened()).expect("readable");
    let mut later = body.clone();
    later.renders_us += HOUR;
    let rotation = InheritedPriority { urgency: 13, due_us: Some(BEGINS + 30 * HOUR) };
    let (first, second) = (
        inherited_by_members(&body, [rotation]).expect("held"),
        inherited_by_members(&later, [rotation]).expect("held"),
    );
    assert_eq!(first, InheritedPriority { urgency: 13, due_us: Some(body.renders_us) });
    assert!(first.order() < second.order());
    // Urgency goes before time; a job keeps what it has itself where that is more.
    assert!(second.order() < inherited_by_members(&body, []).expect("held").order());
    let own = InheritedPriority { urgency: 20, due_us: Some(1) };
    assert_eq!(own.and(first), own);
    assert_eq!(first.and(InheritedPriority::default()), first);
    let mut rotated = body;
    rotated.rotated = true;
    assert_eq!(inherited_by_members(&rotated, [rotation]), None);
}
