//! The record of a release: its contents, and every change that it allows.

use crate::calendar::{Night, Stage, find_nearest};
use crate::release_ref::ReleaseRef;
use hazelsaddle_coordination::census;
use hazelsaddle_coordination::record::{
    CoordinationRecord, Key, Phase, TransitionError, Unreadable, read_page_items, split_into_pages,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// In place of a job's id in a waiver: waives the declared renders that are missing, or that there is no render at all.
pub const MISSING: &str = "missing";
/// Longest reason of a waiver, in bytes. Together with [`WAIVER_LIMIT`] it keeps the record's head within the state service's
/// value limit.
const REASON_LIMIT_BYTES: usize = 120;
/// Most waivers of a release.
const WAIVER_LIMIT: usize = 12;

/// What closed a release.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ClosedBy {
    /// The calendar: its renders were due.
    Calendar,
    /// An operator.
    Operator,
    /// The declared count: all declared renders had joined.
    Count,
}

impl ClosedBy {
    /// As text for users and operators.
    #[must_use]
    pub const fn description(self) -> &'static str {
        match self {
            ClosedBy::Calendar => "the calendar",
            ClosedBy::Operator => "an operator",
            ClosedBy::Count => "the declared count",
        }
    }
}

/// The body of a release's record. Its times are those that the calendar gave when the release was opened; later changes of
/// the calendar don't affect it. It is stored under its field names.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Release {
    /// The title.
    pub title: String,
    /// The night.
    pub night: String,
    /// The name of the calendar by which it was opened.
    pub calendar: String,
    /// When the night begins; this and all other times are in microseconds since 1970.
    pub begins_us: u64,
    /// When renders are due; the release closes then.
    pub renders_us: u64,
    /// When the rotation is due.
    pub due_us: u64,
    /// When it was opened.
    pub opened_us: u64,
    /// How many renders are declared, as counted by the census; only for display. [`crate::readiness::assess`] counts anew.
    #[serde(default)]
    pub expects: Option<u64>,
    /// What closed it.
    #[serde(default)]
    pub closed_by: Option<ClosedBy>,
    /// The waivers: jobs for which the rotation doesn't wait, each with the reason. They stay on display for ever.
    #[serde(default)]
    pub waived: BTreeMap<String, String>,
    /// Whether a rotation may have started. Stored before a rotation's first task starts.
    #[serde(default)]
    pub rotated: bool,
    /// Whether it was reopened. Only an operator closes it then.
    #[serde(default)]
    pub by_hand: bool,
    /// Fields that this version of the code does not know; written back unchanged.
    #[serde(flatten)]
    pub unknown_fields: Map<String, Value>,
}

/// A member of a release: a rebuild or render that the rotation waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The job's id.
    pub id: String,
    /// Rebuild or render.
    pub stage: Stage,
    /// For a rebuild, how many renders it declares.
    pub expects: Option<u64>,
}

/// Why a change is not allowed. The texts are sent to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The release is already in this phase, or in one that excludes the change.
    #[error("the set is {0:?} already")]
    AlreadyInPhase(Phase),
    /// The rotation of this title and night has started.
    #[error("the rotation of {0} on {1} has started: what it was made of can't change any more")]
    RotationStarted(String, String),
    /// The members are not all known before the census is complete.
    #[error("the set is being counted; ask again in a moment")]
    CountInProgress,
    /// The job is not a member.
    #[error("{job} is no render or rebuild of this set{}", nearest.as_ref() .map( | l | format!("; the nearest is {l}") ) .unwrap_or_default() ) ]
    NoSuchMember {
        /// The job.
        job: String,
        /// The member with the most similar id.
        nearest: Option<String>,
    },
    /// The reason is empty, too long or has control characters.
    #[error("a reason of 1 to {REASON_LIMIT_BYTES} bytes on one line is needed")]
    InvalidReason,
    /// The release has `WAIVER_LIMIT` waivers; more might exceed the state service's value limit.
    #[error("{WAIVER_LIMIT} are waived already; reopen the set or send the renders anew")]
    TooManyWaivers,
    /// The record can't be decoded.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// The record does not allow the change.
    #[error("{0}")]
    Transition(#[from] TransitionError),
}

impl Release {
    /// Creates a release in the phase open.
    #[must_use]
    pub fn open(title: &str, night: &Night, calendar: &str, now: u64) -> Release {
        Release {
            title: title.to_owned(),
            night: night.name(),
            calendar: calendar.to_owned(),
            begins_us: night.begins,
            renders_us: night.renders_due,
            due_us: night.rotation_due,
            opened_us: now,
            expects: None,
            closed_by: None,
            waived: BTreeMap::new(),
            rotated: false,
            by_hand: false,
            unknown_fields: Map::new(),
        }
    }

