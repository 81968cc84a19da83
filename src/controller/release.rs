//! Releases: opened by calendar with the first submission, joined, closed, counted, and only then rotated. What a set is
//! and when a rotation may start is `hazelsaddle_release`'s; here its records are read and written.

use super::coordination::{JoinDecision, Members, OperatorRequest};
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

/// Open sets are counted so often, to close those that have all renders that were declared.
const COUNT: Micros = Micros::from_millis(5000);
/// A page that could not be read is asked for again after so long.
const AGAIN: Micros = Micros::from_millis(300);
/// Causes named in a held job's reason.
const CAUSES: usize = 3;

/// What this controller knows of releases.
#[derive(Default)]
pub(super) struct Releases {
    /// When a set was first seen here as closing or closed, by version. Only a census that began later has all members.
    closed_at: BTreeMap<(Key, u64), Micros>,
    /// Pages of closed sets, as far as they are read.
    pages: BTreeMap<(Key, u64), Vec<Option<Value>>>,
    asked: BTreeMap<(Key, u64, usize), Micros>,
    /// The census whose live members have been read again.
    checked: BTreeMap<Key, Micros>,
    /// A count of open sets that began no earlier than this is wanted.
    count_since: Micros,
    late: BTreeSet<(Key, u64)>,
}

/// What a rotation's verdict rests on.
struct Known {
    members: Option<Vec<Member>>,
    facts: BTreeMap<String, MemberState>,
}

/// A release that an operator has named, with its record as it was read.
struct SelectedRelease {
    title: String,
    night: String,
    key: Key,
    record: CoordinationRecord,
}

impl Known {
    fn fact(&self, id: &str) -> MemberState {
        self.facts.get(id).copied().unwrap_or(MemberState::Unread)
    }
}

fn fact_of(s: CensusJobState) -> MemberState {
    match s {
        CensusJobState::Live => MemberState::Live,
        CensusJobState::Done => MemberState::Done,
        CensusJobState::Cancelled => MemberState::Cancelled,
    }
}

/// The rebuilds and renders among those that a census found.
fn seen(members: &Members) -> Vec<Member> {
    let of = |id: &String, says: &Value| {
        let s = ReleaseRef::parse(says).ok()?;
        let rotates = s.stage == hazelsaddle_release::calendar::Stage::Rotation;
        (!rotates).then(|| Member { id: id.clone(), stage: s.stage, expects: s.expects })
    };
    members.iter().filter_map(|(id, m)| of(id, &m.declaration)).collect()
}

impl Controller {
    /// Whether operators have set a calendar.
    pub(super) fn releases_on(&self) -> bool {
        !self.settings.operators.calendars.0.is_empty()
    }

    /// Whether a record is of no use to anybody but its own rotation any more.
    pub(super) fn release_over(&self, r: &CoordinationRecord) -> bool {
        Release::read(r).is_ok_and(|b| b.rotated)
    }

