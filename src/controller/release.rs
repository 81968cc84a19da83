//! Releases: opened according to the calendar by the first submission, then joined, closed and counted; only
//! then may their rotation start. `hazelsaddle_release` defines a release and when its rotation may start;
//! this module reads and writes its records.

use super::coordination::{CensusMembers, JoinDecision, OperatorRequest};
use super::*;
use crate::job_shard::Hold;
use hazelsaddle_coordination::census::CensusJobState;
use hazelsaddle_coordination::record::{CoordinationRecord, Key, Phase};
use hazelsaddle_coordination::record_cache::CachedRecord;
use hazelsaddle_release::calendar::find_nearest;
use hazelsaddle_release::join::{self, ReleaseJoin};
use hazelsaddle_release::priority_inheritance;
use hazelsaddle_release::readiness::{MemberState, Readiness, assess};
use hazelsaddle_release::release_record::{self, ChangeError, Member, Release};
use hazelsaddle_release::release_ref::{self, ReleaseRef};
use hazelsaddle_release::status::ReleaseStatus;

/// Time between two counts of open releases, which close those that have all declared renders.
const COUNT_PERIOD: Micros = Micros::from_millis(5000);
/// Delay before a page that could not be read is requested again.
const RETRY_DELAY: Micros = Micros::from_millis(300);
/// Maximum number of causes listed in a held job's reason.
const MAX_LISTED_CAUSES: usize = 3;

/// The state of releases on this controller.
#[derive(Default)]
pub(super) struct Releases {
    /// When a release was first seen as closing or closed, by version. Only a census that began later
    /// includes all members.
    closed_at: BTreeMap<(Key, u64), Micros>,
    /// Pages of closed releases, as far as they have been read.
    pages: BTreeMap<(Key, u64), Vec<Option<Value>>>,
    page_retry_at: BTreeMap<(Key, u64, usize), Micros>,
    /// By record: the start time of the census whose live members have been read again.
    rechecked_census: BTreeMap<Key, Micros>,
    /// Open releases need a census that began no earlier than this.
    census_wanted_since: Micros,
    reported_late: BTreeSet<(Key, u64)>,
}

/// What is known of a release's members.
struct ReleaseMembers {
    members: Option<Vec<Member>>,
    states: BTreeMap<String, MemberState>,
}

/// A release named by an operator, and its record as read.
struct SelectedRelease {
    title: String,
    night: String,
    key: Key,
    record: CoordinationRecord,
}

impl ReleaseMembers {
    fn state_of(&self, id: &str) -> MemberState {
        self.states.get(id).copied().unwrap_or(MemberState::Unread)
    }
}

fn member_state(state: CensusJobState) -> MemberState {
    match state {
        CensusJobState::Live => MemberState::Live,
        CensusJobState::Done => MemberState::Done,
        CensusJobState::Cancelled => MemberState::Cancelled,
    }
}

/// The rebuilds and renders among the members that a census found.
fn rebuilds_and_renders(members: &CensusMembers) -> Vec<Member> {
    let member_of = |id: &String, declaration: &Value| {
        let release_ref = ReleaseRef::parse(declaration).ok()?;
        let is_rotation = release_ref.stage == hazelsaddle_release::calendar::Stage::Rotation;
        (!is_rotation).then(|| Member {
            id: id.clone(),
            stage: release_ref.stage,
            expects: release_ref.expects,
        })
    };
    members.iter().filter_map(|(id, member)| member_of(id, &member.declaration)).collect()
}

impl Controller {
    /// Whether operators have set a calendar.
    pub(super) fn has_release_calendar(&self) -> bool {
        !self.settings.operators.calendars.0.is_empty()
    }

    /// Whether a release is finished: its record matters to its own rotation only.
    pub(super) fn is_release_finished(&self, record: &CoordinationRecord) -> bool {
        Release::read(record).is_ok_and(|release| release.rotated)
    }

