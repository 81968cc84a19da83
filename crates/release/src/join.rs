//! Decides which jobs may join a release.
//!
//! The release's record decides, not the clock: while the record is open, renders may join however late it is; once it is
//! *closing*, none may. A render that comes too late is **rejected** and not moved to the next night's release: it was made
//! of this night's prices, its user would read the 201 as "part of tonight's release", and a retry one second later would
//! silently join another release than the first attempt. The 422 is final and has the reason; the user can name another
//! night.
//!
//! A rotation is not a member. It may join as long as its night is not over, also a release that is closed.

use crate::calendar::{Calendar, Calendars, EARLY_JOIN_US, Stage, parse_night};
use crate::release_record::{ClosedBy, Release};
use crate::release_ref::ReleaseRef;
use hazelsaddle_coordination::record::{CoordinationRecord, Phase};
use hazelsaddle_coordination::record_cache::CachedRecord;

/// Whether a job may join a release.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseJoin {
    /// The job may be accepted, on condition that the record is unchanged since it was read.
    Join,
    /// The release has no record yet: this one must be written first, on condition that none exists.
    OpenFirst(CoordinationRecord),
    /// The record has not been read or can't be decoded (503).
    Retry(String),
    /// The job may not join (422). The decision is final.
    Refused(Refusal),
}

/// Why a job may not join. The texts are sent to users, who don't retry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No calendar has the title.
    #[error("no calendar has the title {title}{}", nearest.as_ref() .map( | l | format!("; the nearest pattern is {l}") ) .unwrap_or_default() ) ]
    UnknownTitle {
        /// The title.
        title: String,
        /// The most similar pattern.
        nearest: Option<String>,
    },
    /// The class may not take part as this stage.
    #[error("class {class} takes no part as {stage}; calendar {calendar} has {} for that", classes.join(", ") ) ]
    ClassNotAllowed {
        /// The class.
        class: String,
        /// The stage.
        stage: Stage,
        /// The calendar.
        calendar: String,
        /// The classes that may.
        classes: Vec<String>,
    },
    /// The job names no night, and none is open.
    #[error("no night of {title} is open now{}", next.as_ref() .map( | n | format!("; the next begins at {n}") ) .unwrap_or_default() ) ]
    NoOpenNight {
        /// The title.
        title: String,
        /// When the next night begins.
        next: Option<String>,
    },
    /// No night begins on the date that the job names.
    #[error("calendar {calendar} has no night on {night}")]
    NoSuchNight {
        /// The calendar.
        calendar: String,
        /// The night.
        night: String,
    },
    /// The night has not begun.
    #[error("the night {night} of {title} begins at {begins}")]
    NotBegun {
        /// The title.
        title: String,
        /// The night.
        night: String,
        /// When it begins.
        begins: String,
    },
    /// The night is over, and the release was never opened.
    #[error("the night {night} of {title} is over")]
    Over {
        /// The title.
        title: String,
        /// The night.
        night: String,
    },
    /// The release is closed to renders and rebuilds.
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
        /// What closed it.
        by: &'static str,
    },
}