    /// The condition on which a submission joins its release.
    pub(super) fn release_gate(&mut self, now: Micros, id: &str, out: &mut Vec<Effect>) -> JoinDecision {
        let Some(a) = self.user_requests.submissions.get(id) else { return JoinDecision::Wait };
        let Some(mut says) = a.spec.release.clone() else { return JoinDecision::Open(Vec::new()) };
        if !self.releases_on() {
            return JoinDecision::Never("release: no calendar is set here".into());
        }
        let (began, class, wall) = (a.came_at, a.spec.class.clone(), self.rounds.wall.0);
        if says.night.is_none() {
            if self.coordination.listed.is_none() {
                return JoinDecision::Wait;
            }
            let sets: Vec<(Phase, Release)> = self
                .coordination
                .records
                .iter()
                .filter_map(|(_, h)| match h {
                    CachedRecord::Present(r) => Some((r.phase, Release::read(r).ok()?)),
                    _ => None,
                })
                .collect();
            let sets = sets.iter().map(|(p, r)| (*p, r));
            match join::resolve_night(&self.settings.operators.calendars, sets, &says, wall) {
                Ok(night) => says.night = Some(night),
                Err(e) => return JoinDecision::Never(format!("release: {e}")),
            }
            // From here on the job names its night, also on record.
            if let Some(a) = self.user_requests.submissions.get_mut(id) {
                a.description["release"] = says.to_value();
                a.spec.release = Some(says.clone());
            }
        }
        let Some(key) = says.key() else {
            return JoinDecision::Never("release: it has no such night".into());
        };
        let held = self.coordination_record(now, &key);
        match join::decide_join(&held, &self.settings.operators.calendars, &says, &class, wall) {
            // A rotation is no member: nobody waits for it.
            ReleaseJoin::Join if says.stage == hazelsaddle_release::calendar::Stage::Rotation => {
                JoinDecision::Open(Vec::new())
            }
            // Guards against one that joins while the set closes: what was read must still be on record.
            ReleaseJoin::Join => JoinDecision::Open(vec![self.join_condition(&key)]),
            ReleaseJoin::OpenFirst(record) => {
                if !self.is_record_changing(&key) {
                    tracing::info!(title = %says.title, night = ?says.night, first = id, "release opened");
                    self.change_record(now, &key, record, Vec::new(), None, out);
                }
                JoinDecision::Wait
            }
            ReleaseJoin::Retry(_) => JoinDecision::Wait,
            // A refusal is for good, so it must not rest on what was read before the question came.
            ReleaseJoin::Refused(why) => match self.coordination_record_since(now, &key, began) {
                Some(_) => JoinDecision::Never(format!("release: {why}")),
                None => JoinDecision::Wait,
            },
        }
    }

