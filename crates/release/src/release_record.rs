//! The record of a release's set of jobs: what it says, and every change that it allows.

use crate::calendar::{Night, Stage, find_nearest};
use crate::release_ref::ReleaseRef;
use hazelsaddle_coordination::census;
use hazelsaddle_coordination::record::{
    CoordinationRecord, Key, Phase, TransitionError, Unreadable, read_page_items, split_into_pages,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Stands for a job in a waiver: the renders that were declared and never came, or all of them.
pub const MISSING: &str = "missing";
/// Longest reason of a waiver, in bytes. With [`WAIVER_LIMIT`] it bounds the head, which must fit into a value.
const REASON_LIMIT: usize = 120;
/// Most waivers of a set.
const WAIVER_LIMIT: usize = 12;

/// Who closed a set.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ClosedBy {
    /// Its renders were due.
    Calendar,
    /// An operator.
    Operator,
    /// All declared renders were there.
    Count,
}

impl ClosedBy {
    /// In words.
    #[must_use]
    pub const fn description(self) -> &'static str {
        match self {
            ClosedBy::Calendar => "the calendar",
            ClosedBy::Operator => "an operator",
            ClosedBy::Count => "the declared count",
        }
    }
}

/// The body of a record. The times are the calendar's as computed when it was opened: a calendar that changes doesn't change a
/// night under way.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Release {
    /// The title.
    pub title: String,
    /// The night.
    pub night: String,
    /// The calendar that it was opened by.
    pub calendar: String,
    /// When the night begins; this and all times in microseconds since 1970.
    pub begins_us: u64,
    /// When renders are due: closed by itself then.
    pub renders_us: u64,
    /// When the rotation is due.
    pub due_us: u64,
    /// When it was opened.
    pub opened_us: u64,
    /// Renders declared, as the census found it: to be shown. Verdicts count themselves.
    #[serde(default)]
    pub expects: Option<u64>,
    /// Who closed it.
    #[serde(default)]
    pub closed_by: Option<ClosedBy>,
    /// Jobs that the rotation does without, and why. They are shown for ever.
    #[serde(default)]
    pub waived: BTreeMap<String, String>,
    /// On record before the first task of a rotation starts.
    #[serde(default)]
    pub rotated: bool,
    /// Opened again: closed by an operator alone.
    #[serde(default)]
    pub by_hand: bool,
    /// Members of the body that this version does not know: written again as they were read.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A job that the rotation waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The job.
    pub id: String,
    /// Rebuild or render.
    pub stage: Stage,
    /// A rebuild: how many renders it declares.
    pub expects: Option<u64>,
}

/// A change that is not allowed, for an operator to read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// It is in that phase already.
    #[error("the set is {0:?} already")]
    Already(Phase),
    /// It is too late.
    #[error("the rotation of {0} on {1} has started: what it was made of can't change any more")]
    Rotated(String, String),
    /// Not before all members are known.
    #[error("the set is being counted; ask again in a moment")]
    CountInProgress,
    /// No such job.
    #[error("{job} is no render or rebuild of this set{}", like.as_ref() .map( | l | format!("; the nearest is {l}") ) .unwrap_or_default() ) ]
    NoSuchMember {
        /// The job.
        job: String,
        /// The member nearest to it.
        like: Option<String>,
    },
    /// The reason is missing or malformed.
    #[error("a reason of 1 to {REASON_LIMIT} bytes on one line is needed")]
    InvalidReason,
    /// The head must fit into a value of the state service.
    #[error("{WAIVER_LIMIT} are waived already; reopen the set or send the renders anew")]
    TooManyWaivers,
    /// The record can't be read.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// The record does not allow the change.
    #[error("{0}")]
    Transition(#[from] TransitionError),
}

impl Release {
    /// A set that is opened.
    #[must_use]
    pub fn open(title: &str, night: &Night, calendar: &str, now: u64) -> Release {
        Release {
            title: title.to_owned(),
            night: night.name(),
            calendar: calendar.to_owned(),
            begins_us: night.begins,
            renders_us: night.renders,
            due_us: night.rotation,
            opened_us: now,
            expects: None,
            closed_by: None,
            waived: BTreeMap::new(),
            rotated: false,
            by_hand: false,
            rest: Map::new(),
        }
    }