    /// Decides whether a submission may join its release.
    pub(super) fn decide_release_join(
        &mut self,
        now: Micros,
        id: &str,
        out: &mut Vec<Effect>,
    ) -> JoinDecision {
        let Some(submission) = self.user_requests.submissions.get(id) else { return JoinDecision::Pending };
        let Some(mut named) = submission.spec.release.clone() else { return JoinDecision::Allow(Vec::new()) };
        if !self.has_release_calendar() {
            return JoinDecision::Reject("release: no calendar is set here".into());
        }
        let (requested_at, class, wall) =
            (submission.arrived_at, submission.spec.class.clone(), self.rounds.wall.0);
        if named.night.is_none() {
            if self.coordination.last_list_began.is_none() {
                return JoinDecision::Pending;
            }
            let releases: Vec<(Phase, Release)> = self
                .coordination
                .records
                .iter()
                .filter_map(|(_, entry)| match entry {
                    CachedRecord::Present(record) => Some((record.phase, Release::read(record).ok()?)),
                    _ => None,
                })
                .collect();
            let releases = releases.iter().map(|(phase, release)| (*phase, release));
            match join::resolve_night(&self.settings.operators.calendars, releases, &named, wall) {
                Ok(night) => named.night = Some(night),
                Err(error) => return JoinDecision::Reject(format!("release: {error}")),
            }
            // From now on the job's description, also as stored, names its night.
            if let Some(submission) = self.user_requests.submissions.get_mut(id) {
                submission.description["release"] = named.to_value();
                submission.spec.release = Some(named.clone());
            }
        }
        let Some(key) = named.key() else {
            return JoinDecision::Reject("release: it has no such night".into());
        };
        let cached = self.coordination_record(now, &key);
        match join::decide_join(&cached, &self.settings.operators.calendars, &named, &class, wall) {
            // A rotation is not a member: the release doesn't wait for it.
            ReleaseJoin::Join if named.stage == hazelsaddle_release::calendar::Stage::Rotation => {
                JoinDecision::Allow(Vec::new())
            }
            // The release may start closing while the job joins, so the record must be unchanged.
            ReleaseJoin::Join => JoinDecision::Allow(vec![self.join_condition(&key)]),
            ReleaseJoin::OpenFirst(record) => {
                if !self.is_record_changing(&key) {
                    tracing::info!(title = %named.title, night = ?named.night, first = id, "release opened");
                    self.change_record(now, &key, record, Vec::new(), None, out);
                }
                JoinDecision::Pending
            }
            ReleaseJoin::Retry(_) => JoinDecision::Pending,
            // A refusal is final, so it must not be based on a read that began before the request arrived.
            ReleaseJoin::Refused(why) => match self.coordination_record_since(now, &key, requested_at) {
                Some(_) => JoinDecision::Reject(format!("release: {why}")),
                None => JoinDecision::Pending,
            },
        }
    }

    /// The periodic work on releases.
    pub(super) fn reconcile_releases(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now
            >= self.releases.census_wanted_since
                + COUNT_PERIOD.max(Micros(self.last_census_duration().0 * 10))
        {
            self.releases.census_wanted_since = now;
        }
        self.inherit_due_times();
        let releases: Vec<(Key, CoordinationRecord)> = self
            .coordination
            .records
            .iter()
            .filter(|(key, _)| self.is_record_maintainer(key))
            .filter_map(|(key, cached)| match cached {
                CachedRecord::Present(record)
                    if key.kind() == hazelsaddle_coordination::record::Kind::Release =>
                {
                    Some((key.clone(), record.clone()))
                }
                _ => None,
            })
            .collect();
        for (key, record) in releases {
            if !self.is_record_changing(&key) {
                self.maintain_release(now, &key, &record, out);
            }
        }
        let held_rotations: Vec<(String, Key, u8)> = self
            .job_shard
            .held_jobs()
            .filter(|(_, _, hold)| matches!(hold, Hold::Release(_)))
            .filter_map(|(id, job, _)| {
                let key = job.spec.release.as_ref()?.key()?;
                Some((id.clone(), key, job.spec.priority % crate::spec::GUARANTEED_PRIORITY_BONUS))
            })
            .collect();
        let mut priorities: BTreeMap<String, u8> = BTreeMap::new();
        for (id, key, priority) in held_rotations {
            let members = self.check_rotation(now, &id, &key, out);
            for (member, state) in members.states {
                if state == MemberState::Live {
                    let highest = priorities.entry(member).or_default();
                    *highest = (*highest).max(priority);
                }
            }
        }
        self.job_shard.set_release_priorities(priorities);
        let live: BTreeSet<&Key> = self.coordination.records.iter().map(|(key, _)| key).collect();
        self.releases.closed_at.retain(|(key, _), _| live.contains(key));
        self.releases.pages.retain(|(key, _), _| live.contains(key));
        self.releases.rechecked_census.retain(|key, _| live.contains(key));
    }

