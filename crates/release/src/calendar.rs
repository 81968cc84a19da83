//! `[calendar NAME]` of the operators' settings, and the nights that follow from it.
//!
//! A night is named by the date on which it begins, in the calendar's zone. `renders_due` is the first such time of day after
//! the beginning, `rotation_due` the first after that: either may lie after midnight.
//!
//! Times of day that a zone skips or repeats: a time that doesn't exist stands for the earliest later instant that does, the
//! one at which the clocks are set forward; of a time that exists twice, the first is meant. So the order of times of day is
//! the order of instants, and a night is 23 or 25 hours long where its zone's day is. A night whose beginning and end fall
//! together that way (both in the hour that is skipped) is left out.

use jiff::Timestamp;
use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long before a night begins jobs may join it, in microseconds: clocks differ, and a 422 is final.
pub const EARLY_JOIN_US: u64 = 60_000_000;
/// How many days ahead the next night is looked for.
const SEARCH_DAYS: i32 = 400;

/// A day, in microseconds.
const DAY_US: u64 = 86_400_000_000;

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct SettingError {
    /// The key.
    pub key: String,
    /// What is wrong with it, and what may have been meant.
    pub reason: String,
}

/// What a job does for a release.
#[derive(serde::Serialize, serde::Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Makes the prices anew.
    Rebuild,
    /// Makes a bundle of them.
    Render,
    /// Takes the bundles into the shops; waits for all others.
    Rotation,
}

impl Stage {
    /// All of them.
    pub const ALL: [Stage; 3] = [Stage::Rebuild, Stage::Render, Stage::Rotation];
    /// As submissions and settings write it.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Stage::Rebuild => "rebuild",
            Stage::Render => "render",
            Stage::Rotation => "rotation",
        }
    }
    /// From its word.
    #[must_use]
    pub fn parse(word: &str) -> Option<Stage> {
        Stage::ALL.into_iter().find(|s| s.word() == word)
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// The known value that is most like a wrong one.
#[must_use]
pub fn find_nearest<'a>(wrong: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let like = |k: &str| strsim::jaro_winkler(&wrong.to_lowercase(), &k.to_lowercase());
    known.into_iter().max_by(|a, b| like(a).total_cmp(&like(b)))
}

/// The times of one night, in microseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Night {
    /// The date on which it begins.
    pub date: Date,
    /// When it begins.
    pub begins: u64,
    /// When renders must be in: it is closed then.
    pub renders: u64,
    /// When the rotation is due.
    pub rotation: u64,
    /// From then on nothing joins it any more that would open it: the next night begins, at the latest a day after the rotation.
    pub over: u64,
}

impl Night {
    /// The name: the date.
    #[must_use]
    pub fn name(&self) -> String {
        self.date.to_string()
    }
}

/// Whether this is the name of a night.
///
/// # Errors
/// What is wrong with it.
pub fn date_of(night: &str) -> Result<Date, String> {
    // Other forms of the same date would be other keys.
    match night.parse::<Date>() {
        Ok(d) if d.to_string() == night => Ok(d),
        _ => Err(format!("{night:?} is no date like 2026-12-01")),
    }
}

/// One calendar.
///
/// Printed in its `Debug` form by the verb `check`: fields' names are output.
#[derive(Clone, Debug, PartialEq)]
pub struct Calendar {
    /// Its name.
    pub name: String,
    /// The titles that it is for: `*` stands for anything.
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
/// Weekdays, as settings write them.
const DAYS: [(&str, Weekday); 7] = [
    ("mon", Weekday::Monday),
    ("tue", Weekday::Tuesday),
    ("wed", Weekday::Wednesday),
    ("thu", Weekday::Thursday),
    ("fri", Weekday::Friday),
    ("sat", Weekday::Saturday),
    ("sun", Weekday::Sunday),
];

fn list(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|p| !p.is_empty())
}

fn weekday(word: &str) -> Result<i8, String> {
    let lower = word.to_lowercase();
    DAYS.iter().find(|(w, _)| *w == lower).map(|(_, d)| d.to_monday_zero_offset()).ok_or_else(|| {
        let like = find_nearest(word, DAYS.map(|(w, _)| w)).unwrap_or("mon");
        format!("{word:?} is no weekday; the nearest is {like}")
    })
}

fn weekdays(value: &str) -> Result<BTreeSet<i8>, String> {
    let mut days = BTreeSet::new();
    for part in list(value) {
        let (from, to) = part.split_once('-').unwrap_or((part, part));
        let (mut day, to) = (weekday(from.trim())?, weekday(to.trim())?);
        while days.insert(day) && day != to {
            day = (day + 1) % 7;
        }
        days.insert(to);
    }
    if days.is_empty() { Err("names no day".into()) } else { Ok(days) }
}

