//! Who may join a set.
//!
//! The record decides, not the clock: while it is open, a render joins, however late it is; once it says *closing*, none
//! does. A render that comes too late is **refused**, and not put into the next night's set: it was made of this night's
//! prices, its user would take the 201 for "in tonight's release", and a retry a second later would silently land in
//! another release than the first attempt. 422 is final, names the reason, and the user can name another night.
//!
//! A rotation is no member: it may join as long as its night is not over, also a set that is closed.

use crate::calendar::{Calendar, Calendars, EARLY, Stage, date_of};
use crate::release_ref::ReleaseRef;
use crate::set::{ClosedBy, Release};
use hazelsaddle_coordination::record::{CoordinationRecord, Phase};
use hazelsaddle_coordination::record_cache::CachedRecord;

/// Whether a job may join.
#[derive(Clone, Debug, PartialEq)]
pub enum Join {
    /// Yes: its acceptance is conditional on the record's mark as read.
    Now,
    /// There is no record yet: this one is to be written first, on condition that there is none.
    Open(CoordinationRecord),
    /// Not now (503): the record is not known, or can't be read.
    Later(String),
    /// No (422).
    Refused(Refusal),
}

/// Why a job may not join. Users don't try again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No calendar has it.
    #[error("no calendar has the title {title}{}", like.as_ref().map(|l| format!("; the nearest pattern is {l}")).unwrap_or_default())]
    Title {
        /// The title.
        title: String,
        /// The nearest pattern.
        like: Option<String>,
    },
    /// The class.
    #[error("class {class} takes no part as {stage}; calendar {calendar} has {} for that", classes.join(", "))]
    Class {
        /// The class.
        class: String,
        /// The stage.
        stage: Stage,
        /// The calendar.
        calendar: String,
        /// What it has.
        classes: Vec<String>,
    },
    /// No night is open.
    #[error("no night of {title} is open now{}", next.as_ref().map(|n| format!("; the next begins at {n}")).unwrap_or_default())]
    NoNight {
        /// The title.
        title: String,
        /// When the next begins.
        next: Option<String>,
    },
    /// There is no such night.
    #[error("calendar {calendar} has no night on {night}")]
    NotOne {
        /// The calendar.
        calendar: String,
        /// The night.
        night: String,
    },
    /// It has not begun.
    #[error("the night {night} of {title} begins at {begins}")]
    NotYet {
        /// The title.
        title: String,
        /// The night.
        night: String,
        /// When.
        begins: String,
    },
    /// It is over, and nobody opened it.
    #[error("the night {night} of {title} is over")]
    Over {
        /// The title.
        title: String,
        /// The night.
        night: String,
    },
    /// It takes no renders and rebuilds any more.
    #[error(
        "the release of {title} on {night} was closed by {by}: a {stage} that comes later is not part of it; name another night, or have an operator reopen it"
    )]
    Closed {
        /// The title.
        title: String,
        /// The night.
        night: String,
        /// What it would have been.
        stage: Stage,
        /// Who closed it.
        by: &'static str,
    },
}

/// The night of a submission that names none: of the sets on record one that takes it (its times stand, whatever the
/// calendar says now), or the one that is open by the calendar.
///
/// # Errors
/// If the title is unknown or no night is open.
pub fn night<'a>(
    calendars: &Calendars,
    sets: impl IntoIterator<Item = (Phase, &'a Release)>,
    says: &ReleaseRef,
    now: u64,
) -> Result<String, Refusal> {
    let calendar = calendars.of(&says.title);
    let by_calendar = calendar.and_then(|c| c.open_at(now, says.stage));
    let mut on_record: Option<&Release> = None;
    for (phase, r) in sets {
        let takes = match says.stage {
            Stage::Rotation => now <= r.due_us,
            _ => phase == Phase::Open && now < r.renders_us,
        };
        let begun = now.saturating_add(EARLY) >= r.begins_us;
        if r.title == says.title && takes && begun && on_record.is_none_or(|o| o.begins_us < r.begins_us) {
            on_record = Some(r);
        }
    }
    // A set that was opened by a calendar since changed goes before the night of the new one, unless that began later.
    match (by_calendar, on_record) {
        (Some(n), Some(r)) if n.begins > r.begins_us => Ok(n.name()),
        (_, Some(r)) => Ok(r.night.clone()),
        (Some(n), None) => Ok(n.name()),
        (None, None) => Err(match calendar {
            None => unknown(calendars, &says.title),
            Some(c) => {
                let next = c.next_after(now).map(|n| c.shown(n.begins));
                Refusal::NoNight { title: says.title.clone(), next }
            }
        }),
    }
}

fn unknown(calendars: &Calendars, title: &str) -> Refusal {
    Refusal::Title { title: title.to_owned(), like: calendars.nearest(title).map(str::to_owned) }
}

/// Whether a job that names this night may join, by what is known of the record. A job that was accepted is not asked again:
/// its repeat is answered by its own record.
#[must_use]
pub fn may_join(
    held: &CachedRecord,
    calendars: &Calendars,
    says: &ReleaseRef,
    class: &str,
    now: u64,
) -> Join {
    let calendar = calendars.of(&says.title);
    if let Some(c) = calendar
        && !c.takes(says.stage, class)
    {
        return Join::Refused(Refusal::Class {
            class: class.to_owned(),
            stage: says.stage,
            calendar: c.name.clone(),
            classes: c.classes(says.stage).iter().cloned().collect(),
        });
    }
    match held {
        CachedRecord::NotRead => Join::Later("the release's record is not read yet".into()),
        CachedRecord::Unreadable(why) => Join::Later(why.to_string()),
        CachedRecord::Present(record) => on_record(record, says),
        CachedRecord::Absent => match calendar {
            None => Join::Refused(unknown(calendars, &says.title)),
            Some(c) => absent(c, says, now).map_or_else(Join::Refused, |r| Join::Open(r.record())),
        },
    }
}

fn on_record(record: &CoordinationRecord, says: &ReleaseRef) -> Join {
    let body = match Release::read(record) {
        Ok(body) => body,
        Err(why) => return Join::Later(why.to_string()),
    };
    if says.stage == Stage::Rotation || record.phase == Phase::Open {
        return Join::Now;
    }
    Join::Refused(Refusal::Closed {
        title: body.title,
        night: body.night,
        stage: says.stage,
        by: body.closed_by.map_or("an operator", ClosedBy::word),
    })
}

fn absent(c: &Calendar, says: &ReleaseRef, now: u64) -> Result<Release, Refusal> {
    let night = says.night.clone().unwrap_or_default();
    let found = date_of(&night).ok().and_then(|d| c.night(d));
    let Some(n) = found else { return Err(Refusal::NotOne { calendar: c.name.clone(), night }) };
    let title = says.title.clone();
    if now.saturating_add(EARLY) < n.begins {
        return Err(Refusal::NotYet { title, night, begins: c.shown(n.begins) });
    }
    // A rotation may come after the renders' time: it waits, and says that there are none.
    let until = if says.stage == Stage::Rotation { n.over } else { n.renders };
    if now >= until {
        return Err(Refusal::Over { title, night });
    }
    Ok(Release::open(&title, &n, &c.name, now))
}
