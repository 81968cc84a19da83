//! New jobs: checked, and put on record on condition that nothing of them is on record yet.

use super::*;
use crate::controller::coordination::JoinDecision;
use crate::controller::dependencies::MOST_DEPENDENCIES;

/// A submission that has to be taken in place of the job's leader needs so much of the write budget.
const LEVEL_TO_STAND_IN: f64 = 0.2;
/// Bytes that a release's night takes in a record; it is filled in after the length is checked.
const NIGHT_BYTES: usize = 32;

/// A job that is being accepted.
pub(in crate::controller) struct Submission {
    callers: Vec<Caller>,
    /// Requests that came after it was sent to the store: by the time of the answer the job may have ended.
    late_callers: Vec<Caller>,
    is_sent: bool,
    pub(in crate::controller) spec: JobSpec,
    /// The description as it goes on record.
    pub(in crate::controller) description: Value,
    /// The time of day at which it came.
    accepted_wall: Micros,
    /// Jobs that it follows and that are not yet known to have been accepted.
    pub(in crate::controller) unchecked_dependencies: BTreeSet<String>,
    /// When it came, by the steady clock.
    pub(in crate::controller) came_at: Micros,
    /// Readings that decide about it must have begun since.
    pub(in crate::controller) readings_since: Micros,
    /// A record that is written together with it.
    pub(in crate::controller) coordinated_write: Option<CoordinatedWrite>,
}

/// A coordination record that is written in the transaction that puts a job on record.
#[derive(Clone, Debug)]
pub(in crate::controller) struct CoordinatedWrite {
    pub(in crate::controller) key: Key,
    pub(in crate::controller) record: CoordinationRecord,
    pub(in crate::controller) sent_at: Micros,
}

/// A job that can run, as far as its description tells.
pub(super) struct NewJob {
    pub(super) id: String,
    pub(super) spec: JobSpec,
    /// Trimmed: a body with superfluous fields must not make a record that the store won't take.
    pub(super) description: Value,
}

impl Submission {
    /// It is sent to the store now: all requests so far came before.
    pub(in crate::controller) fn mark_sent(&mut self) {
        self.is_sent = true;
        self.callers.append(&mut self.late_callers);
    }

    /// Another submission of the same job. Guards against an answer that is older than what its user was told before asking:
    /// while the store's answer is on its way the job may be ended through another controller.
    fn join(&mut self, caller: Caller) {
        if self.is_sent { self.late_callers.push(caller) } else { self.callers.push(caller) }
    }

    /// What goes on record of it.
    pub(in crate::controller) fn record(&self) -> Value {
        JobShard::build_new_record(&self.description, &self.spec, self.accepted_wall)
    }
}

impl Controller {
    /// Accepts a job without having seen whether it is known: its leader does not answer, or may not yet
    /// answer itself. That is safe because acceptance needs nothing but the record, which is written on
    /// condition of the epoch and of there being no record of the job. Anything but a new job is left
    /// to the leader. Says whether the request was taken.
    pub(super) fn accept_unseen(
        &mut self,
        now: Micros,
        caller: Caller,
        id: &str,
        body: &str,
        out: &mut Vec<Effect>,
    ) -> bool {
        if let Some(submission) = self.user_requests.submissions.get_mut(id) {
            submission.join(caller);
            return true;
        }
        if !self.membership.is_leader(now)
            || self.autoscaler.machine_types.is_empty()
            || self.state_store.write_limiter.level(now) < LEVEL_TO_STAND_IN
        {
            return false;
        }
        let raw: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let Ok(spec) = JobSpec::from_value(&raw) else { return false };
        let description = stored_description(&raw, &spec);
        if self.why_it_can_never_run(&description, &spec).is_some()
            || self.why_it_must_wait_for_upgrade(&spec).is_some()
        {
            return false;
        }
        if let Some(reply) = self.accept(now, caller, NewJob { id: id.to_owned(), spec, description }, out) {
            self.reply(now, caller, reply, out);
        }
        true
    }

    /// A submission of a job that this controller leads and does not know.
    pub(super) fn submit_as_leader(
        &mut self,
        now: Micros,
        caller: Caller,
        id: &str,
        body: &str,
        out: &mut Vec<Effect>,
    ) -> Decision {
        if let Some(submission) = self.user_requests.submissions.get_mut(id) {
            submission.join(caller);
            return Decision::Taken;
        }
        let raw: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        // One that can't be taken may still repeat a job that was: its record is read before it is turned down.
        let Ok(spec) = JobSpec::from_value(&raw) else { return Decision::NeedsRecord };
        if self.autoscaler.machine_types.is_empty() {
            return Decision::Refused(Reply::retry_later("machine types are not known yet"));
        }
        let description = stored_description(&raw, &spec);
        if self.why_it_must_wait_for_upgrade(&spec).is_some()
            || self.why_it_can_never_run(&description, &spec).is_some()
        {
            return Decision::NeedsRecord;
        }
        match self.accept(now, caller, NewJob { id: id.to_owned(), spec, description }, out) {
            Some(reply) => Decision::Refused(reply),
            None => Decision::Taken,
        }
    }

