//! The sections `[calendar NAME]` of the operators' settings, and the nights that they define.
//!
//! A night is named by the date on which it begins, in the calendar's time zone. `renders_due` is the first such time of day
//! after the beginning, `rotation_due` the first one after `renders_due`; either may be after midnight.
//!
//! Daylight saving time: a local time that the zone skips stands for the instant at which the clocks are set forward; of a
//! local time that occurs twice, the first one counts. The order of local times is therefore the order of instants, and a
//! night spans 23 or 25 hours where the zone's day does. A night whose beginning and end coincide (both in a skipped hour)
//! does not exist.

use jiff::Timestamp;
use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long before its beginning jobs may join a night, in microseconds. It allows for clock differences, because a user
/// doesn't retry after a 422.
pub const EARLY_JOIN_US: u64 = 60_000_000;
/// How many days ahead [`Calendar::next_night_after`] searches.
const SEARCH_DAYS: i32 = 400;

/// A day, in microseconds.
const DAY_US: u64 = 86_400_000_000;

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct SettingError {
    /// The key.
    pub key: String,
    /// What is wrong with it, with the nearest valid value where there is one.
    pub reason: String,
}

/// The part that a job has in a release.
#[derive(serde::Serialize, serde::Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Recomputes the prices.
    Rebuild,
    /// Makes a bundle of the prices.
    Render,
    /// Brings the bundles into the shops; waits for all rebuilds and renders.
    Rotation,
}

impl Stage {
    /// All stages.
    pub const ALL: [Stage; 3] = [Stage::Rebuild, Stage::Render, Stage::Rotation];
    /// Its name in submissions and settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Stage::Rebuild => "rebuild",
            Stage::Render => "render",
            Stage::Rotation => "rotation",
        }
    }
    /// Parses its name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Stage> {
        Stage::ALL.into_iter().find(|stage| stage.as_str() == name)
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The known value that is most similar to an unknown one.
#[must_use]
pub fn find_nearest<'a>(unknown: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let similarity =
        |candidate: &str| strsim::jaro_winkler(&unknown.to_lowercase(), &candidate.to_lowercase());
    known.into_iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
}

/// The times of one night, in microseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Night {
    /// The date on which it begins.
    pub date: Date,
    /// When it begins.
    pub begins: u64,
    /// When renders are due; the release closes then.
    pub renders_due: u64,
    /// When the rotation is due.
    pub rotation_due: u64,
    /// From then on no job can open a release for this night: when the next night begins, or a day after the rotation is
    /// due if that is earlier.
    pub over: u64,
}

impl Night {
    /// The night's name: its date.
    #[must_use]
    pub fn name(&self) -> String {
        self.date.to_string()
    }
}

/// Parses the name of a night, a date like 2026-12-01.
///
/// # Errors
/// If it is not a date in exactly this format.
pub fn parse_night(night: &str) -> Result<Date, String> {
    // The name is part of the record's key, so another spelling of the same date would be another release.
    match night.parse::<Date>() {
        Ok(date) if date.to_string() == night => Ok(date),
        _ => Err(format!("{night:?} is no date like 2026-12-01")),
    }
}

/// A calendar: which nights there are for which titles, and which job classes may take part.
///
/// The subcommand `check` prints it in its `Debug` format, so field names are output.
#[derive(Clone, Debug, PartialEq)]
pub struct Calendar {
    /// Its name.
    pub name: String,
    /// Pattern of the titles that it applies to; `*` matches any text.
    pub title: String,
    zone: TimeZone,
    begins: Time,
    renders: Time,
    rotation: Time,
    weekdays: BTreeSet<i8>,
    left_out: BTreeSet<Date>,
    classes: [BTreeSet<String>; 3],
}

/// The keys of a section.
const KEYS: [&str; 10] = [
    "title",
    "zone",
    "night_begins",
    "renders_due",
    "rotation_due",
    "weekdays",
    "left_out",
    "rebuild",
    "render",
    "rotation",
];
/// Names of weekdays in settings.
const WEEKDAYS: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

/// Splits a comma-separated list.
fn split_list(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|entry| !entry.is_empty())
}

/// Parses the name of a weekday; Monday is 0.
fn parse_weekday(word: &str) -> Result<i8, String> {
    let lowercase = word.to_lowercase();
    WEEKDAYS
        .iter()
        .find(|(name, _)| *name == lowercase)
        .map(|(_, day)| day.to_monday_zero_offset())
        .ok_or_else(|| {
            let like = find_nearest(word, WEEKDAYS.map(|(name, _)| name)).unwrap_or("mon");
            format!("{word:?} is no weekday; the nearest is {like}")
        })
}

/// Parses a list of weekdays and ranges of weekdays like `fri-sun`.
fn parse_weekdays(value: &str) -> Result<BTreeSet<i8>, String> {
    let mut days = BTreeSet::new();
    for range in split_list(value) {
        let (from, to) = range.split_once('-').unwrap_or((range, range));
        let (mut day, to) = (parse_weekday(from.trim())?, parse_weekday(to.trim())?);
        while days.insert(day) && day != to {
            day = (day + 1) % 7;
        }
        days.insert(to);
    }
    if days.is_empty() { Err("names no day".into()) } else { Ok(days) }
}

