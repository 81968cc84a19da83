//! Decides whether a rotation may start, and what it waits for.

use crate::calendar::Stage;
use crate::release_record::{MISSING, Member, Release, count_renders, mark_rotated};
use hazelsaddle_coordination::record::{CoordinationRecord, Phase};
use hazelsaddle_coordination::record_cache::CachedRecord;
use serde::Serialize;
use std::fmt;

/// The state of a member according to its stored record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The job has not ended.
    Live,
    /// The job has not ended, and has failed on several machines.
    Suspected,
    /// The job's final record is stored: done.
    Done,
    /// The job's final record is stored: cancelled.
    Cancelled,
    /// The job's record has not been read yet.
    Unread,
    /// The job's record can't be decoded.
    Unreadable,
}

/// A cause for which a rotation is held. It is sent to operators as JSON, under the names of its variants and fields.
#[derive(Serialize, Clone, Debug, PartialEq, Eq)]
#[serde(tag = "cause", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Cause {
    /// The release's record has not been read yet.
    Unread,
    /// The release has no record: no job has joined.
    NotOpened,
    /// The release's record can't be decoded.
    Unreadable { why: String },
    /// The release is open: members may still join.
    NotClosed { renders_us: u64, by_hand: bool },
    /// The release is closing: the census of its members is not complete.
    Counting,
    /// The pages with the list of members have not been read yet, or can't be decoded.
    Pages,
    /// There are fewer renders than declared.
    Missing { declared: u64, missing: u64 },
    /// There is no render at all, so there is no bundle to bring into the shops.
    NoRender,
    /// A member has not ended.
    Live { job: String, stage: Stage },
    /// A member has failed on several machines.
    Suspected { job: String, stage: Stage },
    /// A member was cancelled.
    Cancelled { job: String, stage: Stage },
    /// A member's record has not been read yet.
    JobUnread { job: String, stage: Stage },
    /// A member's record can't be decoded.
    JobUnreadable { job: String, stage: Stage },
}

impl Cause {
    /// The member that is the cause, if it is one.
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

/// Whether a rotation of a release may start.
#[derive(Clone, Debug, PartialEq)]
pub enum Readiness {
    /// It may start: the release's record says so, and never changes after that.
    MayStart,
    /// It may start once this record has been written, on condition that the present one is unchanged.
    Ready(CoordinationRecord),
    /// It may not start yet.
    Held {
        /// What it waits for; never empty.
        causes: Vec<Cause>,
    },
}

/// Assesses whether a rotation may start. `members`: all members of a closed release, from its pages; of a release that is not
/// closed, those known so far, which are only for display. `state` must come from stored records.
#[must_use]
pub fn assess(
    cached_record: &CachedRecord,
    members: Option<&[Member]>,
    state: impl Fn(&str) -> MemberState,
) -> Readiness {
    let held_by = |cause| Readiness::Held { causes: vec![cause] };
    let record = match cached_record {
        CachedRecord::NotRead => return held_by(Cause::Unread),
        CachedRecord::Absent => return held_by(Cause::NotOpened),
        CachedRecord::Unreadable(error) => return held_by(Cause::Unreadable { why: error.to_string() }),
        CachedRecord::Present(record) => record,
    };
    let body = match Release::read(record) {
        Ok(body) => body,
        Err(error) => return held_by(Cause::Unreadable { why: error.to_string() }),
    };
    if body.rotated {
        return Readiness::MayStart;
    }
    let mut causes = Vec::new();
    match record.phase {
        Phase::Open => causes.push(Cause::NotClosed { renders_us: body.renders_us, by_hand: body.by_hand }),
        Phase::Closing => causes.push(Cause::Counting),
        Phase::Closed if members.is_none() => causes.push(Cause::Pages),
        Phase::Closed => {}
    }
    let members = members.unwrap_or_default();
    causes.extend(members.iter().filter(|member| !body.waived.contains_key(&member.id)).filter_map(
        |member| {
            let (job, stage) = (member.id.clone(), member.stage);
            match state(&member.id) {
                MemberState::Done => None,
                MemberState::Live => Some(Cause::Live { job, stage }),
                MemberState::Suspected => Some(Cause::Suspected { job, stage }),
                MemberState::Cancelled => Some(Cause::Cancelled { job, stage }),
                MemberState::Unread => Some(Cause::JobUnread { job, stage }),
                MemberState::Unreadable => Some(Cause::JobUnreadable { job, stage }),
            }
        },
    ));
    if record.phase == Phase::Closed && !causes.contains(&Cause::Pages) && !body.waived.contains_key(MISSING)
    {
        // A cancelled render does not count, even if it is waived: it may have been submitted again, and counting both
        // would hide that another render is missing.
        let (declared, renders) =
            count_renders(members.iter().filter(|member| state(&member.id) != MemberState::Cancelled));
        let declared = declared.unwrap_or(0);
        if declared > renders {
            causes.push(Cause::Missing { declared, missing: declared - renders });
        } else if renders == 0 {
            // Without a render the rotation would bring the previous night's bundles into the shops again.
            causes.push(Cause::NoRender);
        }
    }
    if !causes.is_empty() {
        return Readiness::Held { causes };
    }
    match mark_rotated(record) {
        Ok(next) => Readiness::Ready(next),
        Err(error) => held_by(Cause::Unreadable { why: error.to_string() }),
    }
}
