//! Tests of the crate's modules together, on a release `boldog-1` in the night of 2026-12-01.

use crate::calendar::{Calendar, Calendars, EARLY_JOIN_US, Stage, parse_night};
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
fn release_ref(stage: Stage, night: &str) -> ReleaseRef {
    let night = (!night.is_empty()).then(|| night.to_owned());
    ReleaseRef { title: "boldog-1".into(), night, stage, expects: None }
}
fn open_record() -> CoordinationRecord {
    let calendars = calendars("05:00");
    let night = calendars.0[0].night_on(parse_night("2026-12-01").expect("a date")).expect("a night");
    Release::open("boldog-1", &night, "nightly", BEGINS).to_record()
}
fn member(id: &str, stage: Stage, expects: Option<u64>) -> Member {
    Member { id: id.into(), stage, expects }
}
/// A closed release with the rebuild `a`, which declares two renders, with these renders and with the rotation `z`.
fn closed_release(renders: &[&str]) -> (CoordinationRecord, Vec<Member>) {
    let found = |id: &str, declaration: Value| {
        (id.to_owned(), census::Member { state: CensusJobState::Live, declaration })
    };
    let mut jobs: BTreeMap<String, census::Member> =
        [found("a", json!({"title": "boldog-1", "stage": "rebuild", "expects": 2}))].into();
    jobs.extend(renders.iter().map(|id| found(id, json!({"title": "boldog-1", "stage": "render"}))));
    jobs.extend([found("z", json!({"title": "boldog-1", "stage": "rotation"}))]);
    let key = release_key("boldog-1", "2026-12-01").expect("a key");
    let closing = release_record::close(&open_record()).expect("open");
    let (pages, head) = release_record::finish_closing(&key, &closing, &jobs, 4096).expect("closing");
    let members = release_record::read_member_pages(pages.iter().map(|page| &page.1)).expect("readable");
    (head, members)
}
/// The texts of the causes for which the rotation is held.
fn causes(
    record: &CoordinationRecord,
    members: &[Member],
    state: impl Fn(&str) -> MemberState,
) -> Vec<String> {
    match assess(&CachedRecord::Present(record.clone()), Some(members), state) {
        Readiness::Held { causes } => causes.iter().map(ToString::to_string).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn join_decisions_and_their_reasons() {
    let calendars = calendars("05:00");
    let decide = |record: &CachedRecord, release_ref: &ReleaseRef, class: &str, now: u64| match decide_join(
        record,
        &calendars,
        release_ref,
        class,
        now,
    ) {
        ReleaseJoin::Join => "join".to_owned(),
        ReleaseJoin::OpenFirst(record) => format!("open {}", record.version),
        ReleaseJoin::Retry(reason) => format!("retry: {reason}"),
        ReleaseJoin::Refused(refusal) => refusal.to_string(),
    };
    let (render, rotation) =
        (release_ref(Stage::Render, "2026-12-01"), release_ref(Stage::Rotation, "2026-12-01"));
    let class = "otbasy-baila";
    let no_record = &CachedRecord::Absent;
    assert!(decide(&CachedRecord::NotRead, &render, class, BEGINS).starts_with("retry"));
    assert!(
        decide(&CachedRecord::Unreadable(Unreadable::Newer(9)), &render, class, BEGINS).contains("form 9")
    );
    let mut damaged = open_record();
    damaged.body = json!({"title": 7});
    assert!(
        decide(&CachedRecord::Present(damaged), &rotation, class, BEGINS).starts_with("retry"),
        "nothing is decided on a malformed record"
    );
    assert_eq!(decide(no_record, &render, class, BEGINS - EARLY_JOIN_US), "open 1");
    assert_eq!(
        decide(no_record, &render, class, BEGINS - EARLY_JOIN_US - 1),
        "the night 2026-12-01 of boldog-1 begins at 2026-12-01 20:00 UTC"
    );
    let over = "the night 2026-12-01 of boldog-1 is over";
    assert_eq!(decide(no_record, &render, class, BEGINS + 9 * HOUR), over);
    assert_eq!(
        decide(no_record, &rotation, class, BEGINS + 9 * HOUR),
        "open 1",
        "a rotation may open a release after renders are due"
    );
    assert_eq!(decide(no_record, &rotation, class, BEGINS + 24 * HOUR), over, "the next night has begun");
    assert_eq!(
        decide(no_record, &release_ref(Stage::Render, "2026-12-03"), class, BEGINS),
        "calendar nightly has no night on 2026-12-03"
    );
    assert_eq!(
        decide(no_record, &render, "aimak-merge", BEGINS),
        "class aimak-merge takes no part as render; calendar nightly has otbasy-baila for that"
    );
    let mut misspelled = render.clone();
    misspelled.title = "bldog-1".into();
    assert_eq!(
        decide(no_record, &misspelled, class, BEGINS),
        "no calendar has the title bldog-1; the nearest pattern is boldog-*"
    );

    let open = open_record();
    // The record decides, not the clock.
    assert_eq!(decide(&CachedRecord::Present(open.clone()), &render, class, BEGINS + 20 * HOUR), "join");
    let closing = release_record::begin_closing(&open, ClosedBy::Calendar).expect("open");
    assert_eq!(closing.phase, Phase::Closing);
    assert!(
        decide(&CachedRecord::Present(closing.clone()), &render, class, BEGINS)
            .starts_with("the release of boldog-1 on 2026-12-01 was closed by the calendar")
    );
    assert_eq!(decide(&CachedRecord::Present(closing), &rotation, class, BEGINS), "join");
}

#[test]
fn open_release_keeps_its_times_when_the_calendar_changes() {
    let changed_calendars = calendars("04:00");
    let record = open_record();
    let body = Release::read(&record).expect("readable");
    let night_at = |releases: &[(Phase, &Release)], stage, now| {
        resolve_night(&changed_calendars, releases.iter().copied(), &release_ref(stage, ""), now)
    };
    let half_past_four = BEGINS + 8 * HOUR + HOUR / 2;
    let refusal =
        night_at(&[], Stage::Render, half_past_four).expect_err("renders were due by the new calendar");
    assert_eq!(
        refusal.to_string(),
        "no night of boldog-1 is open now; the next begins at 2026-12-02 20:00 UTC"
    );
    assert_eq!(night_at(&[(Phase::Open, &body)], Stage::Render, half_past_four).as_deref(), Ok("2026-12-01"));
    assert!(night_at(&[(Phase::Closed, &body)], Stage::Render, half_past_four).is_err());
    assert_eq!(
        night_at(&[(Phase::Closed, &body)], Stage::Rotation, half_past_four).as_deref(),
        Ok("2026-12-01")
    );
    assert!(
        body.close_reason([], half_past_four).is_none(),
        "renders were due at 05:00 when the release was opened"
    );
    assert_eq!(body.close_reason([], BEGINS + 9 * HOUR), Some(ClosedBy::Calendar));
    // The calendar's next night takes precedence over an older release that is still open.
    let mut still_open = body.clone();
    still_open.renders_us = u64::MAX;
    assert_eq!(
        night_at(&[(Phase::Open, &still_open)], Stage::Render, BEGINS + 25 * HOUR).as_deref(),
        Ok("2026-12-02")
    );
    // Releases whose calendar was removed stay open.
    let no_calendars = Calendars::default();
    assert_eq!(
        resolve_night(&no_calendars, [(Phase::Open, &body)], &release_ref(Stage::Render, ""), BEGINS)
            .as_deref(),
        Ok("2026-12-01")
    );
    assert!(matches!(
        resolve_night(&no_calendars, [], &release_ref(Stage::Render, ""), BEGINS),
        Err(Refusal::UnknownTitle { .. })
    ));
}

#[test]
fn release_closes_when_all_declared_renders_have_joined() {
    let body = Release::read(&open_record()).expect("readable");
    let members = [
        member("a", Stage::Rebuild, Some(2)),
        member("b", Stage::Render, None),
        member("c", Stage::Render, None),
    ];
    assert_eq!(body.close_reason(&members[..2], BEGINS), None);
    assert_eq!(body.close_reason(&members, BEGINS), Some(ClosedBy::Count));
    assert_eq!(body.close_reason(&members[1..], BEGINS), None, "no number of renders is declared");
}

#[test]
fn rotation_is_held_for_each_cause_and_waivers_lift_them() {
    let all_in = |state: MemberState| move |_: &str| state;
    for (record, cause) in [
        (CachedRecord::NotRead, Cause::Unread),
        (CachedRecord::Absent, Cause::NotOpened),
        (
            CachedRecord::Unreadable(Unreadable::Newer(2)),
            Cause::Unreadable { why: Unreadable::Newer(2).to_string() },
        ),
    ] {
        assert_eq!(
            assess(&record, Some(&[]), all_in(MemberState::Done)),
            Readiness::Held { causes: vec![cause] }
        );
    }
    let (head, members) = closed_release(&["b", "c"]);
    assert_eq!(members.len(), 3, "a rotation is not a member");
    assert_eq!(
        assess(&CachedRecord::Present(head.clone()), None, all_in(MemberState::Done)),
        Readiness::Held { causes: vec![Cause::Pages] }
    );
    let states = |id: &str| match id {
        "a" => MemberState::Done,
        "b" => MemberState::Cancelled,
        _ => MemberState::Suspected,
    };
    let texts = causes(&head, &members, states);
    assert_eq!(
        texts,
        [
            "render b was cancelled",
            "render c failed on several machines",
            "1 of 2 declared renders are missing (waive missing to do without)"
        ]
    );
    // A waiver of the cancelled render does not make it count: it may have been submitted again under another id.
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
        panic!("no cause should be left")
    };
    // Once the start is recorded the rotation may start, whatever is known of the members.
    assert_eq!(
        assess(&CachedRecord::Present(next.clone()), None, all_in(MemberState::Unread)),
        Readiness::MayStart
    );
    assert_eq!(
        release_record::reopen(&next),
        Err(ChangeError::RotationStarted("boldog-1".into(), "2026-12-01".into()))
    );
    assert!(matches!(
        release_record::waive(&next, &members, "c", "late"),
        Err(ChangeError::RotationStarted(..))
    ));

    let (without_renders, members) = closed_release(&[]);
    let waived = release_record::waive(&without_renders, &members, MISSING, "prices alone").expect("closed");
    assert!(matches!(
        assess(&CachedRecord::Present(waived), Some(&members), all_in(MemberState::Done)),
        Readiness::Ready(_)
    ));
    let rebuild = [member("a", Stage::Rebuild, None)];
    assert_eq!(
        causes(&without_renders, &rebuild, all_in(MemberState::Done)),
        ["no render is part of it (waive missing to do without)"]
    );
}

#[test]
fn forbidden_changes_are_rejected() {
    let open = open_record();
    let key = release_key("boldog-1", "2026-12-01").expect("a key");
    assert_eq!(
        release_record::finish_closing(&key, &open, &BTreeMap::new(), 4096),
        Err(ChangeError::AlreadyInPhase(Phase::Open)),
        "jobs may still join"
    );
    assert_eq!(release_record::mark_rotated(&open), Err(ChangeError::AlreadyInPhase(Phase::Open)));
    assert_eq!(
        release_record::waive(&open, &[], MISSING, "why not"),
        Err(ChangeError::CountInProgress),
        "it would cover renders that go missing later"
    );
    assert_eq!(
        release_record::reopen(&release_record::close(&open).expect("open")),
        Err(ChangeError::CountInProgress)
    );
    let (head, members) = closed_release(&["b"]);
    assert_eq!(release_record::close(&head), Err(ChangeError::AlreadyInPhase(Phase::Closed)));
    for reason in ["", "  ", "a\nb", &"x".repeat(121)] {
        assert_eq!(release_record::waive(&head, &members, "b", reason), Err(ChangeError::InvalidReason));
    }
    let error = release_record::waive(&head, &members, "wk-b", "so").expect_err("not a member");
    assert_eq!(error.to_string(), "wk-b is no render or rebuild of this set; the nearest is b");
    let once = release_record::waive(&head, &members, "b", "first").expect("a member");
    let twice = release_record::waive(&once, &members, "b", "second").expect("a repeated waiver");
    assert_eq!(Release::read(&twice).expect("readable").waived["b"], "first");
    let many: Vec<Member> = (0..20).map(|n| member(&format!("r{n:02}"), Stage::Render, None)).collect();
    let last = many
        .iter()
        .try_fold(head, |record, member| release_record::waive(&record, &many, &member.id, &"x".repeat(120)));
    assert_eq!(last, Err(ChangeError::TooManyWaivers), "the head must stay within the value limit");
}

#[test]
fn reopened_release_is_closed_by_an_operator_only_and_shows_old_waivers() {
    let (head, members) = closed_release(&["b"]);
    let waived = release_record::waive(&head, &members, MISSING, "one is enough").expect("closed");
    let reopened = release_record::reopen(&waived).expect("not rotated");
    let body = Release::read(&reopened).expect("readable");
    assert_eq!((reopened.version, reopened.phase, reopened.pages), (2, Phase::Open, 0));
    assert_eq!(body.close_reason(&members, u64::MAX), None);
    assert_eq!(
        body.waived.keys().collect::<Vec<_>>(),
        ["missing/1"],
        "the waiver does not cover renders that are missing in the new version"
    );
    assert!(release_record::reopen(&reopened).is_err());
    let mut with_unknown_field = reopened.clone();
    with_unknown_field.body["newer"] = json!({"x": 1});
    let closing = release_record::close(&with_unknown_field).expect("open");
    assert_eq!(closing.body["newer"], json!({"x": 1}), "unknown fields are kept");
}

#[test]
fn status_is_computed_from_records_and_the_time() {
    let (head, members) = closed_release(&["b", "c"]);
    let head = release_record::waive(&head, &members, "c", "shop 7 is shut").expect("a member");
    let state = |id: &str| if id == "a" { MemberState::Done } else { MemberState::Live };
    let status_at = |now| {
        ReleaseStatus::from_record(
            ("boldog-1", "2026-12-01"),
            &CachedRecord::Present(head.clone()),
            Some(&members),
            state,
            now,
        )
    };
    assert_eq!(
        status_at(BEGINS + 11 * HOUR).to_string(),
        "boldog-1 2026-12-01: held, late\n  calendar nightly: began 2026-12-01T20:00:00Z, renders due 2026-12-02T05:00:00Z, rotation due 2026-12-02T06:00:00Z\n  \
         renders 2, done 0, 2 declared, closed by an operator\n  waits: render b is not finished\n  waived: c (shop 7 is shut)\n"
    );
    let json = serde_json::to_value(status_at(BEGINS)).expect("json");
    assert_eq!((&json["late"], &json["closed_by"]), (&json!(false), &json!("operator")));
    let causes = json!(
        [{"cause": "live", "job": "b", "stage": "render", "text": "render b is not finished"}]
    );
    assert_eq!(json["waits_for"], causes);
    let absent =
        ReleaseStatus::from_record(("boldog-1", "2026-12-01"), &CachedRecord::Absent, None, state, BEGINS);
    assert_eq!((absent.state, absent.waits_for[0].text.as_str()), ("absent", "no render has joined yet"));
}

#[test]
fn renders_of_the_release_due_first_go_first() {
    let body = Release::read(&open_record()).expect("readable");
    let mut later = body.clone();
    later.renders_us += HOUR;
    let rotation = InheritedPriority { priority: 13, due_us: Some(BEGINS + 30 * HOUR) };
    let (first, second) = (
        inherited_by_members(&body, [rotation]).expect("not rotated"),
        inherited_by_members(&later, [rotation]).expect("not rotated"),
    );
    assert_eq!(first, InheritedPriority { priority: 13, due_us: Some(body.renders_us) });
    assert!(first.sort_key() < second.sort_key());
    // Priority takes precedence over the deadline; a job keeps its own values where they are stricter.
    assert!(second.sort_key() < inherited_by_members(&body, []).expect("not rotated").sort_key());
    let own = InheritedPriority { priority: 20, due_us: Some(1) };
    assert_eq!(own.combine(first), own);
    assert_eq!(first.combine(InheritedPriority::default()), first);
    let mut rotated = body;
    rotated.rotated = true;
    assert_eq!(inherited_by_members(&rotated, [rotation]), None);
}
