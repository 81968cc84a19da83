//! Requests whose answers are certain to be known soon: held until then instead of refused.
//!
//! A leader that has just taken up a waiting job does not know yet whether a dependency was cancelled, and one that is
//! storing a job does not know yet whether another controller has stored it. Both end with an answer of the state
//! store, within a few messages.

use super::*;

/// A request is refused after this time. The controller that forwarded it waits for `REQUEST_TIMEOUT`.
const MAX_HOLD: Micros = Micros::from_millis(800);

struct HeldRequest {
    waiting: WaitingRequest,
    held_since: Micros,
}

/// The held requests.
#[derive(Default)]
pub(super) struct HeldRequests(Vec<HeldRequest>);

impl HeldRequests {
    /// Removes and returns the callers, after a change of the ring.
    pub(super) fn take_callers(&mut self) -> Vec<Caller> {
        std::mem::take(&mut self.0).into_iter().map(|held| held.waiting.caller).collect()
    }
}

impl Controller {
    /// Holds a request that has to wait; returns its refusal if too many are held.
    pub(super) fn hold_request(
        &mut self,
        now: Micros,
        caller: Caller,
        request: UserRequest,
        refusal: Refusal,
    ) -> Option<Reply> {
        if self.user_requests.held.0.len() >= MAX_WAITING_REQUESTS {
            return Some(Reply::refuse(refusal));
        }
        let waiting = WaitingRequest { caller, request };
        self.user_requests.held.0.push(HeldRequest { waiting, held_since: now });
        None
    }

    /// Answers the held requests that can be answered now, and refuses those held for too long.
    pub(in crate::controller) fn answer_held_requests(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for held in std::mem::take(&mut self.user_requests.held.0) {
            let refusal = self.pending_knowledge(now, &held.waiting.request);
            match refusal {
                None => self.handle_user_request(now, held.waiting.caller, held.waiting.request, out),
                Some(refusal) if now.since(held.held_since) >= MAX_HOLD => {
                    self.reply(now, held.waiting.caller, Reply::refuse(refusal), out);
                }
                Some(_) => self.user_requests.held.0.push(held),
            }
        }
    }

    /// What a request has to wait for, as the refusal if it takes too long.
    pub(super) fn pending_knowledge(&self, now: Micros, request: &UserRequest) -> Option<Refusal> {
        let job = request.job();
        let is_question = matches!(request, UserRequest::Query(_) | UserRequest::Submit(..));
        let state_refusal = self.job_shard.state_refusal(now, self.rounds.wall, job);
        let is_known_soon =
            matches!(state_refusal, Some(Refusal::DependencyUnread | Refusal::DependencyUncertain));
        if is_question && is_known_soon {
            return state_refusal;
        }
        let is_being_stored = !self.is_known_job(job) && self.user_requests.submissions.contains_key(job);
        // A repeated submission joins the one that is being stored.
        let joins_it = matches!(request, UserRequest::Submit(..));
        (is_being_stored && !joins_it).then_some(Refusal::BeingAccepted)
    }
}