    /// Reads a record's body.
    ///
    /// # Errors
    /// If it is malformed: what depends on it is held.
    pub fn read(record: &CoordinationRecord) -> Result<Release, Unreadable> {
        serde_json::from_value(record.body.clone()).map_err(|_| Unreadable::Damaged("body"))
    }

    /// Its record, at the first version.
    #[must_use]
    pub fn to_record(&self) -> CoordinationRecord {
        CoordinationRecord::open(1, self.value())
    }

    fn value(&self) -> Value {
        // It can't fail: all keys are strings and all numbers finite.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Whether the rotation is late: past its due time and not started.
    #[must_use]
    pub fn is_late(&self, now: u64) -> bool {
        !self.rotated && now > self.due_us
    }

    /// Whether an open set is to be closed now, and why. `seen`: the members that are known to be on record; some may be
    /// missing. Cancelled ones must not be among them, or a render that is submitted anew would come too late.
    #[must_use]
    pub fn close_reason<'a>(&self, seen: impl IntoIterator<Item = &'a Member>, now: u64) -> Option<ClosedBy> {
        if self.by_hand {
            return None;
        }
        let (declared, renders) = count_renders(seen);
        if declared.is_some_and(|n| renders >= n) {
            return Some(ClosedBy::Count);
        }
        (now >= self.renders_us).then_some(ClosedBy::Calendar)
    }
}

/// How many renders the rebuilds declare in all, if any does, and how many renders there are.
pub(crate) fn count_renders<'a>(members: impl IntoIterator<Item = &'a Member>) -> (Option<u64>, u64) {
    let (mut declared, mut renders) = (None, 0);
    for member in members {
        match member.stage {
            Stage::Render => renders += 1,
            Stage::Rebuild => declared = member.expects.map(|n| declared.unwrap_or(0) + n).or(declared),
            Stage::Rotation => {}
        }
    }
    (declared, renders)
}

impl Member {
    /// The member that a job is by what it declares; None for a rotation.
    fn from_declaration(id: &str, declaration: &Value) -> Option<Member> {
        match ReleaseRef::parse(declaration) {
            Ok(release) if release.stage == Stage::Rotation => None,
            Ok(release) => Some(Member { id: id.to_owned(), stage: release.stage, expects: release.expects }),
            // It has joined, whatever a newer version calls it: it is waited for.
            Err(_) => Some(Member { id: id.to_owned(), stage: Stage::Render, expects: None }),
        }
    }

    /// The member as an item of a page.
    fn to_item(&self) -> Value {
        match self.expects {
            Some(n) => json!([self.id, self.stage, n]),
            None => json!([self.id, self.stage]),
        }
    }

    fn from_item(item: &Value) -> Option<Member> {
        let id = item.get(0)?.as_str()?.to_owned();
        let stage = Stage::parse(item.get(1)?.as_str()?)?;
        Some(Member { id, stage, expects: item.get(2).and_then(Value::as_u64) })
    }
}

/// The members on all pages of a closed set, in the order of the pages.
///
/// # Errors
/// If one can't be read: the others must not be relied on.
pub fn read_member_pages<'a>(pages: impl IntoIterator<Item = &'a Value>) -> Result<Vec<Member>, Unreadable> {
    let mut out = Vec::new();
    for page in pages {
        for item in read_page_items(page)? {
            out.push(Member::from_item(item).ok_or(Unreadable::Damaged("items"))?);
        }
    }
    Ok(out)
}

/// The record with its body changed, if it allows that.
fn with_change(
    record: &CoordinationRecord,
    phase: Phase,
    pages: usize,
    change: impl FnOnce(&mut Release),
) -> Result<CoordinationRecord, ChangeError> {
    let mut body = Release::read(record)?;
    change(&mut body);
    let next = CoordinationRecord { version: record.version, phase, pages, body: body.value() };
    record.check_transition(&next)?;
    Ok(next)
}

/// The first step of closing: once it is on record no job can join, and the census may begin.
///
/// # Errors
/// If it is not open.
pub fn begin_closing(record: &CoordinationRecord, by: ClosedBy) -> Result<CoordinationRecord, ChangeError> {
    match record.phase {
        Phase::Open => with_change(record, Phase::Closing, 0, |b| b.closed_by = Some(by)),
        phase => Err(ChangeError::Already(phase)),
    }
}

