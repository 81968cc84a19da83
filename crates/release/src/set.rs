//! A release set's record: what it says, and every change that it allows.

use crate::calendar::{Night, Stage, nearest};
use crate::release_ref::ReleaseRef;
use hazelsaddle_coordination::census;
use hazelsaddle_coordination::record::{
    CoordinationRecord, Key, Phase, TransitionError, Unreadable, items, pages,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// In place of a job: the renders that were declared and never came, or all of them.
pub const MISSING: &str = "missing";
/// Longest reason, in bytes, and most waivers: the head must fit into a value.
const WHY: usize = 120;
const WAIVERS: usize = 12;

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
    pub const fn word(self) -> &'static str {
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
    /// What other versions have put there.
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
    /// It says that already.
    #[error("the set is {0:?} already")]
    Already(Phase),
    /// It is too late.
    #[error("the rotation of {0} on {1} has started: what it was made of can't change any more")]
    Rotated(String, String),
    /// Not before all members are known.
    #[error("the set is being counted; ask again in a moment")]
    Counting,
    /// No such job.
    #[error("{job} is no render or rebuild of this set{}", like.as_ref().map(|l| format!("; the nearest is {l}")).unwrap_or_default())]
    NoMember {
        /// The job.
        job: String,
        /// The member nearest to it.
        like: Option<String>,
    },
    /// The reason.
    #[error("a reason of 1 to {WHY} bytes on one line is needed")]
    Why,
    /// The head must fit into a value of the state service.
    #[error("{WAIVERS} are waived already; reopen the set or send the renders anew")]
    Many,
    /// The record.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// It would go back.
    #[error("{0}")]
    Transition(#[from] TransitionError),
}

impl Release {
    /// A set that begins.
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
    /// If it can't be read: what rests on it is held.
    pub fn read(record: &CoordinationRecord) -> Result<Release, Unreadable> {
        serde_json::from_value(record.body.clone()).map_err(|_| Unreadable::Damaged("body"))
    }

    /// Its record, at the first version.
    #[must_use]
    pub fn record(&self) -> CoordinationRecord {
        CoordinationRecord::open(1, self.value())
    }

    fn value(&self) -> Value {
        // No key of it can be other than a string, and no number is not finite.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Whether the rotation is late: past its due time and not started.
    #[must_use]
    pub fn is_late(&self, now: u64) -> bool {
        !self.rotated && now > self.due_us
    }

    /// Whether an open set is to be closed now. `seen`: those members that are known to be on record; fewer than there are do
    /// no harm. Cancelled ones must not be among them, or a render that is sent anew would come too late.
    #[must_use]
    pub fn to_close<'a>(&self, seen: impl IntoIterator<Item = &'a Member>, now: u64) -> Option<ClosedBy> {
        if self.by_hand {
            return None;
        }
        let (declared, renders) = counted(seen);
        if declared.is_some_and(|n| renders >= n) {
            return Some(ClosedBy::Count);
        }
        (now >= self.renders_us).then_some(ClosedBy::Calendar)
    }
}

/// Renders that rebuilds declare (each those that it will be followed by), and renders.
pub(crate) fn counted<'a>(members: impl IntoIterator<Item = &'a Member>) -> (Option<u64>, u64) {
    let (mut declared, mut renders) = (None, 0);
    for m in members {
        match m.stage {
            Stage::Render => renders += 1,
            Stage::Rebuild => declared = m.expects.map(|n| declared.unwrap_or(0) + n).or(declared),
            Stage::Rotation => {}
        }
    }
    (declared, renders)
}

impl Member {
    fn of(id: &str, says: &Value) -> Option<Member> {
        match ReleaseRef::parse(says) {
            Ok(s) if s.stage == Stage::Rotation => None,
            Ok(s) => Some(Member { id: id.to_owned(), stage: s.stage, expects: s.expects }),
            // It has joined, whatever it is to a newer version: it is waited for.
            Err(_) => Some(Member { id: id.to_owned(), stage: Stage::Render, expects: None }),
        }
    }
    fn item(&self) -> Value {
        match self.expects {
            Some(n) => json!([self.id, self.stage, n]),
            None => json!([self.id, self.stage]),
        }
    }
    fn read(v: &Value) -> Option<Member> {
        let stage = Stage::parse(v.get(1)?.as_str()?)?;
        Some(Member { id: v.get(0)?.as_str()?.to_owned(), stage, expects: v.get(2).and_then(Value::as_u64) })
    }
}