/// Chooses the night for a job that names none: the night of an open release that it may join (by the times in the release's
/// record, even if the calendar has changed since), or else the night that is open by the calendar.
///
/// # Errors
/// If the title is unknown or no night is open.
pub fn resolve_night<'a>(
    calendars: &Calendars,
    releases: impl IntoIterator<Item = (Phase, &'a Release)>,
    release_ref: &ReleaseRef,
    now: u64,
) -> Result<String, Refusal> {
    let calendar = calendars.for_title(&release_ref.title);
    let by_calendar = calendar.and_then(|calendar| calendar.night_open_at(now, release_ref.stage));
    let mut recorded: Option<&Release> = None;
    for (phase, release) in releases {
        let is_open = match release_ref.stage {
            Stage::Rotation => now <= release.due_us,
            _ => phase == Phase::Open && now < release.renders_us,
        };
        let has_begun = now.saturating_add(EARLY_JOIN_US) >= release.begins_us;
        let is_later = recorded.is_none_or(|other| other.begins_us < release.begins_us);
        if release.title == release_ref.title && is_open && has_begun && is_later {
            recorded = Some(release);
        }
    }
    // A recorded release, possibly opened under an earlier version of the calendar, takes precedence over the calendar's
    // night, unless that night began later.
    match (by_calendar, recorded) {
        (Some(night), Some(release)) if night.begins > release.begins_us => Ok(night.name()),
        (_, Some(release)) => Ok(release.night.clone()),
        (Some(night), None) => Ok(night.name()),
        (None, None) => Err(match calendar {
            None => unknown_title(calendars, &release_ref.title),
            Some(calendar) => {
                let next = calendar.next_night_after(now).map(|night| calendar.format_local(night.begins));
                Refusal::NoOpenNight { title: release_ref.title.clone(), next }
            }
        }),
    }
}

fn unknown_title(calendars: &Calendars, title: &str) -> Refusal {
    Refusal::UnknownTitle {
        title: title.to_owned(),
        nearest: calendars.nearest_pattern(title).map(str::to_owned),
    }
}

/// Decides whether a job that names a night may join its release. `cached_record` is this controller's copy of the release's
/// record. Not for jobs that are already accepted: a repeated submission is answered from the job's own record.
#[must_use]
pub fn decide_join(
    cached_record: &CachedRecord,
    calendars: &Calendars,
    release_ref: &ReleaseRef,
    class: &str,
    now: u64,
) -> ReleaseJoin {
    let calendar = calendars.for_title(&release_ref.title);
    if let Some(calendar) = calendar
        && !calendar.is_class_allowed(release_ref.stage, class)
    {
        return ReleaseJoin::Refused(Refusal::ClassNotAllowed {
            class: class.to_owned(),
            stage: release_ref.stage,
            calendar: calendar.name.clone(),
            classes: calendar.classes(release_ref.stage).iter().cloned().collect(),
        });
    }
    match cached_record {
        CachedRecord::NotRead => ReleaseJoin::Retry("the release's record is not read yet".into()),
        CachedRecord::Unreadable(error) => ReleaseJoin::Retry(error.to_string()),
        CachedRecord::Present(record) => join_existing(record, release_ref),
        CachedRecord::Absent => match calendar {
            None => ReleaseJoin::Refused(unknown_title(calendars, &release_ref.title)),
            Some(calendar) => open_release(calendar, release_ref, now)
                .map_or_else(ReleaseJoin::Refused, |release| ReleaseJoin::OpenFirst(release.to_record())),
        },
    }
}

/// Decides whether a job may join a release that has a record.
fn join_existing(record: &CoordinationRecord, release_ref: &ReleaseRef) -> ReleaseJoin {
    let body = match Release::read(record) {
        Ok(body) => body,
        Err(error) => return ReleaseJoin::Retry(error.to_string()),
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

/// Creates the release for the first job that joins a night.
fn open_release(calendar: &Calendar, release_ref: &ReleaseRef, now: u64) -> Result<Release, Refusal> {
    let night = release_ref.night.clone().unwrap_or_default();
    let times = parse_night(&night).ok().and_then(|date| calendar.night_on(date));
    let Some(times) = times else {
        return Err(Refusal::NoSuchNight { calendar: calendar.name.clone(), night });
    };
    let title = release_ref.title.clone();
    if now.saturating_add(EARLY_JOIN_US) < times.begins {
        return Err(Refusal::NotBegun { title, night, begins: calendar.format_local(times.begins) });
    }
    // A rotation may open the release after renders are due. It is then held, with the cause that there are no renders.
    let open_until = if release_ref.stage == Stage::Rotation { times.over } else { times.renders_due };
    if now >= open_until {
        return Err(Refusal::Over { title, night });
    }
    Ok(Release::open(&title, &times, &calendar.name, now))
}
