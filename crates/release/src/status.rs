//! The status of a release for operators. It is computed only from stored records and the time, so that all controllers
//! report the same.

use crate::calendar::Stage;
use crate::readiness::{Cause, MemberState, Readiness, assess};
use crate::release_record::{ClosedBy, MISSING, Member, Release};
use hazelsaddle_coordination::record::Phase;
use hazelsaddle_coordination::record_cache::CachedRecord;
use jiff::Timestamp;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The status of a release. It is sent to operators as JSON, under its field names.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseStatus {
    /// The title.
    pub title: String,
    /// The night.
    pub night: String,
    /// `open`, `closing`, `held`, `ready` or `rotated`; `absent`, `unread` or `unreadable` if there is no usable record.
    pub state: &'static str,
    /// The record'status version; above 1 if the release was reopened.
    pub version: u64,
    /// The calendar by which it was opened.
    pub calendar: String,
    /// When the night begins, in UTC, like the other times.
    pub begins: String,
    /// When renders are due.
    pub renders_due: String,
    /// When the rotation is due.
    pub rotation_due: String,
    /// What closed it.
    pub closed_by: Option<ClosedBy>,
    /// How many renders there are; of a release that is not closed, as far as known.
    pub renders: usize,
    /// How many of these renders are done.
    pub renders_done: usize,
    /// How many renders are declared; known once the release is closed.
    pub expects: Option<u64>,
    /// The waivers: jobs for which the rotation doesn't wait, each with the reason.
    pub waived: BTreeMap<String, String>,
    /// Whether the rotation is overdue and has not started.
    pub late: bool,
    /// What the rotation waits for.
    pub waits_for: Vec<WaitCause>,
}

/// A cause for which the rotation is held, with its text.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct WaitCause {
    /// The cause.
    #[serde(flatten)]
    pub cause: Cause,
    /// Its text.
    pub text: String,
}

fn format_utc(us: u64) -> String {
    let timestamp = i64::try_from(us).ok().and_then(|us| Timestamp::from_microsecond(us).ok());
    timestamp.map_or_else(|| us.to_string(), |timestamp| timestamp.strftime("%FT%TZ").to_string())
}

impl ReleaseStatus {
    /// The status according to the record. See [`assess`] for `members` and `state`.
    #[must_use]
    pub fn from_record(
        (title, night): (&str, &str),
        cached_record: &CachedRecord,
        members: Option<&[Member]>,
        state: impl Fn(&str) -> MemberState,
        now: u64,
    ) -> ReleaseStatus {
        let mut status = ReleaseStatus {
            title: title.to_owned(),
            night: night.to_owned(),
            state: match cached_record {
                CachedRecord::NotRead => "unread",
                CachedRecord::Absent => "absent",
                _ => "unreadable",
            },
            version: 0,
            calendar: String::new(),
            begins: String::new(),
            renders_due: String::new(),
            rotation_due: String::new(),
            closed_by: None,
            renders: 0,
            renders_done: 0,
            expects: None,
            waived: BTreeMap::new(),
            late: false,
            waits_for: Vec::new(),
        };
        if let CachedRecord::Present(record) = cached_record
            && let Ok(body) = Release::read(record)
        {
            status.state = match record.phase {
                _ if body.rotated => "rotated",
                Phase::Open => "open",
                Phase::Closing => "closing",
                Phase::Closed => "held",
            };
            status.late = body.is_late(now);
            (status.version, status.calendar, status.closed_by) =
                (record.version, body.calendar, body.closed_by);
            (status.begins, status.renders_due) = (format_utc(body.begins_us), format_utc(body.renders_us));
            status.rotation_due = format_utc(body.due_us);
            (status.expects, status.waived) = (body.expects, body.waived);
        }
        let renders = || members.unwrap_or_default().iter().filter(|member| member.stage == Stage::Render);
        status.renders = renders().count();
        status.renders_done = renders().filter(|member| state(&member.id) == MemberState::Done).count();
        match assess(cached_record, members, state) {
            Readiness::MayStart => {}
            Readiness::Ready(_) => status.state = "ready",
            Readiness::Held { causes } => {
                status.waits_for =
                    causes.into_iter().map(|cause| WaitCause { text: cause.to_string(), cause }).collect();
            }
        }
        status
    }
}

impl fmt::Display for ReleaseStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late = if self.late { ", late" } else { "" };
        writeln!(f, "{} {}: {}{late}", self.title, self.night, self.state)?;
        if !self.calendar.is_empty() {
            writeln!(
                f,
                "  calendar {}: began {}, renders due {}, rotation due {}",
                self.calendar, self.begins, self.renders_due, self.rotation_due
            )?;
            let reopened =
                if self.version > 1 { format!(", opened {} times", self.version) } else { String::new() };
            let closed =
                self.closed_by.map_or_else(String::new, |by| format!(", closed by {}", by.description()));
            let declared = self.expects.map_or_else(String::new, |n| format!(", {n} declared"));
            writeln!(
                f,
                "  renders {}, done {}{declared}{closed}{reopened}",
                self.renders, self.renders_done
            )?;
        }
        for wait in &self.waits_for {
            writeln!(f, "  waits: {}", wait.text)?;
        }
        for (job, reason) in &self.waived {
            let waived = if job.starts_with(MISSING) { "missing renders" } else { job };
            writeln!(f, "  waived: {waived} ({reason})")?;
        }
        Ok(())
    }
}
