//! Whether a rotation may start, and what it waits for.

use crate::calendar::Stage;
use crate::release_record::{MISSING, Member, Release, count_renders, mark_rotated};
use hazelsaddle_coordination::record::{CoordinationRecord, Phase};
use hazelsaddle_coordination::record_cache::CachedRecord;
use serde::Serialize;
use std::fmt;

/// The state of a member, by records alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It is not finished.
    Live,
    /// It is not finished, and failed on several machines.
    Suspected,
    /// Its end is on record: done.
    Done,
    /// Its end is on record: cancelled.
    Cancelled,
    /// Its record was not read yet.
    Unread,
    /// Its record can't be read.
    Unreadable,
}

/// One thing that a rotation waits for.
#[derive(Serialize, Clone, Debug, PartialEq, Eq)]
#[serde(tag = "cause", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Cause {
    /// The set's record was not read yet.
    Unread,
    /// Nothing has joined: there is no set.
    NotOpened,
    /// The set's record can't be read.
    Unreadable { why: String },
    /// Members may still join.
    NotClosed { renders_us: u64, by_hand: bool },
    /// Closed; the members are being counted.
    Counting,
    /// The list of members was not read yet, or can't be.
    Pages,
    /// Fewer renders than were declared.
    Missing { declared: u64, missing: u64 },
    /// No render at all: there is no bundle to take into the shops.
    NoRender,
    /// A member is not finished.
    Live { job: String, stage: Stage },
    /// A member failed on several machines.
    Suspected { job: String, stage: Stage },
    /// A member was cancelled.
    Cancelled { job: String, stage: Stage },
    /// A member's record was not read yet.
    JobUnread { job: String, stage: Stage },
    /// A member's record can't be read.
    JobUnreadable { job: String, stage: Stage },
}

impl Cause {
    /// The job, if it is one.
    #[must_use]
    pub fn job(&self) -> Option<&str> {
        match self {
            Cause::Live { job, .. }
            | Cause::Suspected { job, .. }
            | Cause::Cancelled { job, .. }
            | Cause::JobUnread { job, .. }
            | Cause::JobUnreadable { job, .. } => Some(job),
            _ => None,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Unread => f.write_str("the set's record is not read yet"),
            Cause::NotOpened => f.write_str("no render has joined yet"),
            Cause::Unreadable { why } => write!(f, "{why}"),
            Cause::NotClosed { by_hand: true, .. } => {
                f.write_str("the set was reopened: an operator closes it")
            }
            Cause::NotClosed { .. } => f.write_str("the set is not closed: renders may still join"),
            Cause::Counting => f.write_str("the set is closed, its members are being counted"),
            Cause::Pages => f.write_str("the list of members is not read yet"),
            Cause::Missing { declared, missing } => {
                write!(
                    f,
                    "{missing} of {declared} declared renders are missing (waive {MISSING} to do without)"
                )
            }
            Cause::NoRender => write!(f, "no render is part of it (waive {MISSING} to do without)"),
            Cause::Live { job, stage } => write!(f, "{stage} {job} is not finished"),
            Cause::Suspected { job, stage } => write!(f, "{stage} {job} failed on several machines"),
            Cause::Cancelled { job, stage } => write!(f, "{stage} {job} was cancelled"),
            Cause::JobUnread { job, stage } => write!(f, "{stage} {job}: its record is not read yet"),
            Cause::JobUnreadable { job, stage } => write!(f, "{stage} {job}: its record can't be read"),
        }
    }
}

/// Whether a rotation of a set may start.
#[derive(Clone, Debug, PartialEq)]
pub enum Readiness {
    /// Yes, and that is on record. It never changes.
    MayStart,
    /// It may, once this is on record, written on condition of the record's mark. Nothing starts before.
    Ready(CoordinationRecord),
    /// Not yet.
    Held {
        /// What it waits for; never empty.
        why: Vec<Cause>,
    },
}

/// Assesses whether a rotation may start. `members`: all of a closed set, from its pages; of one that is not closed those known
/// so far, which are shown and decide nothing. `state` must come from records.
#[must_use]
pub fn assess(
    held: &CachedRecord,
    members: Option<&[Member]>,
    state: impl Fn(&str) -> MemberState,
) -> Readiness {
    let only = |cause| Readiness::Held { why: vec![cause] };
    let record = match held {
        CachedRecord::NotRead => return only(Cause::Unread),
        CachedRecord::Absent => return only(Cause::NotOpened),
        CachedRecord::Unreadable(why) => return only(Cause::Unreadable { why: why.to_string() }),
        CachedRecord::Present(record) => record,
    };
    let body = match Release::read(record) {
        Ok(body) => body,
        Err(why) => return only(Cause::Unreadable { why: why.to_string() }),
    };
    if body.rotated {
        return Readiness::MayStart;
    }
    let mut why = Vec::new();
    match record.phase {
        Phase::Open => why.push(Cause::NotClosed { renders_us: body.renders_us, by_hand: body.by_hand }),
        Phase::Closing => why.push(Cause::Counting),
        Phase::Closed if members.is_none() => why.push(Cause::Pages),
        Phase::Closed => {}
    }
    let members = members.unwrap_or_default();
    why.extend(members.iter().filter(|m| !body.waived.contains_key(&m.id)).filter_map(|m| {
        let (job, stage) = (m.id.clone(), m.stage);
        match state(&m.id) {
            MemberState::Done => None,
            MemberState::Live => Some(Cause::Live { job, stage }),
            MemberState::Suspected => Some(Cause::Suspected { job, stage }),
            MemberState::Cancelled => Some(Cause::Cancelled { job, stage }),
            MemberState::Unread => Some(Cause::JobUnread { job, stage }),
            MemberState::Unreadable => Some(Cause::JobUnreadable { job, stage }),
        }
    }));
    if record.phase == Phase::Closed && !why.contains(&Cause::Pages) && !body.waived.contains_key(MISSING) {
        // A cancelled render does not count, also if it is waived: it may have been submitted anew, and would then stand for
        // another one that never came.
        let (declared, renders) =
            count_renders(members.iter().filter(|m| state(&m.id) != MemberState::Cancelled));
        let declared = declared.unwrap_or(0);
        if declared > renders {
            why.push(Cause::Missing { declared, missing: declared - renders });
        } else if renders == 0 {
            // Yesterday's bundles would go out again.
            why.push(Cause::NoRender);
        }
    }
    if !why.is_empty() {
        return Readiness::Held { why };
    }
    match mark_rotated(record) {
        Ok(next) => Readiness::Ready(next),
        Err(e) => only(Cause::Unreadable { why: e.to_string() }),
    }
}