    /// Why a job can never run here, if so, by its trimmed description. Nobody is told before its record was looked for: a
    /// repeated submission may have another body than the first, which was taken.
    pub(super) fn why_it_can_never_run(&self, description: &Value, spec: &JobSpec) -> Option<String> {
        if let Err(error) = spec.check(&self.autoscaler.machine_types, &self.settings.teams) {
            return Some(error.to_string());
        }
        let limit = self.settings.value_bytes;
        let lacks_night = spec.release.as_ref().is_some_and(|release| release.night.is_none());
        let night = if lacks_night { NIGHT_BYTES } else { 0 };
        if JobShard::max_record_bytes(description, spec, self.rounds.wall) + night > limit {
            return Some(format!(
                "the description is too long to be kept: its record may have {limit} bytes"
            ));
        }
        if spec.dependencies.len() > MOST_DEPENDENCIES {
            let most = MOST_DEPENDENCIES;
            return Some(format!("follows: a job may name {most} others at most"));
        }
        None
    }

    /// Begins to put a job on record that can run. Some: it is turned away for now.
    pub(super) fn accept(
        &mut self,
        now: Micros,
        caller: Caller,
        job: NewJob,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if self.user_requests.submissions.len() >= WAITING_LIMIT {
            return Some(Reply::retry_later("overloaded"));
        }
        let unchecked_dependencies = match self.begin_dependency_check(now, &job.id, &job.spec, out) {
            Ok(unchecked) => unchecked,
            Err(reply) => return Some(reply),
        };
        let submission = Submission {
            callers: vec![caller],
            late_callers: Vec::new(),
            is_sent: false,
            spec: job.spec,
            description: job.description,
            accepted_wall: self.rounds.wall,
            unchecked_dependencies,
            came_at: now,
            readings_since: now,
            coordinated_write: None,
        };
        self.user_requests.submissions.insert(job.id.clone(), submission);
        self.put_on_record(now, job.id, out);
        None
    }

    /// Puts a checked submission on record, on condition of the coordination records that it joins.
    pub(in crate::controller) fn put_on_record(&mut self, now: Micros, id: String, out: &mut Vec<Effect>) {
        let Some(submission) = self.user_requests.submissions.get(&id) else { return };
        if !submission.unchecked_dependencies.is_empty() {
            return;
        }
        if !self.membership.is_leader(now) {
            return self.give_up_submission(now, &id, &Reply::retry_later("not able to act"), out);
        }
        let joins = match self.gate_submission(now, &id, out) {
            JoinDecision::Open(joins) => joins,
            JoinDecision::Wait => return,
            JoinDecision::Later(why) => {
                return self.give_up_submission(now, &id, &Reply::retry_later(&why), out);
            }
            JoinDecision::Never(why) => return self.reject_submission(id, why, out),
        };
        let submission = self.user_requests.submissions.get(&id);
        let writes_two = submission.is_some_and(|submission| submission.coordinated_write.is_some());
        if !self.state_store.write_limiter.take(now, if writes_two { 2.0 } else { 1.0 }, 0.0) {
            return self.give_up_submission(now, &id, &Reply::retry_later("overloaded"), out);
        }
        let mut conditions = self.conditions_for_new_job(&id);
        conditions.extend(joins);
        let Some(submission) = self.user_requests.submissions.get_mut(&id) else { return };
        submission.mark_sent();
        let mut puts = vec![(format!("job/{id}"), submission.record(), None)];
        let together = submission.coordinated_write.iter();
        puts.extend(together.map(|write| (write.key.head_key(), write.record.to_value(), None)));
        let transaction = Transaction { conditions, puts, deletes: Vec::new() };
        let pending = PendingStoreRequest::AcceptJob { job: id, epoch: self.membership.epoch };
        self.ask_store(pending, StoreRequest::Transaction(transaction), out);
    }

    /// Nothing of the job is on record, neither live nor ended.
    fn conditions_for_new_job(&self, id: &str) -> Vec<(String, u64)> {
        vec![self.fence(), (format!("job/{id}"), 0), (format!("done/{id}"), 0)]
    }