/// The members on all pages of a closed set, in the order of the pages.
///
/// # Errors
/// If one can't be read: nothing may rest on the others.
pub fn members<'a>(pages: impl IntoIterator<Item = &'a Value>) -> Result<Vec<Member>, Unreadable> {
    let mut out = Vec::new();
    for page in pages {
        for item in items(page)? {
            out.push(Member::read(item).ok_or(Unreadable::Damaged("items"))?);
        }
    }
    Ok(out)
}

fn changed(
    record: &CoordinationRecord,
    phase: Phase,
    pages: usize,
    change: impl FnOnce(&mut Release),
) -> Result<CoordinationRecord, ChangeError> {
    let mut body = Release::read(record)?;
    change(&mut body);
    let next = CoordinationRecord { version: record.version, phase, pages, body: body.value() };
    record.allows(&next)?;
    Ok(next)
}

/// The first step of closing: from when it is on record none can join, and the census may begin.
///
/// # Errors
/// If it is not open.
pub fn closing(record: &CoordinationRecord, by: ClosedBy) -> Result<CoordinationRecord, ChangeError> {
    match record.phase {
        Phase::Open => changed(record, Phase::Closing, 0, |b| b.closed_by = Some(by)),
        phase => Err(ChangeError::Already(phase)),
    }
}

/// An operator closes it.
///
/// # Errors
/// If it is not open.
pub fn close(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    closing(record, ClosedBy::Operator)
}

/// The second step: all members, on pages of no more than `bytes`, and then the head. Pages are written before the head, each on
/// condition of the head's mark, so that one which is written late changes nothing that was decided.
///
/// # Errors
/// If it is not closing, or a member fits on no page.
pub fn closed(
    key: &Key,
    record: &CoordinationRecord,
    found: &BTreeMap<String, census::Member>,
    bytes: usize,
) -> Result<(Vec<(String, Value)>, CoordinationRecord), ChangeError> {
    if record.phase != Phase::Closing {
        return Err(ChangeError::Already(record.phase));
    }
    let members: Vec<Member> = found.iter().filter_map(|(id, m)| Member::of(id, &m.declaration)).collect();
    let standing = |m: &&Member| found.get(&m.id).is_none_or(|f| f.state != census::MemberState::Cancelled);
    let (expects, _) = counted(members.iter().filter(standing));
    let (values, lost) = pages(members.iter().map(Member::item), bytes);
    if lost > 0 {
        return Err(Unreadable::Damaged("items").into());
    }
    let head = changed(record, Phase::Closed, values.len(), |b| b.expects = expects)?;
    let named = |(n, v)| (key.page(record.version, n), v);
    Ok((values.into_iter().enumerate().map(named).collect(), head))
}

/// The rotation does without a job, or without the renders that are missing ([`MISSING`]). `known`: all members, if it is closed;
/// before that, those known so far.
///
/// # Errors
/// If the rotation has started, the reason is none, or there is no such member.
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
    if why.trim().is_empty() || why.len() > WHY || why.chars().any(char::is_control) {
        return Err(ChangeError::Why);
    }
    let ids = || known.iter().map(|m| m.id.as_str());
    if job != MISSING && !ids().any(|id| id == job) {
        let like = nearest(job, ids()).map(str::to_owned);
        return Err(ChangeError::NoMember { job: job.to_owned(), like });
    }
    if job == MISSING && record.phase != Phase::Closed {
        // What is missing is known once it is closed; said before, it would cover whatever goes missing later.
        return Err(ChangeError::Counting);
    }
    if body.waived.len() >= WAIVERS && !body.waived.contains_key(job) {
        return Err(ChangeError::Many);
    }
    // The first reason stands: it is what was decided.
    changed(record, record.phase, record.pages, |b| {
        b.waived.entry(job.to_owned()).or_insert_with(|| why.trim().to_owned());
    })
}

/// A closed set takes renders again, as a new version; an operator closes it. Those that have joined stay members.
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
        // The census that is under way would be of no use: let it end.
        Phase::Closing => return Err(ChangeError::Counting),
        Phase::Closed => {}
    }
    // What was missing then says nothing of what will be; it is still shown.
    if let Some(why) = body.waived.remove(MISSING) {
        body.waived.insert(format!("{MISSING}/{}", record.version), why);
    }
    (body.closed_by, body.expects, body.by_hand) = (None, None, true);
    let next = CoordinationRecord::open(record.version + 1, body.value());
    record.allows(&next)?;
    Ok(next)
}

/// A rotation may start: on record before its first task does.
pub(crate) fn rotated(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    match record.phase {
        Phase::Closed => changed(record, Phase::Closed, record.pages, |b| b.rotated = true),
        phase => Err(ChangeError::Already(phase)),
    }
}
