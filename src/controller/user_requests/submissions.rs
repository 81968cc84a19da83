//! New jobs: checked, and stored on condition that no record of them exists.

use super::*;
use crate::controller::coordination::JoinDecision;
use crate::controller::dependencies::MAX_DEPENDENCIES;

/// Write budget required to accept a job on behalf of its leader.
const MIN_BUDGET_FOR_PROXY_ACCEPTANCE: f64 = 0.2;
/// Space reserved in a record for the release's night, which is filled in after the length has been checked.
const NIGHT_BYTES: usize = 32;

/// A job that is being accepted.
pub(in crate::controller) struct Submission {
    callers: Vec<Caller>,
    /// Callers whose requests arrived after the write was sent: the job may have ended by the time of the
    /// response.
    late_callers: Vec<Caller>,
    is_sent: bool,
    pub(in crate::controller) spec: JobSpec,
    /// The description as it will be stored.
    pub(in crate::controller) description: Value,
    /// The wall-clock time at which it arrived.
    accepted_wall: Micros,
    /// Jobs that it follows and that are not yet known to have been accepted.
    pub(in crate::controller) unchecked_dependencies: BTreeSet<String>,
    /// When it arrived, by the monotonic clock.
    pub(in crate::controller) arrived_at: Micros,
    /// Only record reads requested since this time count for the decision.
    pub(in crate::controller) reads_since: Micros,
    /// A record written in the same transaction.
    pub(in crate::controller) coordinated_write: Option<CoordinatedWrite>,
}

/// A coordination record written in the transaction that stores a job.
#[derive(Clone, Debug)]
pub(in crate::controller) struct CoordinatedWrite {
    pub(in crate::controller) key: Key,
    pub(in crate::controller) record: CoordinationRecord,
    pub(in crate::controller) sent_at: Micros,
}

/// A job whose description is valid.
pub(super) struct NewJob {
    pub(super) id: String,
    pub(super) spec: JobSpec,
    /// Without superfluous fields, which could make the record too long for the store.
    pub(super) description: Value,
}

impl Submission {
    /// Marks the submission as sent to the store; all callers so far count as earlier than the write.
    pub(in crate::controller) fn mark_sent(&mut self) {
        self.is_sent = true;
        self.callers.append(&mut self.late_callers);
    }

    /// Adds another submission of the same job. While the write is in flight the job may already end through
    /// another controller, so a caller that joins now must not be answered by the write's response: it could
    /// be older than what its user was told before.
    fn join(&mut self, caller: Caller) {
        if self.is_sent { self.late_callers.push(caller) } else { self.callers.push(caller) }
    }

    /// The record to store.
    pub(in crate::controller) fn record(&self) -> Value {
        JobShard::build_new_record(&self.description, &self.spec, self.accepted_wall)
    }
}

impl Controller {
    /// Accepts a job without looking up whether it is known, on behalf of a leader that is unresponsive or
    /// not yet able to answer. This is safe because acceptance needs only the write of the record, which is
    /// conditional on the epoch and on the absence of any record of the job. Any request that is not clearly
    /// a new, valid job is left to the leader. Returns whether the request was handled.
    pub(super) fn accept_without_lookup(
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
            || self.state_store.write_limiter.level(now) < MIN_BUDGET_FOR_PROXY_ACCEPTANCE
        {
            return false;
        }
        let raw: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let Ok(spec) = JobSpec::from_value(&raw) else { return false };
        let description = stored_description(&raw, &spec);
        if self.permanent_rejection_reason(&description, &spec).is_some()
            || self.upgrade_rejection(&spec).is_some()
        {
            return false;
        }
        if let Some(reply) = self.accept(now, caller, NewJob { id: id.to_owned(), spec, description }, out) {
            self.reply(now, caller, reply, out);
        }
        true
    }

