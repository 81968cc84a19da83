use super::*;
use proptest::prelude::*;

const DEFAULTS: [(&str, &str); 5] = [
    ("title", "boldog-*"),
    ("zone", "Europe/Budapest"),
    ("night_begins", "20:00"),
    ("renders_due", "05:30"),
    ("rotation_due", "06:00"),
];

/// A calendar calendar_with these changes to the default settings.
fn calendar_with(changes: &[(&'static str, &'static str)]) -> Result<Calendar, SettingError> {
    let mut pairs: Vec<(&str, &str)> = DEFAULTS.to_vec();
    for &(key, value) in changes {
        pairs.retain(|pair| pair.0 != key);
        pairs.push((key, value));
    }
    Calendar::parse("nightly", pairs)
}
fn date(text: &str) -> Date {
    parse_night(text).expect("a date")
}
fn utc(text: &str) -> u64 {
    text.parse::<Timestamp>().expect("a time").as_microsecond().try_into().expect("after 1970")
}
fn hours_until_renders_due(night: &Night) -> f64 {
    (night.renders_due - night.begins) as f64 / 3.6e9
}

#[test]
fn invalid_settings_are_rejected_with_the_nearest_valid_value() {
    for (change, message_start) in [
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
        let message = calendar_with(&[change]).expect_err(message_start).to_string();
        assert!(message.starts_with(message_start), "{message}");
    }
    let duplicate =
        Calendar::parse("n", DEFAULTS.into_iter().chain([("zone", "UTC")])).expect_err("given twice");
    assert_eq!(duplicate.to_string(), "zone: is given twice");
    let missing = Calendar::parse("n", DEFAULTS.into_iter().skip(1)).expect_err("no title");
    assert_eq!(missing.key, "title");
}

#[test]
fn titles_belong_to_the_first_calendar_whose_pattern_matches() {
    for (pattern, text, matches) in [
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
        assert_eq!(matches_pattern(pattern, text), matches, "{pattern} {text}");
    }
    let calendars = Calendars(vec![
        calendar_with(&[("title", "boldog-north")]).expect("valid"),
        calendar_with(&[("title", "boldog-*")]).expect("valid"),
    ]);
    assert_eq!(
        calendars.for_title("boldog-north").map(|calendar| calendar.title.as_str()),
        Some("boldog-north")
    );
    assert_eq!(calendars.for_title("boldog-south").map(|calendar| calendar.title.as_str()), Some("boldog-*"));
    assert_eq!(
        (calendars.for_title("bldog"), calendars.nearest_pattern("bldog-north")),
        (None, Some("boldog-north"))
    );
}

#[test]
fn nights_with_a_clock_change_have_23_or_25_hours() {
    // The night lasts from noon to 11:59 of the next day, so it contains the clock change.
    let calendar =
        calendar_with(&[("night_begins", "12:00"), ("renders_due", "11:59"), ("rotation_due", "12:00")])
            .expect("valid");
    for (day, hours) in [("2026-03-28", 23.0), ("2026-10-24", 25.0), ("2026-06-01", 24.0)] {
        let night = calendar.night_on(date(day)).expect("a night");
        assert!(
            (hours_until_renders_due(&night) + 1.0 / 60.0 - hours).abs() < 1e-9,
            "{day}: {}",
            hours_until_renders_due(&night)
        );
    }
}

#[test]
fn skipped_local_times_mean_the_clock_change_and_repeated_ones_the_first() {
    let calendar = calendar_with(&[("renders_due", "02:30"), ("rotation_due", "02:45")]).expect("valid");
    // The clocks skip 02:00 to 03:00, at 01:00 UTC.
    let spring = calendar.night_on(date("2026-03-28")).expect("a night");
    assert_eq!(
        (spring.renders_due, spring.rotation_due),
        (utc("2026-03-29T01:00:00Z"), utc("2026-03-29T01:00:00Z"))
    );
    // 02:00 to 03:00 occurs twice, from 00:00 UTC and from 01:00 UTC.
    let autumn = calendar.night_on(date("2026-10-24")).expect("a night");
    assert_eq!(
        (autumn.renders_due, autumn.rotation_due),
        (utc("2026-10-25T00:30:00Z"), utc("2026-10-25T00:45:00Z"))
    );
    // The night begins and its renders are due in the skipped hour: no job could join, so the night does not exist.
    let calendar =
        calendar_with(&[("night_begins", "02:10"), ("renders_due", "02:40"), ("rotation_due", "06:00")])
            .expect("valid");
    assert_eq!(calendar.night_on(date("2026-03-29")), None);
    assert!(calendar.night_on(date("2026-03-30")).is_some());
    // This zone skipped a whole day, 2011-12-30.
    let calendar = calendar_with(&[("zone", "Pacific/Apia"), ("night_begins", "20:00")]).expect("valid");
    let night = calendar.night_on(date("2011-12-29")).expect("a night");
    assert_eq!((night.begins, night.renders_due), (utc("2011-12-30T06:00:00Z"), utc("2011-12-30T10:00:00Z")));
    let next = calendar.night_on(date("2011-12-30")).expect("a night");
    assert_eq!((next.begins, next.renders_due), (night.renders_due, utc("2011-12-30T15:30:00Z")));
}

