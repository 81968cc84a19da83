//! Lookups of jobs that are unknown here, in the state store.

use super::*;

/// From this number of state store requests in flight on, polls of jobs with an unresponsive leader are not
/// looked up.
const MAX_IN_FLIGHT_FOR_POLLS: usize = 30;

/// A poll that is to be answered from the job's record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::controller) enum RecordPoll {
    /// Only the record can answer it.
    Direct(Caller),
    /// The job's leader, who has been sent it under this number, may answer it too.
    Forwarded(u64),
}

/// A lookup of a job's record.
pub(in crate::controller) struct Lookup {
    /// Distinguishes its response from those of earlier lookups, also of earlier epochs.
    number: u64,
    /// Requests that arrived before the lookup began.
    waiting: Vec<WaitingRequest>,
    /// Requests that arrived since. The record being read may be older than what their users were told
    /// before, so they wait for the next lookup.
    next: Vec<WaitingRequest>,
}

impl Lookup {
    pub(super) fn into_callers(self) -> impl Iterator<Item = Caller> {
        self.waiting.into_iter().chain(self.next).map(|waiting| waiting.caller)
    }
}

impl UserRequests {
    /// Whether a response belongs to the current lookup of a job. The response to an earlier lookup is older
    /// than the requests that wait now.
    fn is_current_lookup(&self, job: &str, number: u64) -> bool {
        self.lookups.get(job).is_some_and(|lookup| lookup.number == number)
    }
}

impl Controller {
    /// Looks up the record of a job that is unknown here for these requests, by a lookup that begins now or
    /// later.
    pub(super) fn look_up(
        &mut self,
        now: Micros,
        id: &str,
        waiting: Vec<WaitingRequest>,
        out: &mut Vec<Effect>,
    ) {
        if waiting.is_empty() {
            return;
        }
        let is_full = self.user_requests.lookups.len() >= MAX_WAITING_REQUESTS;
        if let Some(lookup) = self.user_requests.lookups.get_mut(id)
            && lookup.next.len() < MAX_WAITING_REQUESTS
        {
            return lookup.next.extend(waiting);
        }
        if is_full
            || self.user_requests.lookups.contains_key(id)
            || !self.state_store.request_limiter.take(now, 2.0, 0.3)
        {
            let callers = waiting.into_iter().map(|waiting| waiting.caller);
            return self.reply_to_all(now, callers, &Reply::refuse(Refusal::Overloaded), out);
        }
        let number = self.request_ids.next();
        self.user_requests.lookups.insert(id.to_owned(), Lookup { number, waiting, next: Vec::new() });
        let pending = PendingStoreRequest::LookUpJob { job: id.to_owned(), lookup: number };
        self.send_store_request(pending, StoreRequest::Get(format!("job/{id}")), out);
    }

    pub(in crate::controller) fn apply_looked_up_job(
        &mut self,
        now: Micros,
        job: String,
        lookup: u64,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        if !self.user_requests.is_current_lookup(&job, lookup) {
            return;
        }
        match answer {
            StoreAnswer::Got(Some(row)) => {
                let readable = self.apply_job_row(row);
                self.finish_lookup(now, &job, readable, out);
            }
            StoreAnswer::Got(None) => {
                let read = StoreRequest::Get(format!("done/{job}"));
                self.send_store_request(PendingStoreRequest::LookUpOutcome { job, lookup }, read, out);
            }
            _ => self.finish_lookup(now, &job, false, out),
        }
    }

    pub(in crate::controller) fn apply_looked_up_outcome(
        &mut self,
        now: Micros,
        job: &str,
        lookup: u64,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        if !self.user_requests.is_current_lookup(job, lookup) {
            return;
        }
        let readable = match answer {
            StoreAnswer::Got(None) => true,
            StoreAnswer::Got(Some(row)) => match read_final_record(&row.value) {
                Some((outcome, done)) => {
                    self.job_shard.remember_outcome(job, outcome, done);
                    true
                }
                None => {
                    tracing::error!(job = %job, "unreadable final record");
                    false
                }
            },
            _ => false,
        };
        self.finish_lookup(now, job, readable, out);
    }