    /// Rebuilds and renders led by this controller inherit the due time of their release, so that of two
    /// releases the one that is due first is scheduled first.
    fn inherit_due_times(&mut self) {
        let mut dues: BTreeMap<Key, Option<Micros>> = BTreeMap::new();
        let members = self.job_shard.jobs.iter().filter(|(_, job)| !job.spec.is_rotation());
        let members: Vec<(String, Key)> =
            members.filter_map(|(id, job)| Some((id.clone(), job.spec.release.as_ref()?.key()?))).collect();
        for (id, key) in members {
            let records = &self.coordination.records;
            let due = *dues.entry(key).or_insert_with_key(|key| match records.get(key) {
                CachedRecord::Present(record) => {
                    priority_inheritance::inherited_by_members(&Release::read(record).ok()?, [])?
                        .due_us
                        .map(Micros)
                }
                _ => None,
            });
            self.job_shard.set_release_due(&id, due);
        }
    }

    /// Does what the controller that maintains a release does on its own: closing it.
    fn maintain_release(
        &mut self,
        now: Micros,
        key: &Key,
        record: &CoordinationRecord,
        out: &mut Vec<Effect>,
    ) {
        let Ok(release) = Release::read(record) else { return };
        if release.rotated {
            return;
        }
        if release.is_late(self.rounds.wall.0)
            && self.releases.reported_late.insert((key.clone(), record.version))
        {
            tracing::info!(title = %release.title, night = %release.night, phase = ?record.phase, "release late: its rotation is due and has not started");
        }
        match record.phase {
            Phase::Open => {
                self.census_since(key, self.releases.census_wanted_since);
                let known = self.members_so_far(key);
                let is_not_cancelled = |member: &Member| {
                    known
                        .and_then(|members| members.get(&member.id))
                        .is_some_and(|found| found.state != CensusJobState::Cancelled)
                };
                let members: Vec<Member> = known.map(rebuilds_and_renders).unwrap_or_default();
                let Some(closed_by) = release.close_reason(
                    members.iter().filter(|member| is_not_cancelled(member)),
                    self.rounds.wall.0,
                ) else {
                    return;
                };
                let Ok(next) = release_record::begin_closing(record, closed_by) else { return };
                if self.change_record(now, key, next, Vec::new(), None, out) {
                    tracing::info!(
                        title = %release.title,
                        night = %release.night,
                        closed_by = closed_by.description(),
                        "release closing"
                    );
                }
            }
            Phase::Closing => {
                // Members could still join during a census that began earlier.
                let since = *self.releases.closed_at.entry((key.clone(), record.version)).or_insert(now);
                let Some(found) = self.census_since(key, since).cloned() else { return };
                match release_record::finish_closing(key, record, &found, self.settings.value_bytes) {
                    Ok((pages, next)) => {
                        if self.change_record(now, key, next, pages, None, out) {
                            tracing::info!(
                                title = %release.title,
                                night = %release.night,
                                members = found.len(),
                                "release closed"
                            );
                        }
                    }
                    Err(error) => {
                        tracing::error!(record = %key.head_key(), reason = %error, "a release can't be closed")
                    }
                }
            }
            Phase::Closed => {}
        }
    }