    /// What releases need in each round.
    pub(super) fn release_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now >= self.releases.count_since + COUNT.max(Micros(self.census_took().0 * 10)) {
            self.releases.count_since = now;
        }
        self.inherit_dues();
        let sets: Vec<(Key, CoordinationRecord)> = self
            .coordination
            .records
            .iter()
            .filter(|(k, _)| self.keeps_record(k))
            .filter_map(|(k, h)| match h {
                CachedRecord::Present(r) if k.kind() == hazelsaddle_coordination::record::Kind::Release => {
                    Some((k.clone(), r.clone()))
                }
                _ => None,
            })
            .collect();
        for (key, record) in sets {
            if !self.is_record_changing(&key) {
                self.keep_release(now, &key, &record, out);
            }
        }
        let held: Vec<(String, Key, u8)> = self
            .job_shard
            .held_jobs()
            .filter(|(_, _, h)| matches!(h, Hold::Release(_)))
            .filter_map(|(id, j, _)| {
                let key = j.spec.release.as_ref()?.key()?;
                Some((id.clone(), key, j.spec.priority % crate::spec::GUARANTEED_PRIORITY_BONUS))
            })
            .collect();
        let mut needs: BTreeMap<String, u8> = BTreeMap::new();
        for (id, key, rank) in held {
            let known = self.hold_rotation(now, &id, &key, out);
            for (member, fact) in known.facts {
                if fact == MemberState::Live {
                    let r = needs.entry(member).or_default();
                    *r = (*r).max(rank);
                }
            }
        }
        self.job_shard.set_release_priorities(needs);
        let live: BTreeSet<&Key> = self.coordination.records.iter().map(|(k, _)| k).collect();
        self.releases.closed_at.retain(|(k, _), _| live.contains(k));
        self.releases.pages.retain(|(k, _), _| live.contains(k));
        self.releases.checked.retain(|k, _| live.contains(k));
    }

    /// Rebuilds and renders of ours are due when their release is: of two titles, what is due first goes first.
    fn inherit_dues(&mut self) {
        let mut dues: BTreeMap<Key, Option<Micros>> = BTreeMap::new();
        let members = self.job_shard.jobs.iter().filter(|(_, j)| !j.spec.is_rotation());
        let members: Vec<(String, Key)> =
            members.filter_map(|(id, j)| Some((id.clone(), j.spec.release.as_ref()?.key()?))).collect();
        for (id, key) in members {
            let records = &self.coordination.records;
            let due = *dues.entry(key).or_insert_with_key(|key| match records.get(key) {
                CachedRecord::Present(r) => {
                    priority_inheritance::inherited_by_members(&Release::read(r).ok()?, [])?
                        .due_us
                        .map(Micros)
                }
                _ => None,
            });
            self.job_shard.set_release_due(&id, due);
        }
    }

    /// What the keeper of a set does by itself.
    fn keep_release(&mut self, now: Micros, key: &Key, record: &CoordinationRecord, out: &mut Vec<Effect>) {
        let Ok(body) = Release::read(record) else { return };
        if body.rotated {
            return;
        }
        if body.is_late(self.rounds.wall.0) && self.releases.late.insert((key.clone(), record.version)) {
            tracing::info!(title = %body.title, night = %body.night, phase = ?record.phase, "release late: its rotation is due and has not started");
        }
        match record.phase {
            Phase::Open => {
                self.census_since(key, self.releases.count_since);
                let known = self.members_so_far(key);
                let there = |m: &Member| {
                    known.and_then(|k| k.get(&m.id)).is_some_and(|m| m.state != CensusJobState::Cancelled)
                };
                let members: Vec<Member> = known.map(seen).unwrap_or_default();
                let Some(by) = body.close_reason(members.iter().filter(|m| there(m)), self.rounds.wall.0)
                else {
                    return;
                };
                let Ok(next) = release_record::begin_closing(record, by) else { return };
                if self.change_record(now, key, next, Vec::new(), None, out) {
                    tracing::info!(
                        title = %body.title,
                        night = %body.night,
                        by = by.description(),
                        "release closing"
                    );
                }
            }
            Phase::Closing => {
                // Guards against a census that began while members could still join.
                let since = *self.releases.closed_at.entry((key.clone(), record.version)).or_insert(now);
                let Some(found) = self.census_since(key, since).cloned() else { return };
                match release_record::finish_closing(key, record, &found, self.settings.value_bytes) {
                    Ok((pages, next)) => {
                        if self.change_record(now, key, next, pages, None, out) {
                            tracing::info!(
                                title = %body.title,
                                night = %body.night,
                                members = found.len(),
                                "release closed"
                            );
                        }
                    }
                    Err(e) => {
                        tracing::error!(record = %key.head_key(), reason = %e, "a release can't be closed")
                    }
                }
            }
            Phase::Closed => {}
        }
    }

    /// Looks at what a held rotation waits for, and lets it go when its release is on record as complete.
    fn hold_rotation(&mut self, now: Micros, id: &str, key: &Key, out: &mut Vec<Effect>) -> Known {
        let held = self.coordination_record(now, key);
        let known = self.release_known(now, key, &held, out);
        match assess(&held, known.members.as_deref(), |m| known.fact(m)) {
            // Only what is on record lets a task start: a controller that comes next must find the same.
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
            Readiness::Held { why } => {
                let mut text: Vec<String> = why.iter().take(CAUSES).map(ToString::to_string).collect();
                if why.len() > CAUSES {
                    text.push(format!("and {} more", why.len() - CAUSES));
                }
                self.job_shard.hold_job(id, Hold::Release(text.join("; ")));
            }
        }
        known
    }

    /// All that is known of a set's members: of a closed one those on its pages, otherwise those found so far.
    fn release_known(&mut self, now: Micros, key: &Key, held: &CachedRecord, out: &mut Vec<Effect>) -> Known {
        let mut known = Known { members: None, facts: BTreeMap::new() };
        let CachedRecord::Present(record) = held else { return known };
        if record.phase != Phase::Closed {
            if let Some(found) = self.members_so_far(key) {
                known.facts = found.iter().map(|(id, m)| (id.clone(), fact_of(m.state))).collect();
                let members = seen(found);
                known.facts.retain(|id, _| members.iter().any(|m| m.id == *id));
                known.members = Some(members);
            }
            return known;
        }
        if self.release_over(record) {
            return known;
        }
        known.members = self.release_members(now, key, record, out);
        let since = *self.releases.closed_at.entry((key.clone(), record.version)).or_insert(now);
        let Some(found) = self.census_since(key, since).cloned() else { return known };
        let mut open: Vec<String> = Vec::new();
        for m in known.members.iter().flatten() {
            let by_census = found.get(&m.id).map(|f| f.state).unwrap_or(CensusJobState::Live);
            let stands = by_census.max(self.member_outcome(&m.id).unwrap_or(CensusJobState::Live));
            known.facts.insert(m.id.clone(), fact_of(stands));
            if stands == CensusJobState::Live {
                open.push(m.id.clone());
            }
        }
        self.await_members(open.iter().cloned());
        // The watch tells of ends from here on; those that came between the census' page and now are read.
        let began = self.census_began(key);
        if known.members.is_some() && self.releases.checked.get(key).copied() != began {
            self.releases.checked.extend(began.map(|t| (key.clone(), t)));
            self.read_live(open.into_iter());
        }
        known
    }

    /// The members on the pages of a closed set, once all are read.
    fn release_members(
        &mut self,
        now: Micros,
        key: &Key,
        record: &CoordinationRecord,
        out: &mut Vec<Effect>,
    ) -> Option<Vec<Member>> {
        let of = (key.clone(), record.version);
        let pages = self.releases.pages.entry(of).or_insert_with(|| vec![None; record.pages]);
        if pages.len() != record.pages {
            *pages = vec![None; record.pages];
        }
        let missing: Vec<usize> = (0..pages.len()).filter(|n| pages[*n].is_none()).collect();
        if missing.is_empty() {
            return match release_record::read_member_pages(pages.iter().flatten()) {
                Ok(members) => Some(members),
                Err(e) => {
                    tracing::error!(record = %key.head_key(), reason = %e, "a page of members can't be read");
                    None
                }
            };
        }
        for n in missing {
            let this = (key.clone(), record.version, n);
            if self.releases.asked.get(&this).is_some_and(|t| now < *t) {
                continue;
            }
            if self.state_store.in_flight.len() >= IN_FLIGHT
                || !self.state_store.request_limiter.take(now, 1.0, 0.2)
            {
                break;
            }
            self.releases.asked.insert(this, now + Micros::from_millis(4000));
            let get = StoreRequest::Get(key.page_key(record.version, n));
            let purpose =
                PendingRecordRequest::Members { key: key.clone(), version: record.version, page: n };
            self.ask_store(PendingStoreRequest::Coordination(purpose), get, out);
        }
        None
    }

    pub(super) fn members_page(&mut self, now: Micros, key: Key, version: u64, n: usize, a: StoreAnswer) {
        let this = (key.clone(), version, n);
        if let StoreAnswer::Got(Some(row)) = a {
            self.releases.asked.remove(&this);
            if let Some(p) = self.releases.pages.get_mut(&(key, version)).and_then(|p| p.get_mut(n)) {
                *p = Some(row.value);
            }
        } else {
            if a == StoreAnswer::Got(None) {
                tracing::error!(page = %key.page_key(version, n), "a page of members is missing");
            }
            self.releases.asked.insert(this, now + AGAIN);
        }
    }

    // ---- Operators ----

    /// An operator's request about releases: the answer, or None if it is to be asked again in the next round.
    pub(super) fn release_request(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.releases_on() {
            return Some(Reply::error(404, "releases are not switched on: no calendar is set here"));
        }
        if !self.takes_coordination() {
            return Some(Reply::retry_later("not every controller knows of releases yet"));
        }
        let selector = match &request.request {
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
        let change = match &request.request {
            OperatorCommand::CloseRelease(_) => release_record::close(&selected.record),
            OperatorCommand::ReopenRelease(_) => release_record::reopen(&selected.record),
            OperatorCommand::Waive { job, reason, .. } => {
                let known = self.members_for(now, request, &selected.key, &selected.record, out)?;
                release_record::waive(&selected.record, &known.members.unwrap_or_default(), job, reason)
            }
            _ => return self.show_release(now, request, &selected, out),
        };
        self.change_release(now, request, selected, change, out)
    }

    fn list_releases(&mut self, request: &OperatorRequest) -> Option<Reply> {
        if !self.list_since(request.began) {
            return None;
        }
        Some(Reply::json(200, &json!({"releases": self.release_status()})))
    }

    /// The record of the release that an operator names; otherwise the answer, or None if it is to be asked again.
    fn select_release(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        selector: &ReleaseSelector,
    ) -> Result<SelectedRelease, Option<Reply>> {
        let ReleaseSelector { title, night } = selector;
        let night = match night {
            Some(night) => night.clone(),
            None if !self.list_since(request.began) => return Err(None),
            None => match self.coordination.latest.get(title) {
                Some(night) => night.clone(),
                None => return Err(Some(self.no_such_title(title))),
            },
        };
        let Some(key) = release_ref::release_key(title, &night) else {
            return Err(Some(Reply::error(400, "title: can't be the name of a release")));
        };
        match self.coordination_record_since(now, &key, request.began).ok_or(None)? {
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
        let known = self.members_for(now, request, &selected.key, &selected.record, out)?;
        let held = CachedRecord::Present(selected.record.clone());
        let name = (selected.title.as_str(), selected.night.as_str());
        let wall = self.rounds.wall.0;
        let shown =
            ReleaseStatus::from_record(name, &held, known.members.as_deref(), |m| known.fact(m), wall);
        Some(match serde_json::to_value(&shown) {
            Ok(mut value) => {
                value["text"] = shown.to_string().into();
                Reply::json(200, &value)
            }
            Err(e) => Reply::error(500, &e.to_string()),
        })
    }

    /// Puts an operator's change on record; the operator is answered once it is there.
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
            Err(e @ (ChangeError::InvalidReason | ChangeError::NoSuchMember { .. })) => {
                return Some(Reply::error(422, &e.to_string()));
            }
            Err(e @ ChangeError::CountInProgress) => return Some(Reply::retry_later(&e.to_string())),
            Err(e) => return Some(Reply::error(409, &e.to_string())),
        };
        let SelectedRelease { title, night, key, .. } = selected;
        let body = json!({"title": title, "night": night, "phase": next.phase, "version": next.version});
        tracing::info!(title = %title, night = %night, request = ?request.request, "operator's change of a release");
        let answer = Some((request.ticket, Reply::json(200, &body)));
        self.change_record(now, &key, next, Vec::new(), answer, out);
        None
    }

    /// Members and how they stand, by a census that began after the question: None until it is over.
    fn members_for(
        &mut self,
        now: Micros,
        o: &OperatorRequest,
        key: &Key,
        record: &CoordinationRecord,
        out: &mut Vec<Effect>,
    ) -> Option<Known> {
        let found = self.census_since(key, o.began).cloned();
        let members = match record.phase {
            Phase::Closed => self.release_members(now, key, record, out),
            _ => found.as_ref().map(seen),
        };
        let (found, members) = (found?, members?);
        let stands = |m: &Member| found.get(&m.id).map_or(MemberState::Unread, |f| fact_of(f.state));
        let facts = members.iter().map(|m| (m.id.clone(), stands(m))).collect();
        Some(Known { members: Some(members), facts })
    }

    fn no_such_title(&self, title: &str) -> Reply {
        let known = self.coordination.latest.keys().map(String::as_str);
        let like = find_nearest(title, known).map(|t| format!("; the nearest is {t}")).unwrap_or_default();
        Reply::error(404, &format!("no release of {title} is on record{like}"))
    }

    /// Releases that are not over, as the latest list had them.
    pub(super) fn release_status(&self) -> Vec<Value> {
        let of = |key: &Key| {
            let (title, night) = release_ref::title_and_night(key)?;
            Some(match self.coordination.records.get(key) {
                CachedRecord::Present(r) => match Release::read(r) {
                    Ok(b) => {
                        json!({
                            "title": title,
                            "night": night,
                            "phase": r.phase,
                            "version": r.version,
                            "late": b.is_late(self.rounds.wall.0),
                            "closed_by": b.closed_by,
                            "waived": b.waived.len(),
                            "rotated": b.rotated,
                        })
                    }
                    Err(e) => json!({"title": title, "night": night, "unreadable": e.to_string()}),
                },
                CachedRecord::Unreadable(why) => {
                    json!({"title": title, "night": night, "unreadable": why.to_string()})
                }
                CachedRecord::NotRead | CachedRecord::Absent => return None,
            })
        };
        self.coordination.listed_keys.iter().filter_map(of).collect()
    }
}
