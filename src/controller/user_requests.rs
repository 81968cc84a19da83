//! Users' requests: answered here, forwarded to the job's leader, or answered from the job's record.
//!
//! [`UserRequests`] owns the requests that wait for a response of the state store or of a peer. An answer
//! must never be older than an answer that another user received before the request arrived.

mod forwarding;
mod held_requests;
mod lookups;
mod submissions;

pub(super) use self::forwarding::{ForwardedRequest, ProxyAcceptances};
use self::held_requests::HeldRequests;
pub(super) use self::lookups::{Lookup, RecordPoll};
#[cfg(test)]
use self::submissions::NewJob;
pub(super) use self::submissions::{CoordinatedWrite, Submission};
use super::*;
use crate::wire::users;

/// Limit of users' requests of one kind that wait for the state store or a peer; further ones are rejected at
/// once.
const MAX_WAITING_REQUESTS: usize = 1000;

/// The receiver of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Caller {
    /// A user connected to this controller.
    Ticket(u64),
    /// A user connected to another controller, with that controller's number for the request.
    Peer { peer: usize, request: u64 },
}

/// A user's request and the receiver of its answer.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    caller: Caller,
    request: UserRequest,
}

/// The pending requests of users.
#[derive(Default)]
pub(super) struct UserRequests {
    /// Submissions that are being stored, by job ID.
    pub(super) submissions: BTreeMap<String, Submission>,
    /// Lookups of the records of jobs that are unknown here, by job ID.
    pub(super) lookups: BTreeMap<String, Lookup>,
    /// The callers that wait for a job's cancellation, by job ID.
    pub(super) cancellations: BTreeMap<String, Vec<Caller>>,
    /// Requests forwarded to the job's leader, by their number.
    pub(super) forwarded: BTreeMap<u64, ForwardedRequest>,
    /// Requests whose answers are certain to be known soon.
    held: HeldRequests,
}

impl UserRequests {
    /// Removes and returns the callers that wait for a cancellation, a lookup or another answer of the store, after a change of the ring.
    pub(super) fn take_waiting(&mut self) -> Vec<Caller> {
        let cancellations = std::mem::take(&mut self.cancellations).into_values().flatten();
        let lookups = std::mem::take(&mut self.lookups).into_values().flat_map(Lookup::into_callers);
        cancellations.chain(lookups).chain(self.held.take_callers()).collect()
    }
}

impl Controller {
    pub(super) fn reply(&self, now: Micros, caller: Caller, reply: Reply, out: &mut Vec<Effect>) {
        match caller {
            Caller::Ticket(ticket) => out.push(Effect::Reply { ticket, reply }),
            Caller::Peer { peer, request } => {
                let response = Message::ForwardResponse { id: request, reply };
                self.send(now, peer, response, out);
            }
        }
    }

    fn reply_to_all(
        &self,
        now: Micros,
        callers: impl IntoIterator<Item = Caller>,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        for caller in callers {
            self.reply(now, caller, reply.clone(), out);
        }
    }

    /// Handles a user's request whose syntax has been checked, from a user or from another controller.
    pub(super) fn handle_user_request(
        &mut self,
        now: Micros,
        caller: Caller,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let job = request.job();
        let me = self.settings.me;
        let reply = match self.membership.job_forward_target(job) {
            None => Some(Reply::refuse(Refusal::NoRing)),
            Some(leader) if leader != me => self.forward_or_refuse(now, caller, leader, request, out),
            Some(_) if !self.can_answer_for(now, job) => {
                self.answer_while_taking_over(now, caller, &request, out)
            }
            Some(_) => self.answer_as_leader(now, caller, request, out),
        };
        if let Some(reply) = reply {
            self.reply(now, caller, reply, out);
        }
    }

    /// Handles a request while this controller leads the job but is not yet able to answer as its leader.
    /// None: the answer is sent later.
    fn answer_while_taking_over(
        &mut self,
        now: Micros,
        caller: Caller,
        request: &UserRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let is_handled = match request {
            // A new job can be stored even now, since the write is conditional on the absence of its record.
            UserRequest::Submit(job, body) => self.accept_without_lookup(now, caller, job, body, out),
            UserRequest::Query(job) => self.read_record_for_poll(now, RecordPoll::Direct(caller), job, out),
            _ => false,
        };
        (!is_handled).then(|| Reply::refuse(Refusal::TakingOver))
    }