    /// Checks what a held rotation waits for, and releases it when its release is stored as complete.
    fn check_rotation(&mut self, now: Micros, id: &str, key: &Key, out: &mut Vec<Effect>) -> ReleaseMembers {
        let cached = self.coordination_record(now, key);
        let members = self.known_release_members(now, key, &cached, out);
        match assess(&cached, members.members.as_deref(), |member| members.state_of(member)) {
            // Only the stored state lets a task start, since the next leader must reach the same decision.
            Readiness::MayStart => {
                tracing::info!(job = id, record = %key.head_key(), "rotation released");
                self.job_shard.advance_wall_clock(self.rounds.wall);
                self.job_shard.lift_hold(id);
            }
            Readiness::Ready(next) => {
                if self.change_record(now, key, next, Vec::new(), None, out) {
                    tracing::info!(job = id, record = %key.head_key(), "release complete");
                }
            }
            Readiness::Held { causes } => {
                let mut text: Vec<String> =
                    causes.iter().take(MAX_LISTED_CAUSES).map(ToString::to_string).collect();
                if causes.len() > MAX_LISTED_CAUSES {
                    text.push(format!("and {} more", causes.len() - MAX_LISTED_CAUSES));
                }
                self.job_shard.hold_job(id, Hold::Release(text.join("; ")));
            }
        }
        members
    }

    /// What is known of a release's members: for a closed release those on its pages, otherwise those found
    /// so far.
    fn known_release_members(
        &mut self,
        now: Micros,
        key: &Key,
        cached: &CachedRecord,
        out: &mut Vec<Effect>,
    ) -> ReleaseMembers {
        let mut members = ReleaseMembers { members: None, states: BTreeMap::new() };
        let CachedRecord::Present(record) = cached else { return members };
        if record.phase != Phase::Closed {
            if let Some(found) = self.members_so_far(key) {
                members.states =
                    found.iter().map(|(id, member)| (id.clone(), member_state(member.state))).collect();
                let found = rebuilds_and_renders(found);
                members.states.retain(|id, _| found.iter().any(|member| member.id == *id));
                members.members = Some(found);
            }
            return members;
        }
        if self.is_release_finished(record) {
            return members;
        }
        members.members = self.read_closed_members(now, key, record, out);
        let since = *self.releases.closed_at.entry((key.clone(), record.version)).or_insert(now);
        let Some(found) = self.census_since(key, since).cloned() else { return members };
        let mut live: Vec<String> = Vec::new();
        for member in members.members.iter().flatten() {
            let by_census =
                found.get(&member.id).map(|found_member| found_member.state).unwrap_or(CensusJobState::Live);
            let state = by_census.max(self.member_outcome(&member.id).unwrap_or(CensusJobState::Live));
            members.states.insert(member.id.clone(), member_state(state));
            if state == CensusJobState::Live {
                live.push(member.id.clone());
            }
        }
        self.await_members(live.iter().cloned());
        // The watch reports outcomes from now on; those stored between the census and now must be read.
        let census_began = self.census_began(key);
        if members.members.is_some() && self.releases.rechecked_census.get(key).copied() != census_began {
            self.releases.rechecked_census.extend(census_began.map(|began_at| (key.clone(), began_at)));
            self.reread_live_members(live.into_iter());
        }
        members
    }

    /// The members on the pages of a closed release, once all pages are read.
    fn read_closed_members(
        &mut self,
        now: Micros,
        key: &Key,
        record: &CoordinationRecord,
        out: &mut Vec<Effect>,
    ) -> Option<Vec<Member>> {
        let page_set = (key.clone(), record.version);
        let pages = self.releases.pages.entry(page_set).or_insert_with(|| vec![None; record.pages]);
        if pages.len() != record.pages {
            *pages = vec![None; record.pages];
        }
        let missing: Vec<usize> = (0..pages.len()).filter(|page| pages[*page].is_none()).collect();
        if missing.is_empty() {
            return match release_record::read_member_pages(pages.iter().flatten()) {
                Ok(members) => Some(members),
                Err(error) => {
                    tracing::error!(record = %key.head_key(), reason = %error, "unreadable page of a release's members");
                    None
                }
            };
        }
        for page in missing {
            let page_key = (key.clone(), record.version, page);
            if self.releases.page_retry_at.get(&page_key).is_some_and(|retry_at| now < *retry_at) {
                continue;
            }
            if self.state_store.in_flight.len() >= MAX_IN_FLIGHT
                || !self.state_store.request_limiter.take(now, 1.0, 0.2)
            {
                break;
            }
            self.releases.page_retry_at.insert(page_key, now + Micros::from_millis(4000));
            let read = StoreRequest::Get(key.page_key(record.version, page));
            let pending = PendingRecordRequest::Members { key: key.clone(), version: record.version, page };
            self.send_store_request(PendingStoreRequest::Coordination(pending), read, out);
        }
        None
    }