/// Parses a time of day like 21:30.
fn parse_time(value: &str) -> Result<Time, String> {
    let error = || format!("{value:?} is no time of day like 21:30");
    let (hour, minute) = value.split_once(':').ok_or_else(error)?;
    if hour.len() != 2 || minute.len() != 2 {
        return Err(error());
    }
    let number =
        |text: &str| text.parse::<i8>().ok().filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()));
    number(hour)
        .zip(number(minute))
        .and_then(|(hour, minute)| Time::new(hour, minute, 0, 0).ok())
        .ok_or_else(error)
}

/// Looks up a time zone by its IANA name.
fn parse_zone(value: &str) -> Result<TimeZone, String> {
    let bundled = TimeZoneDatabase::bundled();
    bundled.get(value).map_err(|_| {
        let names: Vec<String> = bundled.available().map(|name| name.to_string()).collect();
        let like = find_nearest(value, names.iter().map(String::as_str)).unwrap_or("UTC");
        format!("{value:?} is no zone; the nearest is {like}")
    })
}

/// Whether a text matches a pattern in which `*` matches any text.
#[must_use]
pub fn matches_pattern(pattern: &str, text: &str) -> bool {
    let mut literals = pattern.split('*');
    let Some(mut rest) = literals.next().and_then(|first| text.strip_prefix(first)) else { return false };
    let mut literals: Vec<&str> = literals.collect();
    let Some(last) = literals.pop() else { return rest.is_empty() };
    for literal in literals {
        match rest.find(literal) {
            Some(at) => rest = &rest[at + literal.len()..],
            None => return false,
        }
    }
    rest.ends_with(last)
}