    /// Handles the submission of a job that this controller leads and that is unknown here.
    pub(super) fn submit_as_leader(
        &mut self,
        now: Micros,
        caller: Caller,
        id: &str,
        body: &str,
        out: &mut Vec<Effect>,
    ) -> SubmissionDecision {
        if let Some(submission) = self.user_requests.submissions.get_mut(id) {
            submission.join(caller);
            return SubmissionDecision::Pending;
        }
        let raw: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        // An invalid submission may repeat an accepted one, so the record is read before it is rejected.
        let Ok(spec) = JobSpec::from_value(&raw) else { return SubmissionDecision::NeedsRecord };
        if self.autoscaler.machine_types.is_empty() {
            return SubmissionDecision::Rejected(Reply::refuse(Refusal::MachineTypesUnknown));
        }
        let description = stored_description(&raw, &spec);
        if self.upgrade_rejection(&spec).is_some()
            || self.permanent_rejection_reason(&description, &spec).is_some()
        {
            return SubmissionDecision::NeedsRecord;
        }
        match self.accept(now, caller, NewJob { id: id.to_owned(), spec, description }, out) {
            Some(reply) => SubmissionDecision::Rejected(reply),
            None => SubmissionDecision::Pending,
        }
    }

    /// The reason why a job can never run, if there is one, by its trimmed description. It is sent to the
    /// user only after the job's record has been looked up: a repeated submission may have a different body
    /// than the one that was accepted.
    pub(super) fn permanent_rejection_reason(&self, description: &Value, spec: &JobSpec) -> Option<String> {
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
        if spec.dependencies.len() > MAX_DEPENDENCIES {
            let most = MAX_DEPENDENCIES;
            return Some(format!("follows: a job may name {most} others at most"));
        }
        None
    }

    /// Begins to store a valid job. Returns a reply if it is rejected for now.
    pub(super) fn accept(
        &mut self,
        now: Micros,
        caller: Caller,
        job: NewJob,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if self.user_requests.submissions.len() >= MAX_WAITING_REQUESTS {
            return Some(Reply::refuse(Refusal::Overloaded));
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
            arrived_at: now,
            reads_since: now,
            coordinated_write: None,
        };
        self.user_requests.submissions.insert(job.id.clone(), submission);
        self.write_acceptance(now, job.id, out);
        None
    }

    /// Stores a checked submission, on the conditions of the coordination records that it joins.
    pub(in crate::controller) fn write_acceptance(&mut self, now: Micros, id: String, out: &mut Vec<Effect>) {
        let Some(submission) = self.user_requests.submissions.get(&id) else { return };
        if !submission.unchecked_dependencies.is_empty() {
            return;
        }
        if !self.membership.is_leader(now) {
            return self.fail_submission(now, &id, &Reply::refuse(Refusal::NotLeader), out);
        }
        let joins = match self.decide_submission_join(now, &id, out) {
            JoinDecision::Allow(joins) => joins,
            JoinDecision::Pending => return,
            JoinDecision::Defer(why) => {
                return self.fail_submission(now, &id, &Reply::refuse(why), out);
            }
            JoinDecision::Reject(why) => return self.reject_submission(id, why, out),
        };
        let submission = self.user_requests.submissions.get(&id);
        let writes_two = submission.is_some_and(|submission| submission.coordinated_write.is_some());
        if !self.state_store.write_limiter.take(now, if writes_two { 2.0 } else { 1.0 }, 0.0) {
            return self.fail_submission(now, &id, &Reply::refuse(Refusal::Overloaded), out);
        }
        let mut conditions = self.conditions_for_new_job(&id);
        conditions.extend(joins);
        let Some(submission) = self.user_requests.submissions.get_mut(&id) else { return };
        submission.mark_sent();
        let mut puts = vec![(format!("job/{id}"), submission.record(), None)];
        let joint_writes = submission.coordinated_write.iter();
        puts.extend(joint_writes.map(|write| (write.key.head_key(), write.record.to_value(), None)));
        let transaction = Transaction { conditions, puts, deletes: Vec::new() };
        let pending = PendingStoreRequest::AcceptJob { job: id, epoch: self.membership.epoch };
        self.send_store_request(pending, StoreRequest::Transaction(transaction), out);
    }