/// An operator closes it.
///
/// # Errors
/// If it is not open.
pub fn close(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    begin_closing(record, ClosedBy::Operator)
}

/// The second step: all members on pages of at most `bytes`, and the head. Pages are written before the head, each on condition
/// that the head is unchanged, so that a page that is written late changes nothing that was decided.
///
/// # Errors
/// If it is not closing, or a member fits on no page.
pub fn finish_closing(
    key: &Key,
    record: &CoordinationRecord,
    found: &BTreeMap<String, census::Member>,
    bytes: usize,
) -> Result<(Vec<(String, Value)>, CoordinationRecord), ChangeError> {
    if record.phase != Phase::Closing {
        return Err(ChangeError::Already(record.phase));
    }
    let members: Vec<Member> =
        found.iter().filter_map(|(id, m)| Member::from_declaration(id, &m.declaration)).collect();
    let standing =
        |m: &&Member| found.get(&m.id).is_none_or(|f| f.state != census::CensusJobState::Cancelled);
    let (expects, _) = count_renders(members.iter().filter(standing));
    let (values, lost) = split_into_pages(members.iter().map(Member::to_item), bytes);
    if lost > 0 {
        return Err(Unreadable::Damaged("items").into());
    }
    let head = with_change(record, Phase::Closed, values.len(), |b| b.expects = expects)?;
    let named = |(n, v)| (key.page_key(record.version, n), v);
    Ok((values.into_iter().enumerate().map(named).collect(), head))
}

/// Lets the rotation do without a job, or without the renders that are missing ([`MISSING`]). `known`: all members of a closed
/// set; before that, those known so far.
///
/// # Errors
/// If the rotation has started, the reason is malformed, or there is no such member.
pub fn waive(
    record: &CoordinationRecord,
    known: &[Member],
    job: &str,
    why: &str,
) -> Result<CoordinationRecord, ChangeError> {
    let body = Release::read(record)?;
    if body.rotated {
        return Err(ChangeError::Rotated(body.title, body.night));
    }
    if why.trim().is_empty() || why.len() > REASON_LIMIT || why.chars().any(char::is_control) {
        return Err(ChangeError::InvalidReason);
    }
    let ids = || known.iter().map(|m| m.id.as_str());
    if job != MISSING && !ids().any(|id| id == job) {
        let like = find_nearest(job, ids()).map(str::to_owned);
        return Err(ChangeError::NoSuchMember { job: job.to_owned(), like });
    }
    if job == MISSING && record.phase != Phase::Closed {
        // What is missing is known once the set is closed; before that, the waiver would cover whatever goes missing later.
        return Err(ChangeError::CountInProgress);
    }
    if body.waived.len() >= WAIVER_LIMIT && !body.waived.contains_key(job) {
        return Err(ChangeError::TooManyWaivers);
    }
    // The first reason stands: it is what was decided.
    with_change(record, record.phase, record.pages, |b| {
        b.waived.entry(job.to_owned()).or_insert_with(|| why.trim().to_owned());
    })
}

/// Lets renders join a closed set again, as a new version that only an operator closes. Those that have joined stay members.
///
/// # Errors
/// If the rotation has started, or it is not closed.
pub fn reopen(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    let mut body = Release::read(record)?;
    if body.rotated {
        return Err(ChangeError::Rotated(body.title, body.night));
    }
    match record.phase {
        Phase::Open => return Err(ChangeError::Already(Phase::Open)),
        // The census that is under way would be of no use.
        Phase::Closing => return Err(ChangeError::CountInProgress),
        Phase::Closed => {}
    }
    // What was missing then says nothing of what will be missing; it is still shown.
    if let Some(why) = body.waived.remove(MISSING) {
        body.waived.insert(format!("{MISSING}/{}", record.version), why);
    }
    (body.closed_by, body.expects, body.by_hand) = (None, None, true);
    let next = CoordinationRecord::open(record.version + 1, body.value());
    record.check_transition(&next)?;
    Ok(next)
}

/// Marks the rotation as started. It is on record before the first task starts.
pub(crate) fn mark_rotated(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    match record.phase {
        Phase::Closed => with_change(record, Phase::Closed, record.pages, |b| b.rotated = true),
        phase => Err(ChangeError::Already(phase)),
    }
}