    /// Answers the requests that wait for a lookup; `readable`: whether the store's response shows the job's
    /// state.
    fn finish_lookup(&mut self, now: Micros, id: &str, readable: bool, out: &mut Vec<Effect>) {
        let Some(lookup) = self.user_requests.lookups.remove(id) else { return };
        for WaitingRequest { caller, request } in lookup.waiting {
            let reply = if !readable {
                Some(Reply::refuse(Refusal::RecordUnreadable))
            } else if self.is_known_job(id) {
                self.answer_as_leader(now, caller, request, out)
            } else {
                Some(self.answer_never_accepted(&request))
            };
            if let Some(reply) = reply {
                self.reply(now, caller, reply, out);
            }
        }
        self.answer_or_look_up(now, id, lookup.next, out);
    }

    pub(super) fn is_known_job(&self, id: &str) -> bool {
        self.job_shard.jobs.contains_key(id) || self.job_shard.outcome_of(id).is_some()
    }

    /// The answer about a job without any record.
    fn answer_never_accepted(&self, request: &UserRequest) -> Reply {
        let UserRequest::Submit(_, body) = request else { return Reply::error(404, "no such job") };
        let raw = serde_json::from_str(body).unwrap_or(Value::Null);
        let spec = match JobSpec::from_value(&raw) {
            Ok(spec) => spec,
            Err(error) => return Reply::error(error.status(), &error.to_string()),
        };
        match self.permanent_rejection_reason(&stored_description(&raw, &spec), &spec) {
            Some(why) => Reply::error(422, &why),
            None => {
                self.upgrade_rejection(&spec).unwrap_or_else(|| Reply::refuse(Refusal::MachineTypesChanged))
            }
        }
    }

    pub(super) fn answer_or_look_up(
        &mut self,
        now: Micros,
        id: &str,
        waiting: Vec<WaitingRequest>,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_known_job(id) {
            return self.look_up(now, id, waiting, out);
        }
        for WaitingRequest { caller, request } in waiting {
            if let Some(reply) = self.answer_as_leader(now, caller, request, out) {
                self.reply(now, caller, reply, out);
            }
        }
    }

    /// Answers a poll from the job's record if the leader can't: while a live record exists, no outcome has
    /// been reported to a user. Returns whether the record was requested.
    pub(super) fn read_record_for_poll(
        &mut self,
        now: Micros,
        poll: RecordPoll,
        id: &str,
        out: &mut Vec<Effect>,
    ) -> bool {
        if !self.membership.is_leader(now)
            || now < self.state_store.paused_until
            || self.state_store.in_flight.len() >= MAX_IN_FLIGHT_FOR_POLLS
            || !self.state_store.request_limiter.take(now, 2.0, 0.3)
        {
            return false;
        }
        let pending = PendingStoreRequest::PollRecord { job: id.to_owned(), poll };
        self.send_store_request(pending, StoreRequest::Get(format!("job/{id}")), out);
        true
    }

    /// Answers a poll from the live record of a job that another controller leads. A missing live record
    /// proves nothing, because the job may just be ending. An outcome is not reported from its record either:
    /// the leader may not have learned yet that it is stored, as the response to its write was lost or is
    /// late. The leader would go on reporting the job as running, and keep its tasks running, after the user
    /// was told that it had ended.
    pub(in crate::controller) fn answer_poll_from_record(
        &mut self,
        now: Micros,
        id: &str,
        poll: RecordPoll,
        answer: &StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let done = match answer {
            StoreAnswer::Got(Some(row)) => JobShard::read_record(&row.value)
                // Only the leader knows whether a job that a waiting one follows has been cancelled.
                .filter(|(_, spec, ..)| spec.dependencies.is_empty())
                .map(|(.., done)| done.len()),
            _ => None,
        };
        let state = done
            .filter(|_| self.membership.is_leader(now))
            .map(|done| Reply::json(200, &users::job_state_body(id, users::PENDING, done, 0)));
        match (poll, state) {
            (RecordPoll::Direct(caller), state) => {
                let reply = state.unwrap_or_else(|| Reply::refuse(Refusal::LeaderSilent));
                self.reply(now, caller, reply, out);
            }
            (RecordPoll::Forwarded(request), Some(state)) => self.end_forwarded(request, state, out),
            // The leader may still answer.
            (RecordPoll::Forwarded(_), None) => {}
        }
    }
}
