//! The members of a release or a batch and their states: a census of all job records, and the outcomes of the
//! members that it found live.

use super::*;
use crate::wire::users;

/// Delay before the next census if some records could not be read.
const UNREADABLE_RETRY_DELAY: Micros = Micros::from_millis(5000);

/// The head keys of the records that a job joined, and the job's state, from its record.
fn parse_job_record(key: &str, value: &Value) -> Option<JobMemberships> {
    if key.starts_with(hazelsaddle_coordination::census::FINAL_RECORD_PREFIX) {
        let (outcome, _) = read_final_record(value)?;
        let joined = value.get("says").map(joined_records).unwrap_or_default();
        return Some(JobMemberships { joined, state: state_of(outcome) });
    }
    JobShard::read_record(value)?;
    let joined = declarations_in_record(value).as_ref().map(joined_records).unwrap_or_default();
    Some(JobMemberships { joined, state: CensusJobState::Live })
}

fn state_of(outcome: JobOutcome) -> CensusJobState {
    if outcome == JobOutcome::Done { CensusJobState::Done } else { CensusJobState::Cancelled }
}

/// The head keys of the records that a job joined, each with what the job declares about it.
fn joined_records(declarations: &Value) -> Vec<(String, Value)> {
    let text =
        |declaration: &Value, key: &str| declaration.get(key).and_then(Value::as_str).map(str::to_owned);
    let mut records = Vec::new();
    if let Some(release) = declarations.get("release")
        && let (Some(title), Some(night)) = (text(release, "title"), text(release, "night"))
        && let Some(key) = hazelsaddle_release::release_ref::release_key(&title, &night)
    {
        records.push((key.head_key(), release.clone()));
    }
    if let Some(batch) = declarations.get("batch")
        && let Some(name) = text(batch, "name")
        && let Ok(key) = Key::new(record::Kind::Batch, &name)
    {
        // The search for runs of a batch needs their classes.
        let mut batch = batch.clone();
        batch[users::CLASS] = declarations.get(users::CLASS).cloned().unwrap_or_default();
        records.push((key.head_key(), batch));
    }
    records
}

impl Controller {
    /// The members of a record by a census that began no earlier than `since`; requests a census if there is
    /// none.
    pub(in crate::controller) fn census_since(&mut self, key: &Key, since: Micros) -> Option<&CensusMembers> {
        let head = key.head_key();
        if self.coordination.census_results.get(&head).is_none_or(|(began, _)| *began < since) {
            self.coordination.census_wanted.insert(head);
            return None;
        }
        self.coordination.census_results.get(&head).map(|(_, members)| members)
    }

    /// When the latest complete census of a record began.
    pub(in crate::controller) fn census_began(&self, key: &Key) -> Option<Micros> {
        self.coordination.census_results.get(&key.head_key()).map(|(began, _)| *began)
    }

    /// The members of a record by its latest census, whenever that began.
    pub(in crate::controller) fn members_so_far(&self, key: &Key) -> Option<&CensusMembers> {
        self.coordination.census_results.get(&key.head_key()).map(|(_, members)| members)
    }

    /// How long the last census took.
    pub(in crate::controller) fn last_census_duration(&self) -> Micros {
        self.coordination.last_census_duration
    }

    pub(super) fn run_census(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let records = &mut self.coordination;
        if records.census.is_none() && !records.census_wanted.is_empty() && now >= records.census_retry_at {
            records.census = Some((Census::begin(records.census_wanted.clone()), now));
        }
        let Some((census, _)) = &records.census else { return };
        if records.census_request_in_flight || now < records.census_retry_at {
            return;
        }
        let CensusStep::ReadPage { prefix, after } = census.next_step() else { return };
        if !self.state_store.request_limiter.take(now, 1.0, 0.2) {
            return;
        }
        self.coordination.census_request_in_flight = true;
        let pending = PendingRecordRequest::Census { epoch: self.membership.epoch };
        let list = StoreRequest::List(prefix.into(), after);
        self.send_store_request(PendingStoreRequest::Coordination(pending), list, out);
    }

