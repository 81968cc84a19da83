//! Jobs that are not known here, looked up in the state store.

use super::*;

/// With so many requests under way at the state store, polls of jobs whose leader doesn't answer are not looked up.
const IN_FLIGHT_FOR_POLLS: usize = 30;

/// A reading of a job's record that is under way.
pub(in crate::controller) struct Lookup {
    /// Tells its answer from those of earlier readings, also of an earlier epoch.
    number: u64,
    /// Requests that came before it began.
    waiting: Vec<WaitingRequest>,
    /// Requests that came since. What is being read may be older than what their users were told before they asked, so they
    /// wait for the next reading.
    next: Vec<WaitingRequest>,
}

impl Lookup {
    pub(super) fn into_callers(self) -> impl Iterator<Item = Caller> {
        self.waiting.into_iter().chain(self.next).map(|waiting| waiting.caller)
    }
}

impl UserRequests {
    /// Guards against the answer to an earlier reading of the same job, which is older than those who wait now.
    fn is_current_lookup(&self, job: &str, number: u64) -> bool {
        self.lookups.get(job).is_some_and(|lookup| lookup.number == number)
    }
}

impl Controller {
    /// Has the record of a job that isn't known here read for these requests, by a reading that begins now or later.
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
        let full = self.user_requests.lookups.len() >= WAITING_LIMIT;
        if let Some(lookup) = self.user_requests.lookups.get_mut(id)
            && lookup.next.len() < WAITING_LIMIT
        {
            return lookup.next.extend(waiting);
        }
        if full
            || self.user_requests.lookups.contains_key(id)
            || !self.state_store.request_limiter.take(now, 2.0, 0.3)
        {
            let callers = waiting.into_iter().map(|waiting| waiting.caller);
            return self.reply_to_all(now, callers, &Reply::retry_later("overloaded"), out);
        }
        let number = self.request_ids.next();
        self.user_requests.lookups.insert(id.to_owned(), Lookup { number, waiting, next: Vec::new() });
        let pending = PendingStoreRequest::LookUpJob { job: id.to_owned(), lookup: number };
        self.ask_store(pending, StoreRequest::Get(format!("job/{id}")), out);
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
                let readable = self.take_job_row(row);
                self.finish_lookup(now, &job, readable, out);
            }
            StoreAnswer::Got(None) => {
                let read = StoreRequest::Get(format!("done/{job}"));
                self.ask_store(PendingStoreRequest::LookUpOutcome { job, lookup }, read, out);
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

    /// Answers who waits for a job's record; `readable` tells whether the store has said what is on record.
    fn finish_lookup(&mut self, now: Micros, id: &str, readable: bool, out: &mut Vec<Effect>) {
        let Some(lookup) = self.user_requests.lookups.remove(id) else { return };
        for WaitingRequest { caller, request } in lookup.waiting {
            let reply = if !readable {
                Some(Reply::retry_later("the job's record could not be read"))
            } else if self.is_on_hand(id) {
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

    fn is_on_hand(&self, id: &str) -> bool {
        self.job_shard.jobs.contains_key(id) || self.job_shard.outcome_of(id).is_some()
    }

    /// The answer about a job of which nothing is on record.
    fn answer_never_accepted(&self, request: &UserRequest) -> Reply {
        let UserRequest::Submit(_, body) = request else { return Reply::error(404, "no such job") };
        let raw = serde_json::from_str(body).unwrap_or(Value::Null);
        let spec = match JobSpec::from_value(&raw) {
            Ok(spec) => spec,
            Err(error) => return Reply::error(error.status(), &error.to_string()),
        };
        match self.why_it_can_never_run(&stored_description(&raw, &spec), &spec) {
            Some(why) => Reply::error(422, &why),
            None => self
                .why_it_must_wait_for_upgrade(&spec)
                .unwrap_or_else(|| Reply::retry_later("machine types have changed")),
        }
    }

    pub(super) fn answer_or_look_up(
        &mut self,
        now: Micros,
        id: &str,
        waiting: Vec<WaitingRequest>,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_on_hand(id) {
            return self.look_up(now, id, waiting, out);
        }
        for WaitingRequest { caller, request } in waiting {
            if let Some(reply) = self.answer_as_leader(now, caller, request, out) {
                self.reply(now, caller, reply, out);
            }
        }
    }

    /// Answers a poll from the record where the job's leader can't: a live record says that nobody has told its end. Returns
    /// whether the record is asked for.
    pub(super) fn poll_record(
        &mut self,
        now: Micros,
        caller: Caller,
        id: &str,
        out: &mut Vec<Effect>,
    ) -> bool {
        if !self.membership.is_leader(now)
            || now < self.state_store.paused_until
            || self.state_store.in_flight.len() >= IN_FLIGHT_FOR_POLLS
            || !self.state_store.request_limiter.take(now, 2.0, 0.3)
        {
            return false;
        }
        let pending = PendingStoreRequest::PollRecord { job: id.to_owned(), caller };
        self.ask_store(pending, StoreRequest::Get(format!("job/{id}")), out);
        true
    }

    /// The record of a job of somebody else's. That there is none proves nothing: its end may just be moving. An end that
    /// is on record is not told here: the leader may not know yet that it is, since the answer to its write was lost or is
    /// late. It would go on saying that the job runs, and have its tasks run on, after its user was told that it has ended.
    pub(in crate::controller) fn answer_poll_from_record(
        &mut self,
        now: Micros,
        id: &str,
        caller: Caller,
        answer: &StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let done = match answer {
            StoreAnswer::Got(Some(row)) => JobShard::read_record(&row.value).map(|(.., done)| done.len()),
            _ => None,
        };
        let reply = match done {
            Some(done) if self.membership.is_leader(now) => {
                Reply::json(200, &users::job_state_body(id, users::PENDING, done, 0))
            }
            _ => Reply::retry_later("the job's owner does not answer"),
        };
        self.reply(now, caller, reply, out);
    }
}
