//! The status of a set for operators. It follows from records and the time alone, so every controller says the same.

use crate::calendar::Stage;
use crate::readiness::{Cause, MemberState, Readiness, assess};
use crate::release_record::{ClosedBy, MISSING, Member, Release};
use hazelsaddle_coordination::record::Phase;
use hazelsaddle_coordination::record_cache::CachedRecord;
use jiff::Timestamp;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The status of a set.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct ReleaseStatus {
    /// The title.
    pub title: String,
    /// The night.
    pub night: String,
    /// `open`, `closing`, `held`, `ready` or `rotated`; `absent`, `unread` or `unreadable` where there is no record to go by.
    pub state: &'static str,
    /// The record's version: above 1 it was reopened.
    pub version: u64,
    /// The calendar that it was opened by.
    pub calendar: String,
    /// When the night began, renders are due, the rotation is due.
    pub begins: String,
    /// See `begins`.
    pub renders_due: String,
    /// See `begins`.
    pub rotation_due: String,
    /// Who closed it.
    pub closed_by: Option<ClosedBy>,
    /// Renders, and those of them done; of an open set, as known so far.
    pub renders: usize,
    /// See `renders`.
    pub renders_done: usize,
    /// Renders declared, once closed.
    pub expects: Option<u64>,
    /// What the rotation does without, and why.
    pub waived: BTreeMap<String, String>,
    /// Past the due time and not started.
    pub late: bool,
    /// What the rotation waits for.
    pub waits_for: Vec<WaitCause>,
}

/// One thing that the rotation waits for, and its words.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct WaitCause {
    /// The cause.
    #[serde(flatten)]
    pub cause: Cause,
    /// In words.
    pub text: String,
}

fn format_utc(us: u64) -> String {
    let at = i64::try_from(us).ok().and_then(|us| Timestamp::from_microsecond(us).ok());
    at.map_or_else(|| us.to_string(), |t| t.strftime("%FT%TZ").to_string())
}

impl ReleaseStatus {
    /// The status by what is on record. See [`assess`] for `members` and `state`.
    #[must_use]
    pub fn from_record(
        (title, night): (&str, &str),
        held: &CachedRecord,
        members: Option<&[Member]>,
        state: impl Fn(&str) -> MemberState,
        now: u64,
    ) -> ReleaseStatus {
        let mut s = ReleaseStatus {
            title: title.to_owned(),
            night: night.to_owned(),
            state: match held {
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
        if let CachedRecord::Present(record) = held
            && let Ok(body) = Release::read(record)
        {
            s.state = match record.phase {
                _ if body.rotated => "rotated",
                Phase::Open => "open",
                Phase::Closing => "closing",
                Phase::Closed => "held",
            };
            s.late = body.is_late(now);
            (s.version, s.calendar, s.closed_by) = (record.version, body.calendar, body.closed_by);
            (s.begins, s.renders_due) = (format_utc(body.begins_us), format_utc(body.renders_us));
            s.rotation_due = format_utc(body.due_us);
            (s.expects, s.waived) = (body.expects, body.waived);
        }
        let renders = || members.unwrap_or_default().iter().filter(|m| m.stage == Stage::Render);
        s.renders = renders().count();
        s.renders_done = renders().filter(|m| state(&m.id) == MemberState::Done).count();
        match assess(held, members, state) {
            Readiness::MayStart => {}
            Readiness::Ready(_) => s.state = "ready",
            Readiness::Held { why } => {
                s.waits_for =
                    why.into_iter().map(|cause| WaitCause { text: cause.to_string(), cause }).collect();
            }
        }
        s
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
            let again =
                if self.version > 1 { format!(", opened {} times", self.version) } else { String::new() };
            let closed =
                self.closed_by.map_or_else(String::new, |by| format!(", closed by {}", by.description()));
            let of = self.expects.map_or_else(String::new, |n| format!(", {n} declared"));
            writeln!(f, "  renders {}, done {}{of}{closed}{again}", self.renders, self.renders_done)?;
        }
        for w in &self.waits_for {
            writeln!(f, "  waits: {}", w.text)?;
        }
        for (job, why) in &self.waived {
            let what = if job.starts_with(MISSING) { "missing renders" } else { job };
            writeln!(f, "  waived: {what} ({why})")?;
        }
        Ok(())
    }
}
