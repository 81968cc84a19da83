use super::*;
use proptest::prelude::*;

const BASE: [(&str, &str); 5] = [
    ("title", "boldog-*"),
    ("zone", "Europe/Budapest"),
    ("night_begins", "20:00"),
    ("renders_due", "05:30"),
    ("rotation_due", "06:00"),
];

fn with(changes: &[(&'static str, &'static str)]) -> Result<Calendar, SettingError> {
    let mut pairs: Vec<(&str, &str)> = BASE.to_vec();
    for &(k, v) in changes {
        pairs.retain(|p| p.0 != k);
        pairs.push((k, v));
    }
    Calendar::parse("nightly", pairs)
}
fn date(text: &str) -> Date {
    date_of(text).expect("a date")
}
fn utc(text: &str) -> u64 {
    text.parse::<Timestamp>().expect("a time").as_microsecond().try_into().expect("after 1970")
}
fn hours(n: &Night) -> f64 {
    (n.renders - n.begins) as f64 / 3.6e9
}

#[test]
fn wrong_settings_are_named_with_the_nearest_that_is_known() {
    for (change, said) in [
        (("zone", "Europe/Budapst"), "zone: \"Europe/Budapst\" is no zone; the nearest is Europe/Budapest"),
        (("weekdays", "mon, thr"), "weekdays: \"thr\" is no weekday; the nearest is thu"),
        (("weekdays", " , "), "weekdays: names no day"),
        (("night_begin", "20:00"), "night_begin: is no setting of a calendar; the nearest is night_begins"),
        (("night_begins", "24:00"), "night_begins: \"24:00\" is no time of day"),
        (("night_begins", "+8:00"), "night_begins: \"+8:00\" is no time of day"),
        (("renders_due", "5:30"), "renders_due: \"5:30\" is no time of day"),
        (("renders_due", "20:00"), "renders_due: is the time at which the night begins"),
        (("left_out", "2026-12-24, 2026-13-01"), "left_out: \"2026-13-01\" is no date"),
        (("title", "a/b"), "title: must have"),
        (("title", ""), "title: is missing"),
    ] {
        let e = with(&[change]).expect_err(said).to_string();
        assert!(e.starts_with(said), "{e}");
    }
    let twice = Calendar::parse("n", BASE.into_iter().chain([("zone", "UTC")])).expect_err("twice");
    assert_eq!(twice.to_string(), "zone: is given twice");
    let missing = Calendar::parse("n", BASE.into_iter().skip(1)).expect_err("no title");
    assert_eq!(missing.key, "title");
}

#[test]
fn patterns_and_the_order_of_the_file_decide_whose_title_it_is() {
    for (pattern, text, fit) in [
        ("*", "", true),
        ("boldog", "boldog", true),
        ("boldog", "boldog-1", false),
        ("boldog-*", "boldog-north", true),
        ("boldog-*", "boldog", false),
        ("*-north", "boldog-north", true),
        ("a*b*c", "a-b-c", true),
        ("a*b*c", "acb", false),
        ("ab*ba", "aba", false),
        ("**x", "x", true),
    ] {
        assert_eq!(matches_pattern(pattern, text), fit, "{pattern} {text}");
    }
    let all = Calendars(vec![
        with(&[("title", "boldog-north")]).expect("valid"),
        with(&[("title", "boldog-*")]).expect("valid"),
    ]);
    assert_eq!(all.for_title("boldog-north").map(|c| c.title.as_str()), Some("boldog-north"));
    assert_eq!(all.for_title("boldog-south").map(|c| c.title.as_str()), Some("boldog-*"));
    assert_eq!((all.for_title("bldog"), all.nearest("bldog-north")), (None, Some("boldog-north")));
}

#[test]
fn nights_are_23_and_25_hours_long_with_their_zone() {
    // From noon to the noon before it would be: the clocks change in between.
    let c = with(&[("night_begins", "12:00"), ("renders_due", "11:59"), ("rotation_due", "12:00")])
        .expect("valid");
    for (day, long) in [("2026-03-28", 23.0), ("2026-10-24", 25.0), ("2026-06-01", 24.0)] {
        let n = c.night(date(day)).expect("a night");
        assert!((hours(&n) + 1.0 / 60.0 - long).abs() < 1e-9, "{day}: {}", hours(&n));
    }
}