    /// Decodes a record's body.
    ///
    /// # Errors
    /// If it is malformed. Everything that depends on the record is held then.
    pub fn read(record: &CoordinationRecord) -> Result<Release, Unreadable> {
        serde_json::from_value(record.body.clone()).map_err(|_| Unreadable::Damaged("body"))
    }

    /// Encodes the record, at version 1.
    #[must_use]
    pub fn to_record(&self) -> CoordinationRecord {
        CoordinationRecord::open(1, self.to_json())
    }

    fn to_json(&self) -> Value {
        // Can't fail: all keys are strings and all numbers are finite.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Whether the rotation is overdue: past its due time and not started.
    #[must_use]
    pub fn is_late(&self, now: u64) -> bool {
        !self.rotated && now > self.due_us
    }

    /// Whether an open release has to be closed now, and by what. `known_members` may be incomplete, but must not contain
    /// cancelled jobs: if a cancelled render were counted, the release could close before the render is submitted again.
    #[must_use]
    pub fn close_reason<'a>(
        &self,
        known_members: impl IntoIterator<Item = &'a Member>,
        now: u64,
    ) -> Option<ClosedBy> {
        if self.by_hand {
            return None;
        }
        let (declared, renders) = count_renders(known_members);
        if declared.is_some_and(|declared| renders >= declared) {
            return Some(ClosedBy::Count);
        }
        (now >= self.renders_us).then_some(ClosedBy::Calendar)
    }
}

/// Counts the renders: how many the rebuilds declare in total (None if no rebuild declares any), and how many there are.
pub(crate) fn count_renders<'a>(members: impl IntoIterator<Item = &'a Member>) -> (Option<u64>, u64) {
    let (mut declared, mut renders) = (None, 0);
    for member in members {
        match member.stage {
            Stage::Render => renders += 1,
            Stage::Rebuild => {
                declared = member.expects.map(|expects| declared.unwrap_or(0) + expects).or(declared)
            }
            Stage::Rotation => {}
        }
    }
    (declared, renders)
}

impl Member {
    /// The member that a job is according to its declaration; None for a rotation.
    fn from_declaration(id: &str, declaration: &Value) -> Option<Member> {
        match ReleaseRef::parse(declaration) {
            Ok(release) if release.stage == Stage::Rotation => None,
            Ok(release) => Some(Member { id: id.to_owned(), stage: release.stage, expects: release.expects }),
            // A declaration that can't be parsed may come from a newer version of the code. The job has joined, so the
            // rotation must wait for it.
            Err(_) => Some(Member { id: id.to_owned(), stage: Stage::Render, expects: None }),
        }
    }

    /// Encodes the member as an item of a page.
    fn to_item(&self) -> Value {
        match self.expects {
            Some(expects) => json!([self.id, self.stage, expects]),
            None => json!([self.id, self.stage]),
        }
    }

    /// Decodes an item of a page.
    fn from_item(item: &Value) -> Option<Member> {
        let id = item.get(0)?.as_str()?.to_owned();
        let stage = Stage::parse(item.get(1)?.as_str()?)?;
        Some(Member { id, stage, expects: item.get(2).and_then(Value::as_u64) })
    }
}

/// Decodes the members on all pages of a closed release, in the order of the pages.
///
/// # Errors
/// If any page or item can't be decoded. The list would be incomplete then, so none of it may be used.
pub fn read_member_pages<'a>(pages: impl IntoIterator<Item = &'a Value>) -> Result<Vec<Member>, Unreadable> {
    let mut members = Vec::new();
    for page in pages {
        for item in read_page_items(page)? {
            members.push(Member::from_item(item).ok_or(Unreadable::Damaged("items"))?);
        }
    }
    Ok(members)
}

/// Changes phase and body of a record, if the record allows that transition.
fn with_change(
    record: &CoordinationRecord,
    phase: Phase,
    pages: usize,
    change: impl FnOnce(&mut Release),
) -> Result<CoordinationRecord, ChangeError> {
    let mut body = Release::read(record)?;
    change(&mut body);
    let next = CoordinationRecord { version: record.version, phase, pages, body: body.to_json() };
    record.check_transition(&next)?;
    Ok(next)
}

/// The first step of closing. Once the returned record is stored no job can join, and the census may begin.
///
/// # Errors
/// If the release is not open.
pub fn begin_closing(record: &CoordinationRecord, by: ClosedBy) -> Result<CoordinationRecord, ChangeError> {
    match record.phase {
        Phase::Open => with_change(record, Phase::Closing, 0, |body| body.closed_by = Some(by)),
        phase => Err(ChangeError::AlreadyInPhase(phase)),
    }
}