fn time(value: &str) -> Result<Time, String> {
    let bad = || format!("{value:?} is no time of day like 21:30");
    let (h, m) = value.split_once(':').ok_or_else(bad)?;
    if h.len() != 2 || m.len() != 2 {
        return Err(bad());
    }
    let number = |t: &str| t.parse::<i8>().ok().filter(|_| t.bytes().all(|b| b.is_ascii_digit()));
    number(h).zip(number(m)).and_then(|(h, m)| Time::new(h, m, 0, 0).ok()).ok_or_else(bad)
}

fn zone(value: &str) -> Result<TimeZone, String> {
    let bundled = TimeZoneDatabase::bundled();
    bundled.get(value).map_err(|_| {
        let names: Vec<String> = bundled.available().map(|n| n.to_string()).collect();
        let like = find_nearest(value, names.iter().map(String::as_str)).unwrap_or("UTC");
        format!("{value:?} is no zone; the nearest is {like}")
    })
}

/// Whether a text fits a pattern in which `*` stands for anything.
#[must_use]
pub fn matches_pattern(pattern: &str, text: &str) -> bool {
    let mut parts = pattern.split('*');
    let Some(mut rest) = parts.next().and_then(|first| text.strip_prefix(first)) else { return false };
    let mut parts: Vec<&str> = parts.collect();
    let Some(last) = parts.pop() else { return rest.is_empty() };
    for part in parts {
        match rest.find(part) {
            Some(at) => rest = &rest[at + part.len()..],
            None => return false,
        }
    }
    rest.ends_with(last)
}

