//! Users' requests: answered here, passed to the leader of the job's shard, or looked up in the job's record.
//!
//! [`UserRequests`] owns the requests that wait for an answer of the state store or of a peer. A user is never told what may
//! be older than what another user was told before the request came.

mod forwarding;
mod lookups;
mod submissions;

pub(super) use self::forwarding::{ForwardedRequest, StandIns};
pub(super) use self::lookups::Lookup;
#[cfg(test)]
use self::submissions::NewJob;
pub(super) use self::submissions::{CoordinatedWrite, Submission};
use super::*;
use crate::wire::users;

/// Users' requests that wait for an answer of the state store or of a peer; more are turned away at once.
const WAITING_LIMIT: usize = 1000;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Caller {
    /// A user whose connection is open here.
    Ticket(u64),
    /// A user of another controller, and the number of the request there.
    Peer { peer: usize, request: u64 },
}

/// A user's request and who waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    caller: Caller,
    request: UserRequest,
}

/// Users' requests that wait.
#[derive(Default)]
pub(super) struct UserRequests {
    /// Jobs that are being accepted, by id.
    pub(super) submissions: BTreeMap<String, Submission>,
    /// Readings of records of jobs that are not known here, by id.
    pub(super) lookups: BTreeMap<String, Lookup>,
    /// Who waits for a job's cancellation, by id.
    pub(super) cancellations: BTreeMap<String, Vec<Caller>>,
    /// Requests passed to their job's leader, by the number under which it answers.
    pub(super) forwarded: BTreeMap<u64, ForwardedRequest>,
}

impl UserRequests {
    /// Takes out who waits for a cancellation or for a record: the ring has changed.
    pub(super) fn take_waiting(&mut self) -> Vec<Caller> {
        let cancellations = std::mem::take(&mut self.cancellations).into_values().flatten();
        let lookups = std::mem::take(&mut self.lookups).into_values().flat_map(Lookup::into_callers);
        cancellations.chain(lookups).collect()
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

    /// Takes a user's request, its syntax checked, from a user or from another controller.
    pub(super) fn take_user_request(
        &mut self,
        now: Micros,
        caller: Caller,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let (kind, job) = (request.kind(), request.job().to_owned());
        let me = self.settings.me;
        let reply = match self.membership.job_forward_target(&job) {
            None => Some(Reply::retry_later("no ring yet")),
            Some(leader) if leader != me => self.forward_or_refuse(now, caller, leader, request, out),
            Some(_) if !self.answers_for(now, &job) => {
                self.answer_while_taking_over(now, caller, &request, out)
            }
            Some(_) => self.answer_as_leader(now, caller, request, out),
        };
        let Some(reply) = reply else { return };
        if reply.status >= 429 {
            tracing::debug!(kind, job, status = reply.status, reason = %reply.body, "request refused");
        }
        self.reply(now, caller, reply, out);
    }

    /// This controller leads the job's shard, and may not answer for it yet. None: the answer comes later.
    fn answer_while_taking_over(
        &mut self,
        now: Micros,
        caller: Caller,
        request: &UserRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let taken = match request {
            // A new job can be put on record all the same: the record must not exist yet.
            UserRequest::Submit(job, body) => self.accept_unseen(now, caller, job, body, out),
            UserRequest::Query(job) => self.poll_record(now, caller, job, out),
            _ => false,
        };
        (!taken).then(|| Reply::retry_later("taking over"))
    }

    /// A job's leader answers only while nobody else can be giving answers as its leader.
    pub(super) fn answers_for(&self, now: Micros, job: &str) -> bool {
        self.membership.is_leader(now)
            && self.membership.job_leader(job) == Some(self.settings.me)
            && self.job_shard.loaded
            && self.membership.have_older_leaders_stopped(now)
    }

    /// The answer of the job's leader. None: it comes later.
    fn answer_as_leader(
        &mut self,
        now: Micros,
        caller: Caller,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let id = request.job().to_owned();
        if self.job_shard.jobs.contains_key(&id) {
            match &request {
                UserRequest::Cancel(_) => {
                    self.cancel_job(id, caller);
                    return None;
                }
                UserRequest::Why(_) => return self.why(&id),
                UserRequest::Permit(_, task) => {
                    return self.answer_permit_request(now, caller, &id, task, out);
                }
                UserRequest::Submit(..) | UserRequest::Query(_) => {}
            }
        } else if matches!(request, UserRequest::Permit(..)) && self.job_shard.outcome_of(&id).is_some() {
            return Some(Reply::error(409, "the job has ended"));
        }
        if let Some(state) = self.job_state(&id) {
            return Some(match request {
                UserRequest::Cancel(_) => {
                    let outcome =
                        self.job_shard.outcome_of(&id).map_or(JobOutcome::Done, |(outcome, _)| outcome);
                    Reply::json(200, &users::outcome_body(&id, outcome))
                }
                _ => state,
            });
        }
        match &request {
            UserRequest::Submit(_, body) => match self.submit_as_leader(now, caller, &id, body, out) {
                Decision::Refused(reply) => return Some(reply),
                Decision::Taken => return None,
                Decision::NeedsRecord => {}
            },
            _ if self.user_requests.submissions.contains_key(&id) => {
                return Some(Reply::retry_later("being accepted"));
            }
            _ => {}
        }
        // Unknown here: only the store can tell whether it was ever accepted.
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
            (Ok(attempt), Ok(task)) => self.permit(now, caller, job, attempt, task, out),
            _ => Some(Reply::error(400, "attempt and task must be whole numbers")),
        }
    }

    /// How a job stands, if it is known here.
    fn job_state(&self, id: &str) -> Option<Reply> {
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

    /// A job's end is on record: it leaves the shard, and who waits for its cancellation is told.
    pub(super) fn finish_job(&mut self, now: Micros, id: &str, outcome: JobOutcome, out: &mut Vec<Effect>) {
        self.job_shard.end_job(id, outcome);
        let callers = self.user_requests.cancellations.remove(id).unwrap_or_default();
        self.reply_to_all(now, callers, &Reply::json(200, &users::outcome_body(id, outcome)), out);
    }
}

/// What becomes of a submission at once.
enum Decision {
    Refused(Reply),
    /// It is being put on record, or waits with one that is.
    Taken,
    /// Only the job's record can tell.
    NeedsRecord,
}

#[cfg(test)]
mod tests;
