//! Who joined a release or a batch, and how those jobs stand: a census of all jobs' records, and the ends of members that
//! it found live.

use super::*;
use crate::wire::users;

/// After a census that could not read every record the next one begins so much later.
const PAUSE_UNREADABLE: Micros = Micros::from_millis(5000);

/// What a job's record says: the heads of the records that it joined, and how it stands.
fn reading(key: &str, value: &Value) -> Option<JobMemberships> {
    if key.starts_with(hazelsaddle_coordination::census::FINAL_RECORD_PREFIX) {
        let (outcome, _) = read_final_record(value)?;
        let joined = value.get("says").map(joined).unwrap_or_default();
        return Some(JobMemberships { joined, state: state_of(outcome) });
    }
    JobShard::read_record(value)?;
    let joined = declarations_in_record(value).as_ref().map(joined).unwrap_or_default();
    Some(JobMemberships { joined, state: CensusJobState::Live })
}

fn state_of(outcome: JobOutcome) -> CensusJobState {
    if outcome == JobOutcome::Done { CensusJobState::Done } else { CensusJobState::Cancelled }
}

/// The heads of the records that a job joined, with what it says of each.
fn joined(says: &Value) -> Vec<(String, Value)> {
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_owned);
    let mut records = Vec::new();
    if let Some(release) = says.get("release")
        && let (Some(title), Some(night)) = (text(release, "title"), text(release, "night"))
        && let Some(key) = hazelsaddle_release::release_ref::release_key(&title, &night)
    {
        records.push((key.head_key(), release.clone()));
    }
    if let Some(batch) = says.get("batch")
        && let Some(name) = text(batch, "name")
        && let Ok(key) = Key::new(record::Kind::Batch, &name)
    {
        // Who looks for runs of a batch must know their classes.
        let mut batch = batch.clone();
        batch[users::CLASS] = says.get(users::CLASS).cloned().unwrap_or_default();
        records.push((key.head_key(), batch));
    }
    records
}

impl Controller {
    /// The members of a record by a census that began no earlier than `since`, if there is one; asks for one otherwise.
    pub(in crate::controller) fn census_since(&mut self, key: &Key, since: Micros) -> Option<&Members> {
        let head = key.head_key();
        if self.coordination.found.get(&head).is_none_or(|(began, _)| *began < since) {
            self.coordination.wanted.insert(head);
            return None;
        }
        self.coordination.found.get(&head).map(|(_, members)| members)
    }

    /// When the latest whole census of a record began.
    pub(in crate::controller) fn census_began(&self, key: &Key) -> Option<Micros> {
        self.coordination.found.get(&key.head_key()).map(|(began, _)| *began)
    }

    /// What is known of a record's members so far, from whichever census.
    pub(in crate::controller) fn members_so_far(&self, key: &Key) -> Option<&Members> {
        self.coordination.found.get(&key.head_key()).map(|(_, m)| m)
    }

    /// How long the last census took.
    pub(in crate::controller) fn census_took(&self) -> Micros {
        self.coordination.census_took
    }

    pub(super) fn run_census(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let records = &mut self.coordination;
        if records.census.is_none() && !records.wanted.is_empty() && now >= records.census_retry {
            records.census = Some((Census::begin(records.wanted.clone()), now));
        }
        let Some((census, _)) = &records.census else { return };
        if records.census_busy || now < records.census_retry {
            return;
        }
        let CensusStep::ReadPage { prefix, after } = census.next_step() else { return };
        if !self.state_store.request_limiter.take(now, 1.0, 0.2) {
            return;
        }
        self.coordination.census_busy = true;
        let pending = PendingRecordRequest::Census { epoch: self.membership.epoch };
        let list = StoreRequest::List(prefix.into(), after);
        self.ask_store(PendingStoreRequest::Coordination(pending), list, out);
    }