    pub(super) fn apply_members_page(
        &mut self,
        now: Micros,
        key: Key,
        version: u64,
        page: usize,
        answer: StoreAnswer,
    ) {
        let page_key = (key.clone(), version, page);
        if let StoreAnswer::Got(Some(row)) = answer {
            self.releases.page_retry_at.remove(&page_key);
            if let Some(stored_page) =
                self.releases.pages.get_mut(&(key, version)).and_then(|pages| pages.get_mut(page))
            {
                *stored_page = Some(row.value);
            }
        } else {
            if answer == StoreAnswer::Got(None) {
                tracing::error!(page = %key.page_key(version, page), "missing page of a release's members");
            }
            self.releases.page_retry_at.insert(page_key, now + RETRY_DELAY);
        }
    }

    // ---- Operators ----

    /// Answers an operator's request about releases; None if it must be repeated in the next round.
    pub(super) fn answer_release_request(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.has_release_calendar() {
            return Some(Reply::error(404, "releases are not switched on: no calendar is set here"));
        }
        if !self.can_accept_coordination() {
            return Some(Reply::retry_later("not every controller knows of releases yet"));
        }
        let selector = match &request.command {
            OperatorCommand::ShowRelease(release)
            | OperatorCommand::CloseRelease(release)
            | OperatorCommand::ReopenRelease(release)
            | OperatorCommand::Waive { release, .. } => release,
            _ => return self.list_releases(request),
        };
        let selected = match self.select_release(now, request, selector) {
            Ok(selected) => selected,
            Err(answer) => return answer,
        };
        let change = match &request.command {
            OperatorCommand::CloseRelease(_) => release_record::close(&selected.record),
            OperatorCommand::ReopenRelease(_) => release_record::reopen(&selected.record),
            OperatorCommand::Waive { job, reason, .. } => {
                let members =
                    self.members_since_request(now, request, &selected.key, &selected.record, out)?;
                release_record::waive(&selected.record, &members.members.unwrap_or_default(), job, reason)
            }
            _ => return self.show_release(now, request, &selected, out),
        };
        self.change_release(now, request, selected, change, out)
    }

    fn list_releases(&mut self, request: &OperatorRequest) -> Option<Reply> {
        if !self.has_list_since(request.received_at) {
            return None;
        }
        Some(Reply::json(200, &json!({"releases": self.release_status()})))
    }

    /// The record of the release that an operator names. Otherwise the answer, or None if the request must be
    /// repeated.
    fn select_release(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        selector: &ReleaseSelector,
    ) -> Result<SelectedRelease, Option<Reply>> {
        let ReleaseSelector { title, night } = selector;
        let night = match night {
            Some(night) => night.clone(),
            None if !self.has_list_since(request.received_at) => return Err(None),
            None => match self.coordination.latest_nights.get(title) {
                Some(night) => night.clone(),
                None => return Err(Some(self.no_such_title(title))),
            },
        };
        let Some(key) = release_ref::release_key(title, &night) else {
            return Err(Some(Reply::error(400, "title: can't be the name of a release")));
        };
        match self.coordination_record_since(now, &key, request.received_at).ok_or(None)? {
            CachedRecord::Present(record) => Ok(SelectedRelease { title: title.clone(), night, key, record }),
            CachedRecord::Absent => {
                Err(Some(Reply::error(404, &format!("no release of {title} on {night}"))))
            }
            CachedRecord::Unreadable(why) => Err(Some(Reply::error(409, &why.to_string()))),
            CachedRecord::NotRead => Err(None),
        }
    }