    /// The conditions that neither a live nor a final record of the job exists.
    fn conditions_for_new_job(&self, id: &str) -> Vec<(String, u64)> {
        vec![self.fencing_condition(), (format!("job/{id}"), 0), (format!("done/{id}"), 0)]
    }

    /// Rejects a submission, provided that the job was not accepted before, which the store must confirm.
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
        self.send_store_request(pending, StoreRequest::Transaction(transaction), out);
    }

    /// Applies the store's response to a rejection: final if no record of the job exists.
    pub(in crate::controller) fn apply_rejection(
        &mut self,
        now: Micros,
        id: String,
        reason: &str,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match answer {
            StoreAnswer::Committed(_) => self.fail_submission(now, &id, &Reply::error(422, reason), out),
            answer => {
                let epoch = self.membership.epoch;
                self.apply_acceptance(now, id, epoch, answer, out);
            }
        }
    }

    /// Applies the store's response to the write that accepts a job.
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
            // The job was accepted before.
            StoreAnswer::Conflict(keys) if !keys.iter().any(|key| key == EPOCH_KEY) => {
                let callers = submission.callers.into_iter().chain(submission.late_callers).collect();
                self.answer_repeated_submissions(now, &id, &submission.description, callers, out);
            }
            _ => {
                let callers = submission.callers.into_iter().chain(submission.late_callers);
                let reply = Reply::refuse(Refusal::NotOnRecord);
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
        self.note_raised_batch(id, submission.coordinated_write, store_version);
        // If the write was made in an earlier epoch, the job may have had another leader since and have
        // ended. The records that are loaded in this epoch show whether it is live.
        let is_current = epoch == self.membership.epoch;
        if self.membership.job_leader(id) != Some(self.settings.me) {
            // The job's leader reads the record when it is asked about the job, or in the next epoch.
            self.proxy_acceptances.next_notice_at.insert(id.to_owned(), now);
            if is_current {
                self.start_replica.note_proxy_acceptance(id, &self.proxy_acceptances.next_notice_at);
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
        // The job's outcome may be known already, since the record can be read before the response to its
        // write arrives.
        let state_if_ended = self.job_shard.outcome_of(id).and_then(|_| self.job_state(now, id));
        let reply = state_if_ended.unwrap_or_else(|| Reply::json(201, &users::accepted_body(id)));
        self.reply_to_all(now, callers, &reply, out);
        self.answer_repeated_submissions(now, id, &description, late_callers, out);
    }

    /// Answers repeated submissions of a stored job by its current state if this controller leads the job,
    /// and by its record otherwise.
    fn answer_repeated_submissions(
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
        if self.can_answer_for(now, id) {
            let body = description.to_string();
            let to_submission =
                |caller| WaitingRequest { caller, request: UserRequest::Submit(id.to_owned(), body.clone()) };
            return self.answer_or_look_up(now, id, callers.into_iter().map(to_submission).collect(), out);
        }
        for caller in callers {
            if !self.read_record_for_poll(now, RecordPoll::Direct(caller), id, out) {
                self.reply(now, caller, Reply::refuse(Refusal::NotOnRecord), out);
            }
        }
    }

    /// Ends a submission that is not accepted, and answers its callers.
    pub(in crate::controller) fn fail_submission(
        &mut self,
        now: Micros,
        id: &str,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        let Some(submission) = self.user_requests.submissions.remove(id) else { return };
        self.reply_to_all(now, submission.callers, reply, out);
        // The late callers' requests arrived after the conditions were compared: another controller may have
        // accepted the job since.
        let reply = Reply::refuse(Refusal::NotOnRecord);
        self.reply_to_all(now, submission.late_callers, &reply, out);
    }
}