    pub(super) fn apply_census_page(&mut self, now: Micros, answer: StoreAnswer) {
        let records = &mut self.coordination;
        records.census_busy = false;
        let Some((census, began)) = &mut records.census else { return };
        let StoreAnswer::Page(rows, more) = answer else {
            records.census_retry = now + PAUSE_FAILED;
            return;
        };
        let CensusStep::ReadPage { prefix, .. } = census.next_step() else { return };
        let rows = rows.into_iter().map(|r| (r.key, r.value));
        census.apply_page(rows, more, |id, v| reading(&format!("{prefix}{id}"), v));
        if census.next_step() != CensusStep::Complete {
            return;
        }
        let (unreadable, began) = (census.unreadable().to_vec(), *began);
        if !unreadable.is_empty() {
            tracing::error!(jobs = ?unreadable, "records that can't be read: nothing closes until they can be");
            records.census_retry = now + PAUSE_UNREADABLE;
        }
        let found: Vec<_> =
            census.records().iter().filter_map(|head| Some((head.clone(), census.members(head)?))).collect();
        tracing::debug!(records = found.len(), seconds = now.since(began).as_secs(), "census complete");
        records.found.extend(found.into_iter().map(|(head, members)| (head, (began, members))));
        records.unreadable = unreadable;
        records.census = None;
        records.census_took = now.since(began);
    }

    /// Ends of these jobs matter to a record that is kept here, and none was on record when they were last seen.
    pub(in crate::controller) fn await_members(&mut self, live: impl Iterator<Item = String>) {
        self.coordination.awaited.extend(live);
    }

    /// Whether the watch on ends must tell of this one.
    pub(in crate::controller) fn awaits_member(&self, id: &str) -> bool {
        self.coordination.awaited.contains(id)
    }

    /// Whether any end matters to a record.
    pub(in crate::controller) fn awaits_members(&self) -> bool {
        !self.coordination.awaited.is_empty()
    }

    /// The watch begins only now: what ended before it must be read.
    pub(in crate::controller) fn reread_awaited_members(&mut self) {
        self.coordination.unread = self.coordination.awaited.clone();
    }

    /// A member's end is on record.
    pub(in crate::controller) fn apply_member_outcome(&mut self, id: &str, outcome: JobOutcome) {
        self.coordination.unread.remove(id);
        let stands = state_of(outcome);
        if self.coordination.awaited.contains(id) {
            self.coordination.ends.insert(id.to_owned(), stands);
        }
        for (_, members) in self.coordination.found.values_mut() {
            if let Some(member) = members.get_mut(id) {
                member.state = member.state.max(stands);
            }
        }
    }

    /// How a member stands that no census has seen.
    pub(in crate::controller) fn member_outcome(&self, id: &str) -> Option<CensusJobState> {
        self.coordination.ends.get(id).copied()
    }

    /// The final record of a member was read, or it has none yet.
    pub(super) fn apply_member_record(&mut self, job: String, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Got(Some(row)) => match read_final_record(&row.value) {
                Some((outcome, _)) => self.apply_member_outcome(&job, outcome),
                None => tracing::error!(job = %job, "unreadable final record"),
            },
            StoreAnswer::Got(None) => {}
            _ => {
                self.coordination.unread.insert(job);
            }
        }
    }

    pub(super) fn read_awaited_members(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while self.state_store.in_flight.len() < IN_FLIGHT
            && self.state_store.request_limiter.level(now) >= 0.3
        {
            let Some(id) = self.coordination.unread.pop_first() else { break };
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let read = StoreRequest::Get(format!("done/{id}"));
            let pending = PendingRecordRequest::Member { epoch: self.membership.epoch, job: id };
            self.ask_store(PendingStoreRequest::Coordination(pending), read, out);
        }
    }

    /// Members that a census found live are read once after it, as the watch may have begun later.
    pub(in crate::controller) fn read_live(&mut self, live: impl Iterator<Item = String>) {
        self.coordination.unread.extend(live);
    }
}