impl Calendar {
    /// Checks a section's keys and values.
    ///
    /// # Errors
    /// What is wrong, by key.
    pub fn parse<'a>(
        name: &str,
        pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Calendar, SettingError> {
        let bad = |key: &str, reason: String| SettingError { key: key.to_owned(), reason };
        let mut given: BTreeMap<&str, &str> = BTreeMap::new();
        for (key, value) in pairs {
            if !KEYS.contains(&key) {
                let like = find_nearest(key, KEYS).unwrap_or("title");
                return Err(bad(key, format!("is no setting of a calendar; the nearest is {like}")));
            }
            if given.insert(key, value.trim()).is_some() {
                return Err(bad(key, "is given twice".into()));
            }
        }
        let optional = |key: &str| given.get(key).copied();
        let required = |key: &'static str| {
            optional(key).filter(|value| !value.is_empty()).ok_or_else(|| bad(key, "is missing".to_owned()))
        };
        let title = required("title")?.to_owned();
        if title.chars().any(|c| c.is_whitespace() || c.is_control() || c == '/' || c == '@') {
            return Err(bad("title", "must have neither spaces, slashes nor @".into()));
        }
        let zone = zone(required("zone")?).map_err(|reason| bad("zone", reason))?;
        let time_of = |key: &'static str| time(required(key)?).map_err(|reason| bad(key, reason));
        let (begins, renders, rotation) =
            (time_of("night_begins")?, time_of("renders_due")?, time_of("rotation_due")?);
        if renders == begins {
            return Err(bad("renders_due", "is the time at which the night begins".into()));
        }
        let weekdays = weekdays(optional("weekdays").unwrap_or("mon-sun"));
        let weekdays = weekdays.map_err(|reason| bad("weekdays", reason))?;
        let left_out = list(optional("left_out").unwrap_or("")).map(date_of).collect::<Result<_, _>>();
        let left_out = left_out.map_err(|reason| bad("left_out", reason))?;
        let classes =
            Stage::ALL.map(|stage| list(optional(stage.word()).unwrap_or("")).map(str::to_owned).collect());
        let name = name.to_owned();
        Ok(Calendar { name, title, zone, begins, renders, rotation, weekdays, left_out, classes })
    }

    /// Whether jobs of a class may say that they are of a stage. A stage without classes takes any.
    #[must_use]
    pub fn accepts(&self, stage: Stage, class: &str) -> bool {
        let classes = self.classes(stage);
        classes.is_empty() || classes.contains(class)
    }

    /// The classes that a stage takes; none: any.
    #[must_use]
    pub fn classes(&self, stage: Stage) -> &BTreeSet<String> {
        &self.classes[stage as usize]
    }

    /// The earliest instant at which the zone's clocks show this time or a later one.
    fn instant(&self, at: DateTime) -> Option<Timestamp> {
        let found = self.zone.to_ambiguous_timestamp(at);
        match found.offset() {
            AmbiguousOffset::Unambiguous { .. } => found.unambiguous().ok(),
            AmbiguousOffset::Fold { .. } => found.earlier().ok(),
            // By the offset of after it, the time lies before the clocks are set forward: that moment is meant.
            AmbiguousOffset::Gap { .. } => {
                let before = found.earlier().ok()?;
                Some(self.zone.following(before).next()?.timestamp())
            }
        }
    }

    fn micros(&self, at: DateTime) -> Option<u64> {
        u64::try_from(self.instant(at)?.as_microsecond()).ok()
    }

    /// Whether a night begins on this date.
    #[must_use]
    pub fn has_night_on(&self, date: Date) -> bool {
        self.weekdays.contains(&date.weekday().to_monday_zero_offset()) && !self.left_out.contains(&date)
    }

    /// When the night of this date begins, its renders are due and its rotation is due.
    fn night_times(&self, date: Date) -> Option<(u64, u64, u64)> {
        let next =
            |date: Date, from: Time, to: Time| if to > from { Some(date) } else { date.tomorrow().ok() };
        let renders_on = next(date, self.begins, self.renders)?;
        let rotation_on = next(renders_on, self.renders, self.rotation)?;
        let begins = self.micros(date.to_datetime(self.begins))?;
        let renders = self.micros(renders_on.to_datetime(self.renders))?;
        let rotation = self.micros(rotation_on.to_datetime(self.rotation))?;
        (begins < renders).then_some((begins, renders, rotation))
    }

    /// The night that begins on this date, if one does.
    #[must_use]
    pub fn night(&self, date: Date) -> Option<Night> {
        let (begins, renders, rotation) = self.has_night_on(date).then(|| self.night_times(date))??;
        let mut over = rotation.max(renders) + DAY_US;
        let mut then = date;
        // Nights may follow one another at once, so only the next few matter.
        for _ in 0..4 {
            then = then.tomorrow().ok()?;
            if let Some((next, ..)) = self.has_night_on(then).then(|| self.night_times(then)).flatten() {
                over = over.min(next.max(renders));
                break;
            }
        }
        Some(Night { date, begins, renders, rotation, over })
    }

    fn date_at(&self, wall: u64) -> Option<Date> {
        let at = Timestamp::from_microsecond(i64::try_from(wall).ok()?).ok()?;
        Some(self.zone.to_datetime(at).date())
    }

    /// The night that is open at this time for jobs of a stage that name none: for rebuilds and renders until the renders are due, for
    /// rotations until the next one begins. Shortly before a night begins, and if none is open, that night.
    #[must_use]
    pub fn open_at(&self, wall: u64, stage: Stage) -> Option<Night> {
        let until = |n: &Night| if stage == Stage::Rotation { n.over } else { n.renders };
        let around: Vec<Night> = self.around(wall);
        let open = around.iter().rev().find(|n| n.begins <= wall && wall < until(n));
        let soon = || around.iter().find(|n| wall < n.begins && n.begins - wall <= EARLY_JOIN_US);
        open.or_else(soon).cloned()
    }

    /// Nights that begin on one of the days around a time, in order.
    fn around(&self, wall: u64) -> Vec<Night> {
        let Some(today) = self.date_at(wall) else { return Vec::new() };
        let days = (-4..=2).filter_map(|n| today.checked_add(jiff::Span::new().days(n)).ok());
        days.filter_map(|d| self.night(d)).collect()
    }

    /// The first night that begins after a time.
    #[must_use]
    pub fn next_after(&self, wall: u64) -> Option<Night> {
        let mut date = self.date_at(wall)?;
        for _ in 0..SEARCH_DAYS {
            match self.night(date) {
                Some(n) if n.begins > wall => return Some(n),
                _ => date = date.tomorrow().ok()?,
            }
        }
        None
    }

    /// A time of day as people of the calendar's zone write it.
    #[must_use]
    pub fn format_local(&self, wall: u64) -> String {
        let at = i64::try_from(wall).ok().and_then(|w| Timestamp::from_microsecond(w).ok());
        at.map_or_else(
            || "-".into(),
            |t| t.to_zoned_datetime(self.zone.clone()).strftime("%F %H:%M %Z").to_string(),
        )
    }
}

/// All calendars, in the order of the file: the first whose pattern fits a title is its calendar.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calendars(pub Vec<Calendar>);

impl Calendars {
    /// The calendar of a title.
    #[must_use]
    pub fn for_title(&self, title: &str) -> Option<&Calendar> {
        self.0.iter().find(|c| matches_pattern(&c.title, title))
    }
    /// The pattern that a title is nearest to.
    #[must_use]
    pub fn nearest(&self, title: &str) -> Option<&str> {
        find_nearest(title, self.0.iter().map(|c| c.title.as_str()))
    }
}

#[cfg(test)]
mod tests;