/// Closes a release on behalf of an operator; the first step, as in [`begin_closing`].
///
/// # Errors
/// If the release is not open.
pub fn close(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    begin_closing(record, ClosedBy::Operator)
}

/// The second step of closing: returns the pages, of at most `page_bytes` each, with all members that the census found, and
/// the new head. The pages must be written before the head, each on condition that the head is unchanged, so that a page whose
/// write is delayed can't change a list that is already in use.
///
/// # Errors
/// If the release is not closing, or a member does not fit on a page.
pub fn finish_closing(
    key: &Key,
    record: &CoordinationRecord,
    found: &BTreeMap<String, census::Member>,
    page_bytes: usize,
) -> Result<(Vec<(String, Value)>, CoordinationRecord), ChangeError> {
    if record.phase != Phase::Closing {
        return Err(ChangeError::AlreadyInPhase(record.phase));
    }
    let members: Vec<Member> =
        found.iter().filter_map(|(id, counted)| Member::from_declaration(id, &counted.declaration)).collect();
    let is_not_cancelled = |member: &&Member| {
        found.get(&member.id).is_none_or(|counted| counted.state != census::CensusJobState::Cancelled)
    };
    let (expects, _) = count_renders(members.iter().filter(is_not_cancelled));
    let (values, lost) = split_into_pages(members.iter().map(Member::to_item), page_bytes);
    if lost > 0 {
        return Err(Unreadable::Damaged("items").into());
    }
    let head = with_change(record, Phase::Closed, values.len(), |body| body.expects = expects)?;
    let with_key = |(index, value)| (key.page_key(record.version, index), value);
    Ok((values.into_iter().enumerate().map(with_key).collect(), head))
}

/// Adds a waiver, so that the rotation doesn't wait for a job, or for the renders that are missing ([`MISSING`]). `known`: all
/// members of a closed release; before that, those known so far.
///
/// # Errors
/// If the rotation has started, the reason is malformed, or there is no such member.
pub fn waive(
    record: &CoordinationRecord,
    known: &[Member],
    job: &str,
    reason: &str,
) -> Result<CoordinationRecord, ChangeError> {
    let body = Release::read(record)?;
    if body.rotated {
        return Err(ChangeError::RotationStarted(body.title, body.night));
    }
    if reason.trim().is_empty() || reason.len() > REASON_LIMIT_BYTES || reason.chars().any(char::is_control) {
        return Err(ChangeError::InvalidReason);
    }
    let ids = || known.iter().map(|member| member.id.as_str());
    if job != MISSING && !ids().any(|id| id == job) {
        let nearest = find_nearest(job, ids()).map(str::to_owned);
        return Err(ChangeError::NoSuchMember { job: job.to_owned(), nearest });
    }
    if job == MISSING && record.phase != Phase::Closed {
        // How many renders are missing is known only after the release is closed. An earlier waiver would also cover
        // renders that go missing after the operator's decision.
        return Err(ChangeError::CountInProgress);
    }
    if body.waived.len() >= WAIVER_LIMIT && !body.waived.contains_key(job) {
        return Err(ChangeError::TooManyWaivers);
    }
    // A repeated waiver keeps the first reason, on which the decision was based.
    with_change(record, record.phase, record.pages, |body| {
        body.waived.entry(job.to_owned()).or_insert_with(|| reason.trim().to_owned());
    })
}

/// Reopens a closed release, as a new version of its record, so that renders may join again. Its members stay, and only an
/// operator closes it.
///
/// # Errors
/// If the rotation has started, or the release is not closed.
pub fn reopen(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    let mut body = Release::read(record)?;
    if body.rotated {
        return Err(ChangeError::RotationStarted(body.title, body.night));
    }
    match record.phase {
        Phase::Open => return Err(ChangeError::AlreadyInPhase(Phase::Open)),
        // Reopening would invalidate the census that is under way.
        Phase::Closing => return Err(ChangeError::CountInProgress),
        Phase::Closed => {}
    }
    // The waiver of missing renders does not extend to renders that are missing when the release is closed again. It is kept
    // for display under the number of the old version.
    if let Some(reason) = body.waived.remove(MISSING) {
        body.waived.insert(format!("{MISSING}/{}", record.version), reason);
    }
    (body.closed_by, body.expects, body.by_hand) = (None, None, true);
    let next = CoordinationRecord::open(record.version + 1, body.to_json());
    record.check_transition(&next)?;
    Ok(next)
}

/// Marks the rotation as started. The result must be stored before the rotation's first task starts.
pub(crate) fn mark_rotated(record: &CoordinationRecord) -> Result<CoordinationRecord, ChangeError> {
    match record.phase {
        Phase::Closed => with_change(record, Phase::Closed, record.pages, |body| body.rotated = true),
        phase => Err(ChangeError::AlreadyInPhase(phase)),
    }
}
