//! Which jobs may join a release's set.
//!
//! The record decides, not the clock: while it is open, a render joins, however late it is; once it says *closing*, none
//! does. A render that comes too late is **refused**, and not put into the next night's set: it was made of this night's
//! prices, its user would take the 201 for "in tonight's release", and a retry a second later would silently land in
//! another release than the first attempt. 422 is final, names the reason, and the user can name another night.
//!
//! A rotation is no member: it may join as long as its night is not over, also a set that is closed.

use crate::calendar::{Calendar, Calendars, EARLY_JOIN_US, Stage, date_of};
use crate::release_record::{ClosedBy, Release};
use crate::release_ref::ReleaseRef;
use hazelsaddle_coordination::record::{CoordinationRecord, Phase};
use hazelsaddle_coordination::record_cache::CachedRecord;

/// Whether a job may join a set.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseJoin {
    /// Yes: it is accepted on condition that the record is unchanged since it was read.
    Join,
    /// There is no record yet: this one is to be written first, on condition that there is none.
    OpenFirst(CoordinationRecord),
    /// Not now (503): the record is not known, or can't be read.
    Retry(String),
    /// No (422), for good.
    Refused(Refusal),
}

/// Why a job may not join. Users don't try again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No calendar has the title.
    #[error("no calendar has the title {title}{}", like.as_ref() .map( | l | format!("; the nearest pattern is {l}") ) .unwrap_or_default() ) ]
    Title {
        /// The title.
        title: String,
        /// The nearest pattern.
        like: Option<String>,
    },
    /// The class takes no part at this stage.
    #[error("class {class} takes no part as {stage}; calendar {calendar} has {} for that", classes.join(", ") ) ]
    Class {
        /// The class.
        class: String,
        /// The stage.
        stage: Stage,
        /// The calendar.
        calendar: String,
        /// The classes that do.
        classes: Vec<String>,
    },
    /// No night is open.
    #[error("no night of {title} is open now{}", next.as_ref() .map( | n | format!("; the next begins at {n}") ) .unwrap_or_default() ) ]
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
    /// The night has not begun.
    #[error("the night {night} of {title} begins at {begins}")]
    NotYet {
        /// The title.
        title: String,
        /// The night.
        night: String,
        /// When it begins.
        begins: String,
    },
    /// The night is over, and nobody opened a set.
    #[error("the night {night} of {title} is over")]
    Over {
        /// The title.
        title: String,
        /// The night.
        night: String,
    },
    /// The set takes no renders and rebuilds any more.
    #[error(
        "the release of {title} on {night} was closed by {by}: a {stage} that comes later is not part of it; name another night, or have an operator reopen it"
    )]
    Closed {
        /// The title.
        title: String,
        /// The night.
        night: String,
        /// The stage of the job.
        stage: Stage,
        /// Who closed it.
        by: &'static str,
    },
}

/// The night of a submission that names none: that of a set on record which it may join (the set's times hold, whatever the
/// calendar says now), or the one that is open by the calendar.
///
/// # Errors
/// If the title is unknown or no night is open.
pub fn resolve_night<'a>(
    calendars: &Calendars,
    sets: impl IntoIterator<Item = (Phase, &'a Release)>,
    release_ref: &ReleaseRef,
    now: u64,
) -> Result<String, Refusal> {
    let calendar = calendars.for_title(&release_ref.title);
    let by_calendar = calendar.and_then(|calendar| calendar.open_at(now, release_ref.stage));
    let mut on_record: Option<&Release> = None;
    for (phase, set) in sets {
        let is_open = match release_ref.stage {
            Stage::Rotation => now <= set.due_us,
            _ => phase == Phase::Open && now < set.renders_us,
        };
        let has_begun = now.saturating_add(EARLY_JOIN_US) >= set.begins_us;
        let is_later = on_record.is_none_or(|other| other.begins_us < set.begins_us);
        if set.title == release_ref.title && is_open && has_begun && is_later {
            on_record = Some(set);
        }
    }
    // A set that was opened by a calendar since changed goes before the night of the new one, unless that began later.
    match (by_calendar, on_record) {
        (Some(night), Some(set)) if night.begins > set.begins_us => Ok(night.name()),
        (_, Some(set)) => Ok(set.night.clone()),
        (Some(night), None) => Ok(night.name()),
        (None, None) => Err(match calendar {
            None => unknown_title(calendars, &release_ref.title),
            Some(calendar) => {
                let next = calendar.next_after(now).map(|night| calendar.format_local(night.begins));
                Refusal::NoNight { title: release_ref.title.clone(), next }
            }
        }),
    }
}

fn unknown_title(calendars: &Calendars, title: &str) -> Refusal {
    Refusal::Title { title: title.to_owned(), like: calendars.nearest(title).map(str::to_owned) }
}

/// Whether a job that names this night may join, by what is known of the record. A job that was accepted is not asked again:
/// its repeat is answered by its own record.
#[must_use]
pub fn decide_join(
    held: &CachedRecord,
    calendars: &Calendars,
    release_ref: &ReleaseRef,
    class: &str,
    now: u64,
) -> ReleaseJoin {
    let calendar = calendars.for_title(&release_ref.title);
    if let Some(c) = calendar
        && !c.accepts(release_ref.stage, class)
    {
        return ReleaseJoin::Refused(Refusal::Class {
            class: class.to_owned(),
            stage: release_ref.stage,
            calendar: c.name.clone(),
            classes: c.classes(release_ref.stage).iter().cloned().collect(),
        });
    }
    match held {
        CachedRecord::NotRead => ReleaseJoin::Retry("the release's record is not read yet".into()),
        CachedRecord::Unreadable(why) => ReleaseJoin::Retry(why.to_string()),
        CachedRecord::Present(record) => join_existing(record, release_ref),
        CachedRecord::Absent => match calendar {
            None => ReleaseJoin::Refused(unknown_title(calendars, &release_ref.title)),
            Some(c) => open_set(c, release_ref, now)
                .map_or_else(ReleaseJoin::Refused, |release| ReleaseJoin::OpenFirst(release.to_record())),
        },
    }
}

/// Whether a job may join a set that is on record.
fn join_existing(record: &CoordinationRecord, release_ref: &ReleaseRef) -> ReleaseJoin {
    let body = match Release::read(record) {
        Ok(body) => body,
        Err(why) => return ReleaseJoin::Retry(why.to_string()),
    };
    if release_ref.stage == Stage::Rotation || record.phase == Phase::Open {
        return ReleaseJoin::Join;
    }
    ReleaseJoin::Refused(Refusal::Closed {
        title: body.title,
        night: body.night,
        stage: release_ref.stage,
        by: body.closed_by.map_or("an operator", ClosedBy::description),
    })
}

/// The set that a job opens which is the first of its night.
fn open_set(calendar: &Calendar, release_ref: &ReleaseRef, now: u64) -> Result<Release, Refusal> {
    let night = release_ref.night.clone().unwrap_or_default();
    let found = date_of(&night).ok().and_then(|date| calendar.night(date));
    let Some(times) = found else {
        return Err(Refusal::NotOne { calendar: calendar.name.clone(), night });
    };
    let title = release_ref.title.clone();
    if now.saturating_add(EARLY_JOIN_US) < times.begins {
        return Err(Refusal::NotYet { title, night, begins: calendar.format_local(times.begins) });
    }
    // A rotation may come after the renders' time: it waits, and says that there are none.
    let until = if release_ref.stage == Stage::Rotation { times.over } else { times.renders };
    if now >= until {
        return Err(Refusal::Over { title, night });
    }
    Ok(Release::open(&title, &times, &calendar.name, now))
}