#[test]
fn a_time_that_does_not_exist_is_the_moment_the_clocks_go_forward_and_of_two_the_first_counts() {
    let c = with(&[("renders_due", "02:30"), ("rotation_due", "02:45")]).expect("valid");
    // 02:00 to 03:00 is skipped, at 01:00 UTC.
    let spring = c.night(date("2026-03-28")).expect("a night");
    assert_eq!((spring.renders, spring.rotation), (utc("2026-03-29T01:00:00Z"), utc("2026-03-29T01:00:00Z")));
    // 02:00 to 03:00 is there twice, from 00:00 and from 01:00 UTC.
    let autumn = c.night(date("2026-10-24")).expect("a night");
    assert_eq!((autumn.renders, autumn.rotation), (utc("2026-10-25T00:30:00Z"), utc("2026-10-25T00:45:00Z")));
    // Both in the hour that is skipped: nothing could join, so there is no such night.
    let c = with(&[("night_begins", "02:10"), ("renders_due", "02:40"), ("rotation_due", "06:00")])
        .expect("valid");
    assert_eq!(c.night(date("2026-03-29")), None);
    assert!(c.night(date("2026-03-30")).is_some());
    // A zone that has skipped a whole day.
    let c = with(&[("zone", "Pacific/Apia"), ("night_begins", "20:00")]).expect("valid");
    let n = c.night(date("2011-12-29")).expect("a night");
    assert_eq!((n.begins, n.renders), (utc("2011-12-30T06:00:00Z"), utc("2011-12-30T10:00:00Z")));
    let next = c.night(date("2011-12-30")).expect("a night");
    assert_eq!((next.begins, next.renders), (n.renders, utc("2011-12-30T15:30:00Z")));
}

#[test]
fn a_rotation_may_lie_after_midnight_and_days_are_left_out() {
    let c = with(&[
        ("night_begins", "18:00"),
        ("renders_due", "23:30"),
        ("rotation_due", "00:15"),
        ("weekdays", "fri-sun, tue"),
        ("left_out", "2026-12-04, 2026-12-25"),
    ])
    .expect("valid");
    let n = c.night(date("2026-12-05")).expect("a Saturday");
    let times = [n.begins, n.renders, n.rotation];
    assert_eq!(times, ["2026-12-05T17:00:00Z", "2026-12-05T22:30:00Z", "2026-12-05T23:15:00Z"].map(utc));
    for none in ["2026-12-04", "2026-12-07", "2026-12-25"] {
        assert_eq!(c.night(date(none)), None, "{none}");
    }
    let at = |t: &str, s: Stage| c.open_at(utc(t), s).map(|n| n.name());
    assert_eq!(at("2026-12-05T22:00:00Z", Stage::Render).as_deref(), Some("2026-12-05"));
    assert_eq!(at("2026-12-05T22:30:00Z", Stage::Render), None, "renders were due");
    assert_eq!(
        at("2026-12-06T10:00:00Z", Stage::Rotation).as_deref(),
        Some("2026-12-05"),
        "late, but not over"
    );
    assert_eq!(at("2026-12-06T16:59:30Z", Stage::Render).as_deref(), Some("2026-12-06"), "clocks differ");
    assert_eq!(at("2026-12-06T16:59:30Z", Stage::Rotation).as_deref(), Some("2026-12-05"));
    assert_eq!(at("2026-12-08T01:00:00Z", Stage::Rotation), None, "a day after it was due");
    assert_eq!(c.next_after(utc("2026-12-02T00:00:00Z")).map(|n| n.name()).as_deref(), Some("2026-12-05"));
    assert_eq!(c.format_local(n.begins), "2026-12-05 18:00 CET");
    let never = with(&[("weekdays", "fri"), ("left_out", "2026-12-04")]).expect("valid");
    assert_eq!(
        never.next_after(utc("2026-12-04T00:00:00Z")).map(|n| n.name()).as_deref(),
        Some("2026-12-11")
    );
}

#[test]
fn a_stage_without_classes_takes_any() {
    let c = with(&[("render", "til-tekser, otbasy-baila")]).expect("valid");
    assert!(c.accepts(Stage::Render, "til-tekser") && !c.accepts(Stage::Render, "aimak-merge"));
    assert!(c.accepts(Stage::Rebuild, "anything"));
}

proptest! {
    /// In any zone and year: a night begins before its renders are due, those are due no later than the rotation; nights that
    /// follow one another never overlap; and whoever asks within a night is told that night.
    #[test]
    fn nights_are_in_order_in_every_zone(
        zone in 0usize..600, day in 0i32..40_000, t in prop::array::uniform3((0i8..24, 0i8..60)), part in 0u64..1000
    ) {
        let names: Vec<String> = TimeZoneDatabase::bundled().available().map(|n| n.to_string()).collect();
        let of = |(h, m): (i8, i8)| format!("{h:02}:{m:02}");
        prop_assume!(t[0] != t[1]);
        let (b, r, o) = (of(t[0]), of(t[1]), of(t[2]));
        let pairs = [("title", "*"), ("zone", names[zone % names.len()].as_str()), ("night_begins", b.as_str()),
            ("renders_due", r.as_str()), ("rotation_due", o.as_str())];
        let c = Calendar::parse("c", pairs).expect("valid");
        let first = date("1971-01-01").checked_add(jiff::Span::new().days(day)).expect("in range");
        let Some(n) = c.night(first) else { return Ok(()) };
        prop_assert!(n.begins < n.renders && n.renders <= n.rotation && n.renders <= n.over);
        if let Some(next) = c.night(first.tomorrow().expect("in range")) {
            prop_assert!(n.renders <= next.begins, "{n:?} {next:?}");
        }
        let within = n.begins + (n.renders - n.begins - 1) / 1000 * part;
        let open = c.open_at(within, Stage::Render);
        prop_assert_eq!(open.map(|o| o.date), Some(first));
    }
}