    /// A submission can never be taken, unless it was taken before: only the store can tell.
    pub(in crate::controller) fn reject_submission(
        &mut self,
        id: String,
        reason: String,
        out: &mut Vec<Effect>,
    ) {
        let Some(submission) = self.user_requests.submissions.get_mut(&id) else { return };
        submission.mark_sent();
        let conditions = self.conditions_for_new_job(&id);
        let transaction = Transaction { conditions, ..Transaction::default() };
        let pending = PendingStoreRequest::RejectJob { job: id, reason };
        self.ask_store(pending, StoreRequest::Transaction(transaction), out);
    }

    /// The store has compared: if nothing of the job is on record it is refused for good.
    pub(in crate::controller) fn apply_rejection(
        &mut self,
        now: Micros,
        id: String,
        reason: &str,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match answer {
            StoreAnswer::Committed(_) => self.give_up_submission(now, &id, &Reply::error(422, reason), out),
            answer => {
                let epoch = self.membership.epoch;
                self.apply_acceptance(now, id, epoch, answer, out);
            }
        }
    }

    /// The store has answered whether the job is on record now.
    pub(in crate::controller) fn apply_acceptance(
        &mut self,
        now: Micros,
        id: String,
        epoch: u64,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        if self.retry_after_record_change(now, &id, &answer, out) {
            return;
        }
        let Some(submission) = self.user_requests.submissions.remove(&id) else { return };
        match answer {
            StoreAnswer::Committed(store_version) => {
                self.finish_acceptance(now, &id, epoch, submission, store_version, out);
            }
            // It was accepted before.
            StoreAnswer::Conflict(keys) if !keys.iter().any(|key| key == EPOCH_KEY) => {
                let callers = submission.callers.into_iter().chain(submission.late_callers).collect();
                self.answer_as_known(now, &id, &submission.description, callers, out);
            }
            _ => {
                let callers = submission.callers.into_iter().chain(submission.late_callers);
                let reply = Reply::retry_later("the job could not be put on record");
                self.reply_to_all(now, callers, &reply, out);
            }
        }
    }

    fn finish_acceptance(
        &mut self,
        now: Micros,
        id: &str,
        epoch: u64,
        submission: Submission,
        store_version: u64,
        out: &mut Vec<Effect>,
    ) {
        let Submission { callers, late_callers, spec, description, accepted_wall, .. } = submission;
        tracing::info!(job = %id, class = %spec.class, team = %spec.team, tasks = spec.task_count, epoch, "job accepted");
        self.raised(id, submission.coordinated_write, store_version);
        // Written under an epoch that has passed, it may have been another's since, and have ended: what lives
        // is among the records that are read in this one.
        let is_current = epoch == self.membership.epoch;
        if self.membership.job_leader(id) != Some(self.settings.me) {
            // Its leader reads the record when it is asked about the job, or in the next epoch.
            self.stand_ins.next_notice.insert(id.to_owned(), now);
            if is_current {
                self.start_replica.note_stand_in(id, &self.stand_ins.next_notice);
            }
        } else if is_current {
            let none_done = TaskIndexSet::default();
            self.job_shard.insert_job(
                description.clone(),
                spec,
                accepted_wall,
                none_done,
                store_version,
                true,
            );
        }
        // The end may have been told meanwhile: the record can be read before the answer to its write is here.
        let ended = self.job_shard.outcome_of(id).and_then(|_| self.job_state(id));
        let reply = ended.unwrap_or_else(|| Reply::json(201, &users::accepted_body(id)));
        self.reply_to_all(now, callers, &reply, out);
        self.answer_as_known(now, id, &description, late_callers, out);
    }

    /// Answers repeated submissions of a job that is on record by how it stands now: by the leader's word, or, where the
    /// leader does not answer, by the record.
    fn answer_as_known(
        &mut self,
        now: Micros,
        id: &str,
        description: &Value,
        callers: Vec<Caller>,
        out: &mut Vec<Effect>,
    ) {
        if callers.is_empty() {
            return;
        }
        if self.answers_for(now, id) {
            let body = description.to_string();
            let again =
                |caller| WaitingRequest { caller, request: UserRequest::Submit(id.to_owned(), body.clone()) };
            return self.answer_or_look_up(now, id, callers.into_iter().map(again).collect(), out);
        }
        for caller in callers {
            if !self.poll_record(now, caller, id, out) {
                self.reply(now, caller, Reply::retry_later("the job could not be put on record"), out);
            }
        }
    }

    /// A submission is not taken: tells who waits for it.
    pub(in crate::controller) fn give_up_submission(
        &mut self,
        now: Micros,
        id: &str,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        let Some(submission) = self.user_requests.submissions.remove(id) else { return };
        self.reply_to_all(now, submission.callers, reply, out);
        // What was compared is older than these requests: somebody else may have accepted it since.
        let reply = Reply::retry_later("the job could not be put on record");
        self.reply_to_all(now, submission.late_callers, &reply, out);
    }
}