impl Calendar {
    /// Parses the keys and values of a section.
    ///
    /// # Errors
    /// The first invalid key, and why it is invalid.
    pub fn parse<'a>(
        name: &str,
        pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Calendar, SettingError> {
        let error = |key: &str, reason: String| SettingError { key: key.to_owned(), reason };
        let mut given: BTreeMap<&str, &str> = BTreeMap::new();
        for (key, value) in pairs {
            if !KEYS.contains(&key) {
                let like = find_nearest(key, KEYS).unwrap_or("title");
                return Err(error(key, format!("is no setting of a calendar; the nearest is {like}")));
            }
            if given.insert(key, value.trim()).is_some() {
                return Err(error(key, "is given twice".into()));
            }
        }
        let optional = |key: &str| given.get(key).copied();
        let required = |key: &'static str| {
            optional(key).filter(|value| !value.is_empty()).ok_or_else(|| error(key, "is missing".to_owned()))
        };
        let title = required("title")?.to_owned();
        if title.chars().any(|c| c.is_whitespace() || c.is_control() || c == '/' || c == '@') {
            return Err(error("title", "must have neither spaces, slashes nor @".into()));
        }
        let zone = parse_zone(required("zone")?).map_err(|reason| error("zone", reason))?;
        let required_time =
            |key: &'static str| parse_time(required(key)?).map_err(|reason| error(key, reason));
        let (begins, renders, rotation) =
            (required_time("night_begins")?, required_time("renders_due")?, required_time("rotation_due")?);
        if renders == begins {
            return Err(error("renders_due", "is the time at which the night begins".into()));
        }
        let weekdays = parse_weekdays(optional("weekdays").unwrap_or("mon-sun"));
        let weekdays = weekdays.map_err(|reason| error("weekdays", reason))?;
        let left_out =
            split_list(optional("left_out").unwrap_or("")).map(parse_night).collect::<Result<_, _>>();
        let left_out = left_out.map_err(|reason| error("left_out", reason))?;
        let classes = Stage::ALL
            .map(|stage| split_list(optional(stage.as_str()).unwrap_or("")).map(str::to_owned).collect());
        let name = name.to_owned();
        Ok(Calendar { name, title, zone, begins, renders, rotation, weekdays, left_out, classes })
    }

    /// Whether jobs of a class may take part as a stage. A stage for which no classes are set accepts any.
    #[must_use]
    pub fn is_class_allowed(&self, stage: Stage, class: &str) -> bool {
        let classes = self.classes(stage);
        classes.is_empty() || classes.contains(class)
    }

    /// The classes that may take part as a stage; empty: any.
    #[must_use]
    pub fn classes(&self, stage: Stage) -> &BTreeSet<String> {
        &self.classes[stage as usize]
    }

    /// The earliest instant at which clocks in the zone show this local time or a later one.
    fn to_timestamp(&self, local: DateTime) -> Option<Timestamp> {
        let ambiguous = self.zone.to_ambiguous_timestamp(local);
        match ambiguous.offset() {
            AmbiguousOffset::Unambiguous { .. } => ambiguous.unambiguous().ok(),
            AmbiguousOffset::Fold { .. } => ambiguous.earlier().ok(),
            // The zone skips this local time. Read with the offset that applies after the transition, it is an instant
            // before the transition; the next transition after that instant is the one sought.
            AmbiguousOffset::Gap { .. } => {
                let before = ambiguous.earlier().ok()?;
                Some(self.zone.following(before).next()?.timestamp())
            }
        }
    }

    fn to_micros(&self, local: DateTime) -> Option<u64> {
        u64::try_from(self.to_timestamp(local)?.as_microsecond()).ok()
    }

    /// Whether a night begins on this date.
    #[must_use]
    pub fn has_night_on(&self, date: Date) -> bool {
        self.weekdays.contains(&date.weekday().to_monday_zero_offset()) && !self.left_out.contains(&date)
    }

    /// When the night that begins on this date begins, when its renders are due and when its rotation is due.
    fn night_times(&self, date: Date) -> Option<(u64, u64, u64)> {
        let next_date =
            |date: Date, from: Time, to: Time| if to > from { Some(date) } else { date.tomorrow().ok() };
        let renders_date = next_date(date, self.begins, self.renders)?;
        let rotation_date = next_date(renders_date, self.renders, self.rotation)?;
        let begins = self.to_micros(date.to_datetime(self.begins))?;
        let renders_due = self.to_micros(renders_date.to_datetime(self.renders))?;
        let rotation_due = self.to_micros(rotation_date.to_datetime(self.rotation))?;
        (begins < renders_due).then_some((begins, renders_due, rotation_due))
    }

    /// The night that begins on this date, if one does.
    #[must_use]
    pub fn night_on(&self, date: Date) -> Option<Night> {
        let (begins, renders_due, rotation_due) =
            self.has_night_on(date).then(|| self.night_times(date))??;
        let mut over = rotation_due.max(renders_due) + DAY_US;
        let mut later = date;
        // `over` is at most a day after the rotation is due, so only the next few dates matter.
        for _ in 0..4 {
            later = later.tomorrow().ok()?;
            if let Some((next_begins, ..)) =
                self.has_night_on(later).then(|| self.night_times(later)).flatten()
            {
                over = over.min(next_begins.max(renders_due));
                break;
            }
        }
        Some(Night { date, begins, renders_due, rotation_due, over })
    }

    fn date_at(&self, wall: u64) -> Option<Date> {
        let timestamp = Timestamp::from_microsecond(i64::try_from(wall).ok()?).ok()?;
        Some(self.zone.to_datetime(timestamp).date())
    }

    /// The night that is open at this time for jobs of a stage that name no night. A night is open for rebuilds and renders
    /// until renders are due, for rotations until it is over. If none is open, a night that begins within
    /// [`EARLY_JOIN_US`].
    #[must_use]
    pub fn night_open_at(&self, wall: u64, stage: Stage) -> Option<Night> {
        let open_until =
            |night: &Night| if stage == Stage::Rotation { night.over } else { night.renders_due };
        let nights: Vec<Night> = self.nights_around(wall);
        let open = nights.iter().rev().find(|night| night.begins <= wall && wall < open_until(night));
        let beginning_soon =
            || nights.iter().find(|night| wall < night.begins && night.begins - wall <= EARLY_JOIN_US);
        open.or_else(beginning_soon).cloned()
    }

    /// The nights that begin from four days before a time to two days after it, in order.
    fn nights_around(&self, wall: u64) -> Vec<Night> {
        let Some(today) = self.date_at(wall) else { return Vec::new() };
        let dates = (-4..=2).filter_map(|days| today.checked_add(jiff::Span::new().days(days)).ok());
        dates.filter_map(|date| self.night_on(date)).collect()
    }

    /// The first night that begins after a time.
    #[must_use]
    pub fn next_night_after(&self, wall: u64) -> Option<Night> {
        let mut date = self.date_at(wall)?;
        for _ in 0..SEARCH_DAYS {
            match self.night_on(date) {
                Some(night) if night.begins > wall => return Some(night),
                _ => date = date.tomorrow().ok()?,
            }
        }
        None
    }

    /// Formats a time as local time of the calendar's zone.
    #[must_use]
    pub fn format_local(&self, wall: u64) -> String {
        let timestamp = i64::try_from(wall).ok().and_then(|wall| Timestamp::from_microsecond(wall).ok());
        timestamp.map_or_else(
            || "-".into(),
            |timestamp| timestamp.to_zoned_datetime(self.zone.clone()).strftime("%F %H:%M %Z").to_string(),
        )
    }
}

/// All calendars, in the order of the settings file. A title's calendar is the first one whose pattern matches it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calendars(pub Vec<Calendar>);

impl Calendars {
    /// The calendar of a title.
    #[must_use]
    pub fn for_title(&self, title: &str) -> Option<&Calendar> {
        self.0.iter().find(|calendar| matches_pattern(&calendar.title, title))
    }
    /// The pattern that is most similar to a title.
    #[must_use]
    pub fn nearest_pattern(&self, title: &str) -> Option<&str> {
        find_nearest(title, self.0.iter().map(|calendar| calendar.title.as_str()))
    }
}

#[cfg(test)]
mod tests;