    pub(super) fn apply_census_page(&mut self, now: Micros, answer: StoreAnswer) {
        let records = &mut self.coordination;
        records.census_request_in_flight = false;
        let Some((census, began)) = &mut records.census else { return };
        let StoreAnswer::Page(rows, more) = answer else {
            records.census_retry_at = now + RETRY_DELAY;
            return;
        };
        let CensusStep::ReadPage { prefix, .. } = census.next_step() else { return };
        let rows = rows.into_iter().map(|r| (r.key, r.value));
        census.apply_page(rows, more, |id, v| parse_job_record(&format!("{prefix}{id}"), v));
        if census.next_step() != CensusStep::Complete {
            return;
        }
        let (unreadable, began) = (census.unreadable().to_vec(), *began);
        if !unreadable.is_empty() {
            tracing::error!(jobs = ?unreadable, "unreadable job records: no release can be closed until they are readable");
            records.census_retry_at = now + UNREADABLE_RETRY_DELAY;
        }
        let found: Vec<_> =
            census.records().iter().filter_map(|head| Some((head.clone(), census.members(head)?))).collect();
        tracing::debug!(records = found.len(), seconds = now.since(began).as_secs(), "census complete");
        records.census_results.extend(found.into_iter().map(|(head, members)| (head, (began, members))));
        records.unreadable_jobs = unreadable;
        records.census = None;
        records.last_census_duration = now.since(began);
    }

    /// Adds live members whose outcomes matter to a record maintained here.
    pub(in crate::controller) fn await_members(&mut self, live: impl Iterator<Item = String>) {
        self.coordination.awaited_members.extend(live);
    }

    /// Whether the outcome of this job is awaited.
    pub(in crate::controller) fn is_awaited_member(&self, id: &str) -> bool {
        self.coordination.awaited_members.contains(id)
    }

    /// Whether any member's outcome is awaited.
    pub(in crate::controller) fn has_awaited_members(&self) -> bool {
        !self.coordination.awaited_members.is_empty()
    }

    /// The watch begins only now, so outcomes stored earlier must be read.
    pub(in crate::controller) fn reread_awaited_members(&mut self) {
        self.coordination.unread_members = self.coordination.awaited_members.clone();
    }

    /// Applies the stored outcome of a member.
    pub(in crate::controller) fn apply_member_outcome(&mut self, id: &str, outcome: JobOutcome) {
        self.coordination.unread_members.remove(id);
        let stands = state_of(outcome);
        if self.coordination.awaited_members.contains(id) {
            self.coordination.member_outcomes.insert(id.to_owned(), stands);
        }
        for (_, members) in self.coordination.census_results.values_mut() {
            if let Some(member) = members.get_mut(id) {
                member.state = member.state.max(stands);
            }
        }
    }

    /// The outcome of a member as read or watched, independent of any census.
    pub(in crate::controller) fn member_outcome(&self, id: &str) -> Option<CensusJobState> {
        self.coordination.member_outcomes.get(id).copied()
    }

    /// Applies the final record of a member, if it has one.
    pub(super) fn apply_member_record(&mut self, job: String, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Got(Some(row)) => match read_final_record(&row.value) {
                Some((outcome, _)) => self.apply_member_outcome(&job, outcome),
                None => tracing::error!(job = %job, "unreadable final record"),
            },
            StoreAnswer::Got(None) => {}
            _ => {
                self.coordination.unread_members.insert(job);
            }
        }
    }

    pub(super) fn read_awaited_members(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while self.state_store.in_flight.len() < MAX_IN_FLIGHT
            && self.state_store.request_limiter.level(now) >= 0.3
        {
            let Some(id) = self.coordination.unread_members.pop_first() else { break };
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let read = StoreRequest::Get(format!("done/{id}"));
            let pending = PendingRecordRequest::Member { epoch: self.membership.epoch, job: id };
            self.send_store_request(PendingStoreRequest::Coordination(pending), read, out);
        }
    }

    /// Has members read that a census found live: the watch may have begun after the census.
    pub(in crate::controller) fn reread_live_members(&mut self, live: impl Iterator<Item = String>) {
        self.coordination.unread_members.extend(live);
    }
}
