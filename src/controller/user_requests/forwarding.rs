//! Requests passed to the leader of the job's shard, and jobs accepted in its place.

use super::*;

/// A poll that has had no answer for so long is answered from the record: its user waits for two seconds.
const POLL_PATIENCE: Micros = Micros::from_millis(600);
/// Any other request that has had no answer for so long is turned away.
const REQUEST_PATIENCE: Micros = Micros::from_millis(1500);
/// A leader is told of a job that was accepted in its place so often.
const NOTICE_PERIOD: Micros = Micros::from_millis(1000);
/// A submission is helped out while so much of the write budget is left here.
const LEVEL_TO_HELP_OUT: f64 = 0.5;

/// A request passed to a peer.
pub(in crate::controller) struct ForwardedRequest {
    /// Who waits for the answer, if anybody does.
    pub(in crate::controller) ticket: Option<u64>,
    sent_at: Micros,
    pub(in crate::controller) request: UserRequest,
}

impl ForwardedRequest {
    fn is_overdue(&self, now: Micros) -> bool {
        let poll = self.ticket.is_some() && matches!(self.request, UserRequest::Query(_));
        now.since(self.sent_at) >= if poll { POLL_PATIENCE } else { REQUEST_PATIENCE }
    }

    fn is_users_submission(&self) -> bool {
        self.ticket.is_some() && matches!(self.request, UserRequest::Submit(..))
    }
}

/// Jobs accepted in place of a leader that did not answer.
#[derive(Default)]
pub(in crate::controller) struct StandIns {
    /// When the leader is next told of the job, by id.
    pub(in crate::controller) next_notice: BTreeMap<String, Micros>,
}

impl Controller {
    /// Passes a user's request to the job's leader. Some: it can't be.
    pub(super) fn forward_or_refuse(
        &mut self,
        now: Micros,
        caller: Caller,
        leader: usize,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.can_read_request(leader, &request) {
            return Some(Reply::retry_later("not every controller can run such jobs yet"));
        }
        match caller {
            Caller::Ticket(ticket) if self.user_requests.forwarded.len() < WAITING_LIMIT => {
                self.forward(now, leader, Some(ticket), request, out);
                None
            }
            _ => Some(Reply::retry_later("busy, or the job has moved")),
        }
    }

    /// Whether a peer takes all of what a request says. An older version would take the job without the jobs that it
    /// follows, or without the records that it names, or would drop the link.
    fn can_read_request(&self, peer: usize, request: &UserRequest) -> bool {
        if self.reads(peer, frame_forms::COORDINATION_FORM) {
            return true;
        }
        let body = match request {
            UserRequest::Submit(_, body) => body,
            UserRequest::Query(_) | UserRequest::Cancel(_) => return true,
            UserRequest::Why(_) | UserRequest::Permit(..) => return false,
        };
        !JobSpec::parse(body).is_ok_and(|spec| {
            spec.has_coordination_record()
                || (!spec.dependencies.is_empty() && !self.reads_dependencies(peer))
        })
    }

    fn forward(
        &mut self,
        now: Micros,
        to: usize,
        ticket: Option<u64>,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let id = self.request_ids.next();
        self.send(now, to, Message::ForwardRequest { id, request: request.clone() }, out);
        self.user_requests.forwarded.insert(id, ForwardedRequest { ticket, sent_at: now, request });
    }

    /// The job's leader has answered, in this epoch.
    pub(in crate::controller) fn apply_forward_response(
        &mut self,
        now: Micros,
        epoch: u64,
        id: u64,
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let Some(forwarded) = self.user_requests.forwarded.remove(&id) else { return };
        // One that is in a newer epoch than ours can't have started it in this one: that it is new stays worth saying.
        if reply.status == 200 && epoch <= self.membership.epoch {
            self.stand_ins.next_notice.remove(forwarded.request.job());
        }
        let Some(ticket) = forwarded.ticket else { return };
        // A leader that has spent its share of the write budget is helped out by one that has not.
        if let (503, UserRequest::Submit(job, body)) = (reply.status, &forwarded.request)
            && self.state_store.write_limiter.level(now) >= LEVEL_TO_HELP_OUT
            && self.accept_unseen(now, Caller::Ticket(ticket), job, body, out)
        {
            return;
        }
        out.push(Effect::Reply { ticket, reply });
    }

    /// Requests passed to a peer that has not answered: a submission is taken in its place, others are
    /// told to come back. Leaders in whose place jobs were accepted are told until they know them.
    pub(in crate::controller) fn handle_overdue_requests(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // An answer takes a few hundredths of a second. Users of new jobs wait for no more than that.
        let submission_patience = Micros(self.settings.digest.0 / 4);
        let slow: Vec<u64> = self
            .user_requests
            .forwarded
            .iter()
            .filter(|(_, forwarded)| {
                let waited = now.since(forwarded.sent_at);
                forwarded.is_overdue(now)
                    || (forwarded.is_users_submission() && waited >= submission_patience)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in slow {
            self.answer_in_place_of_leader(now, id, out);
        }
        self.notify_leaders_of_stand_ins(now, out);
    }

    fn answer_in_place_of_leader(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        let Some(forwarded) = self.user_requests.forwarded.remove(&id) else { return };
        let Some(ticket) = forwarded.ticket else { return };
        let caller = Caller::Ticket(ticket);
        let taken = match &forwarded.request {
            UserRequest::Submit(job, body) => self.accept_unseen(now, caller, job, body, out),
            UserRequest::Query(job) => self.poll_record(now, caller, job, out),
            _ => false,
        };
        if taken {
            return;
        }
        if forwarded.is_overdue(now) {
            let (kind, job) = (forwarded.request.kind(), forwarded.request.job());
            tracing::debug!(kind, job, "request refused: the job's leader does not answer");
            out.push(Effect::Reply { ticket, reply: Reply::retry_later("the job's owner does not answer") });
        } else {
            self.user_requests.forwarded.insert(id, forwarded);
        }
    }

    fn notify_leaders_of_stand_ins(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due = self.stand_ins.next_notice.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(job, _)| job.clone()).collect();
        for job in due {
            match self.membership.job_leader(&job) {
                Some(leader) if leader != self.settings.me => {
                    if self.user_requests.forwarded.len() < WAITING_LIMIT {
                        self.stand_ins.next_notice.insert(job.clone(), now + NOTICE_PERIOD);
                        self.forward(now, leader, None, UserRequest::Query(job), out);
                    }
                }
                _ => {
                    self.stand_ins.next_notice.remove(&job);
                }
            }
        }
    }
}