#[test]
fn rotation_may_be_due_after_midnight_and_dates_can_be_left_out() {
    let calendar = calendar_with(&[
        ("night_begins", "18:00"),
        ("renders_due", "23:30"),
        ("rotation_due", "00:15"),
        ("weekdays", "fri-sun, tue"),
        ("left_out", "2026-12-04, 2026-12-25"),
    ])
    .expect("valid");
    let night = calendar.night_on(date("2026-12-05")).expect("a night on a Saturday");
    let times = [night.begins, night.renders_due, night.rotation_due];
    assert_eq!(times, ["2026-12-05T17:00:00Z", "2026-12-05T22:30:00Z", "2026-12-05T23:15:00Z"].map(utc));
    for day in ["2026-12-04", "2026-12-07", "2026-12-25"] {
        assert_eq!(calendar.night_on(date(day)), None, "{day}");
    }
    let open_night =
        |time: &str, stage: Stage| calendar.night_open_at(utc(time), stage).map(|night| night.name());
    assert_eq!(open_night("2026-12-05T22:00:00Z", Stage::Render).as_deref(), Some("2026-12-05"));
    assert_eq!(open_night("2026-12-05T22:30:00Z", Stage::Render), None, "renders were due");
    assert_eq!(
        open_night("2026-12-06T10:00:00Z", Stage::Rotation).as_deref(),
        Some("2026-12-05"),
        "the rotation is overdue, but the night is not over"
    );
    assert_eq!(
        open_night("2026-12-06T16:59:30Z", Stage::Render).as_deref(),
        Some("2026-12-06"),
        "early join"
    );
    assert_eq!(open_night("2026-12-06T16:59:30Z", Stage::Rotation).as_deref(), Some("2026-12-05"));
    assert_eq!(
        open_night("2026-12-08T01:00:00Z", Stage::Rotation),
        None,
        "more than a day after the rotation was due"
    );
    assert_eq!(
        calendar.next_night_after(utc("2026-12-02T00:00:00Z")).map(|night| night.name()).as_deref(),
        Some("2026-12-05")
    );
    assert_eq!(calendar.format_local(night.begins), "2026-12-05 18:00 CET");
    let weekly = calendar_with(&[("weekdays", "fri"), ("left_out", "2026-12-04")]).expect("valid");
    assert_eq!(
        weekly.next_night_after(utc("2026-12-04T00:00:00Z")).map(|night| night.name()).as_deref(),
        Some("2026-12-11")
    );
}

#[test]
fn stage_without_classes_allows_any_class() {
    let calendar = calendar_with(&[("render", "til-tekser, otbasy-baila")]).expect("valid");
    assert!(
        calendar.is_class_allowed(Stage::Render, "til-tekser")
            && !calendar.is_class_allowed(Stage::Render, "aimak-merge")
    );
    assert!(calendar.is_class_allowed(Stage::Rebuild, "anything"));
}

proptest! {
    /// In any time zone and year: a night begins before its renders are due, and they are due no later than the rotation;
    /// consecutive nights never overlap; and at any time within a night, that night is the open one.
    #[test]
    fn nights_are_in_order_in_every_zone(
        zone in 0usize..600, day in 0i32..40_000, times in prop::array::uniform3((0i8..24, 0i8..60)), part in 0u64..1000
    ) {
        let names: Vec<String> = TimeZoneDatabase::bundled().available().map(|name| name.to_string()).collect();
        let format = |(hour, minute): (i8, i8)| format!("{hour:02}:{minute:02}");
        prop_assume!(times[0] != times[1]);
        let (begins, renders_due, rotation_due) = (format(times[0]), format(times[1]), format(times[2]));
        let pairs = [("title", "*"), ("zone", names[zone % names.len()].as_str()), ("night_begins", begins.as_str()),
            ("renders_due", renders_due.as_str()), ("rotation_due", rotation_due.as_str())];
        let calendar = Calendar::parse("c", pairs).expect("valid");
        let first = date("1971-01-01").checked_add(jiff::Span::new().days(day)).expect("in range");
        let Some(night) = calendar.night_on(first) else { return Ok(()) };
        prop_assert!(night.begins < night.renders_due && night.renders_due <= night.rotation_due && night.renders_due <= night.over);
        if let Some(next) = calendar.night_on(first.tomorrow().expect("in range")) {
            prop_assert!(night.renders_due <= next.begins, "{night:?} {next:?}");
        }
        let within = night.begins + (night.renders_due - night.begins - 1) / 1000 * part;
        let open = calendar.night_open_at(within, Stage::Render);
        prop_assert_eq!(open.map(|night| night.date), Some(first));
    }
}