    /// Whether this controller may answer as the job's leader: no other controller can still be answering as
    /// its leader.
    pub(super) fn can_answer_for(&self, now: Micros, job: &str) -> bool {
        self.membership.is_leader(now)
            && self.membership.job_leader(job) == Some(self.settings.me)
            && self.job_shard.loaded
            && self.membership.have_older_leaders_stopped(now)
    }

    /// Answers a request as the job's leader. None: the answer is sent later.
    fn answer_as_leader(
        &mut self,
        now: Micros,
        caller: Caller,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if let Some(refusal) = self.pending_knowledge(now, &request) {
            return self.hold_request(now, caller, request, refusal);
        }
        let id = request.job().to_owned();
        if self.job_shard.jobs.contains_key(&id) {
            match &request {
                UserRequest::Cancel(_) => {
                    self.cancel_job(id, caller);
                    return None;
                }
                UserRequest::Why(_) => return self.explain_wait(&id),
                UserRequest::Permit(_, task) => {
                    return self.answer_permit_request(now, caller, &id, task, out);
                }
                UserRequest::Submit(..) | UserRequest::Query(_) => {}
            }
        } else if matches!(request, UserRequest::Permit(..)) && self.job_shard.outcome_of(&id).is_some() {
            return Some(Reply::error(409, "the job has ended"));
        }
        if let Some(state) = self.job_state(now, &id) {
            return Some(match request {
                UserRequest::Cancel(_) => {
                    let outcome =
                        self.job_shard.outcome_of(&id).map_or(JobOutcome::Done, |(outcome, _)| outcome);
                    Reply::json(200, &users::outcome_body(&id, outcome))
                }
                _ => state,
            });
        }
        if let UserRequest::Submit(_, body) = &request {
            match self.submit_as_leader(now, caller, &id, body, out) {
                SubmissionDecision::Rejected(reply) => return Some(reply),
                SubmissionDecision::Pending => return None,
                SubmissionDecision::NeedsRecord => {}
            }
        }
        // The job is unknown here: only its record shows whether it was ever accepted.
        self.look_up(now, &id, vec![WaitingRequest { caller, request }], out);
        None
    }

    fn cancel_job(&mut self, id: String, caller: Caller) {
        if self.job_shard.cancel(&id) {
            tracing::info!(job = %id, "job cancellation requested");
        }
        self.user_requests.cancellations.entry(id).or_default().push(caller);
    }

    fn answer_permit_request(
        &mut self,
        now: Micros,
        caller: Caller,
        job: &str,
        attempt_and_task: &str,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let (attempt, task) = attempt_and_task.split_once('/').unwrap_or_default();
        match (attempt.parse(), task.parse()) {
            (Ok(attempt), Ok(task)) => self.handle_permit_request(now, caller, job, attempt, task, out),
            _ => Some(Reply::error(400, "attempt and task must be whole numbers")),
        }
    }

    /// The state of a job, if it is known here.
    fn job_state(&self, now: Micros, id: &str) -> Option<Reply> {
        if let Some(refusal) = self.job_shard.state_refusal(now, self.rounds.wall, id) {
            return Some(Reply::refuse(refusal));
        }
        let mut body = if let Some((stance, done, running)) = self.job_shard.user_status(id) {
            users::job_state_body(id, stance, done, running)
        } else {
            let (outcome, done) = self.job_shard.outcome_of(id)?;
            users::job_state_body(id, users::state_word(outcome), done, 0)
        };
        let log_stores = &self.settings.operators.log_stores;
        if !log_stores.is_empty() {
            body["logs"] = json!({"stores": log_stores, "path": format!("/v1/streams?job={id}")});
        }
        Some(Reply::json(200, &body))
    }

    /// Handles that a job's outcome is stored: removes the job from the shard and answers the callers that
    /// wait for its cancellation.
    pub(super) fn finish_job(&mut self, now: Micros, id: &str, outcome: JobOutcome, out: &mut Vec<Effect>) {
        self.job_shard.end_job(id, outcome);
        if outcome == JobOutcome::Cancelled {
            self.announce_cancelled_job(id);
        }
        let callers = self.user_requests.cancellations.remove(id).unwrap_or_default();
        self.reply_to_all(now, callers, &Reply::json(200, &users::outcome_body(id, outcome)), out);
    }
}

/// The immediate result of a submission.
enum SubmissionDecision {
    Rejected(Reply),
    /// The submission is being stored, or has joined a pending one of the same job.
    Pending,
    /// The decision needs the job's record.
    NeedsRecord,
}

#[cfg(test)]
mod tests;
