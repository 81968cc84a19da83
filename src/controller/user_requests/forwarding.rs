//! Requests forwarded to the job's leader, and jobs accepted on its behalf.

use super::*;

/// The record is read for a poll without an answer after this time.
const POLL_RECORD_DELAY: Micros = Micros::from_millis(600);
/// A request without an answer is refused after this time; the user of a poll waits for two seconds.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(1500);
/// Time between two notifications of a leader about a job accepted on its behalf.
const NOTICE_PERIOD: Micros = Micros::from_millis(1000);
/// Write budget required to accept a submission that its leader has rejected for the time being.
const MIN_BUDGET_FOR_OVERFLOW: f64 = 0.5;

/// A request forwarded to a peer.
pub(in crate::controller) struct ForwardedRequest {
    /// The ticket of the request; None if no answer is needed.
    pub(in crate::controller) ticket: Option<u64>,
    sent_at: Micros,
    pub(in crate::controller) request: UserRequest,
    /// Whether the job's record has been requested for this poll.
    has_requested_record: bool,
}

impl ForwardedRequest {
    fn is_overdue(&self, now: Micros) -> bool {
        now.since(self.sent_at) >= REQUEST_TIMEOUT
    }

    /// Whether the job's record is to be read for this poll.
    fn needs_record(&self, now: Micros) -> bool {
        self.ticket.is_some()
            && matches!(self.request, UserRequest::Query(_))
            && !self.has_requested_record
            && now.since(self.sent_at) >= POLL_RECORD_DELAY
    }

    fn is_users_submission(&self) -> bool {
        self.ticket.is_some() && matches!(self.request, UserRequest::Submit(..))
    }
}

/// Jobs accepted on behalf of an unresponsive leader.
#[derive(Default)]
pub(in crate::controller) struct ProxyAcceptances {
    /// When the leader is next notified of the job, by job ID.
    pub(in crate::controller) next_notice_at: BTreeMap<String, Micros>,
}

impl Controller {
    /// Forwards a user's request to the job's leader; returns a reply if that is not possible.
    pub(super) fn forward_or_refuse(
        &mut self,
        now: Micros,
        caller: Caller,
        leader: usize,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.can_read_request(leader, &request) {
            return Some(Reply::refuse(Refusal::UnreadableByPeer));
        }
        match caller {
            Caller::Ticket(ticket) if self.user_requests.forwarded.len() < MAX_WAITING_REQUESTS => {
                self.forward(now, leader, Some(ticket), request, out);
                None
            }
            Caller::Ticket(_) => Some(Reply::refuse(Refusal::Overloaded)),
            // The sender of a forwarded request has another leader in mind than this controller has.
            Caller::Peer { .. } => Some(Reply::refuse(Refusal::JobMoved)),
        }
    }

    /// Whether a peer reads everything that a request says. An older version would accept the job without the
    /// jobs that it follows or the records that it names, or would close the connection.
    fn can_read_request(&self, peer: usize, request: &UserRequest) -> bool {
        if self.can_read_format(peer, format_versions::COORDINATION_FORMAT_VERSION) {
            return true;
        }
        let body = match request {
            UserRequest::Submit(_, body) => body,
            UserRequest::Query(_) | UserRequest::Cancel(_) => return true,
            UserRequest::Why(_) | UserRequest::Permit(..) => return false,
        };
        !JobSpec::parse(body).is_ok_and(|spec| {
            spec.has_coordination_record()
                || (!spec.dependencies.is_empty() && !self.can_read_dependencies(peer))
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
        let forwarded = ForwardedRequest { ticket, sent_at: now, request, has_requested_record: false };
        self.user_requests.forwarded.insert(id, forwarded);
    }

    /// Answers a forwarded request in place of the job's leader, unless that has answered already.
    pub(super) fn end_forwarded(&mut self, id: u64, reply: Reply, out: &mut Vec<Effect>) {
        let ticket = self.user_requests.forwarded.remove(&id).and_then(|forwarded| forwarded.ticket);
        out.extend(ticket.map(|ticket| Effect::Reply { ticket, reply }));
    }

    /// Applies the response of a job's leader; `epoch` is the responder's.
    pub(in crate::controller) fn apply_forward_response(
        &mut self,
        now: Micros,
        epoch: u64,
        id: u64,
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let Some(forwarded) = self.user_requests.forwarded.remove(&id) else { return };
        // A responder in a newer epoch can't have started the job in this one, so the job is still reported
        // as not started.
        if reply.status == 200 && epoch <= self.membership.epoch {
            self.proxy_acceptances.next_notice_at.remove(forwarded.request.job());
        }
        let Some(ticket) = forwarded.ticket else { return };
        // A leader whose write budget is used up is relieved by a controller that has budget left.
        if let (503, UserRequest::Submit(job, body)) = (reply.status, &forwarded.request)
            && self.state_store.write_limiter.level(now) >= MIN_BUDGET_FOR_OVERFLOW
            && self.accept_without_lookup(now, Caller::Ticket(ticket), job, body, out)
        {
            return;
        }
        out.push(Effect::Reply { ticket, reply });
    }

    /// Handles forwarded requests that the peer has not answered: submissions are accepted on its behalf,
    /// other requests are rejected with a retry. Notifies leaders of the jobs accepted on their behalf until
    /// they report them as known.
    pub(in crate::controller) fn handle_overdue_requests(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // An answer normally takes a few hundredths of a second. Users who submit new jobs need not wait much
        // longer.
        let submission_timeout = Micros(self.settings.digest.0 / 4);
        let due_ids: Vec<u64> = self
            .user_requests
            .forwarded
            .iter()
            .filter(|(_, forwarded)| {
                let waited = now.since(forwarded.sent_at);
                forwarded.is_overdue(now)
                    || forwarded.needs_record(now)
                    || (forwarded.is_users_submission() && waited >= submission_timeout)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due_ids {
            self.answer_in_place_of_leader(now, id, out);
        }
        self.notify_leaders_of_proxy_acceptances(now, out);
    }

    fn answer_in_place_of_leader(&mut self, now: Micros, id: u64, out: &mut Vec<Effect>) {
        let Some(mut forwarded) = self.user_requests.forwarded.remove(&id) else { return };
        let Some(ticket) = forwarded.ticket else { return };
        if let UserRequest::Submit(job, body) = &forwarded.request
            && self.accept_without_lookup(now, Caller::Ticket(ticket), job, body, out)
        {
            return;
        }
        if forwarded.is_overdue(now) {
            out.push(Effect::Reply { ticket, reply: Reply::refuse(Refusal::LeaderSilent) });
            return;
        }
        if forwarded.needs_record(now) {
            let poll = RecordPoll::Forwarded(id);
            forwarded.has_requested_record =
                self.read_record_for_poll(now, poll, forwarded.request.job(), out);
        }
        // The leader may still answer.
        self.user_requests.forwarded.insert(id, forwarded);
    }

    fn notify_leaders_of_proxy_acceptances(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due = self.proxy_acceptances.next_notice_at.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(job, _)| job.clone()).collect();
        for job in due {
            match self.membership.job_leader(&job) {
                Some(leader) if leader != self.settings.me => {
                    if self.user_requests.forwarded.len() < MAX_WAITING_REQUESTS {
                        self.proxy_acceptances.next_notice_at.insert(job.clone(), now + NOTICE_PERIOD);
                        self.forward(now, leader, None, UserRequest::Query(job), out);
                    }
                }
                _ => {
                    self.proxy_acceptances.next_notice_at.remove(&job);
                }
            }
        }
    }
}