    fn show_release(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        selected: &SelectedRelease,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let members = self.members_since_request(now, request, &selected.key, &selected.record, out)?;
        let cached = CachedRecord::Present(selected.record.clone());
        let name = (selected.title.as_str(), selected.night.as_str());
        let wall = self.rounds.wall.0;
        let shown = ReleaseStatus::from_record(
            name,
            &cached,
            members.members.as_deref(),
            |member| members.state_of(member),
            wall,
        );
        Some(match serde_json::to_value(&shown) {
            Ok(mut value) => {
                value["text"] = shown.to_string().into();
                Reply::json(200, &value)
            }
            Err(error) => Reply::error(500, &error.to_string()),
        })
    }

    /// Stores an operator's change; the operator is answered once it is stored.
    fn change_release(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        selected: SelectedRelease,
        change: Result<CoordinationRecord, ChangeError>,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let next = match change {
            Ok(next) => next,
            Err(error @ (ChangeError::InvalidReason | ChangeError::NoSuchMember { .. })) => {
                return Some(Reply::error(422, &error.to_string()));
            }
            Err(error @ ChangeError::CountInProgress) => return Some(Reply::retry_later(&error.to_string())),
            Err(error) => return Some(Reply::error(409, &error.to_string())),
        };
        let SelectedRelease { title, night, key, .. } = selected;
        let body = json!({"title": title, "night": night, "phase": next.phase, "version": next.version});
        tracing::info!(title = %title, night = %night, request = ?request.command, "operator's change of a release");
        let answer = Some((request.ticket, Reply::json(200, &body)));
        self.change_record(now, &key, next, Vec::new(), answer, out);
        None
    }

    /// The members and their states, by a census that began after the request arrived; None until it is
    /// complete.
    fn members_since_request(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        key: &Key,
        record: &CoordinationRecord,
        out: &mut Vec<Effect>,
    ) -> Option<ReleaseMembers> {
        let found = self.census_since(key, request.received_at).cloned();
        let members = match record.phase {
            Phase::Closed => self.read_closed_members(now, key, record, out),
            _ => found.as_ref().map(rebuilds_and_renders),
        };
        let (found, members) = (found?, members?);
        let state_of = |member: &Member| {
            found.get(&member.id).map_or(MemberState::Unread, |found_member| member_state(found_member.state))
        };
        let states = members.iter().map(|member| (member.id.clone(), state_of(member))).collect();
        Some(ReleaseMembers { members: Some(members), states })
    }

    fn no_such_title(&self, title: &str) -> Reply {
        let titles = self.coordination.latest_nights.keys().map(String::as_str);
        let suggestion = find_nearest(title, titles)
            .map(|nearest_title| format!("; the nearest is {nearest_title}"))
            .unwrap_or_default();
        Reply::error(404, &format!("no release of {title} is on record{suggestion}"))
    }

    /// The status of the unfinished releases found by the latest listing.
    pub(super) fn release_status(&self) -> Vec<Value> {
        let row_of = |key: &Key| {
            let (title, night) = release_ref::title_and_night(key)?;
            Some(match self.coordination.records.get(key) {
                CachedRecord::Present(record) => match Release::read(record) {
                    Ok(release) => {
                        json!({
                            "title": title,
                            "night": night,
                            "phase": record.phase,
                            "version": record.version,
                            "late": release.is_late(self.rounds.wall.0),
                            "closed_by": release.closed_by,
                            "waived": release.waived.len(),
                            "rotated": release.rotated,
                        })
                    }
                    Err(error) => json!({"title": title, "night": night, "unreadable": error.to_string()}),
                },
                CachedRecord::Unreadable(why) => {
                    json!({"title": title, "night": night, "unreadable": why.to_string()})
                }
                CachedRecord::NotRead | CachedRecord::Absent => return None,
            })
        };
        self.coordination.listed_keys.iter().filter_map(row_of).collect()
    }
}
