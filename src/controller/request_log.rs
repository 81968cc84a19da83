//! What users were answered: the log of each answer, and for how long and why questions about a job have been refused.
//!
//! [`RequestLog`] owns the open requests and the counters. It decides nothing. All answers pass it right before they
//! leave the process, so it also sees those that were withdrawn because leadership was lost.

use super::*;

/// Maximum number of open requests that are followed. Beyond it the oldest are dropped.
const MAX_OPEN_REQUESTS: usize = 5000;
/// Maximum number of refused jobs that are followed. Beyond it further ones are only counted by reason.
const MAX_REFUSED_JOBS: usize = 1000;
/// Refusals of questions about a job are reported in the log once they have lasted this long.
const REPORTED_AFTER: Micros = Micros::from_millis(5_000);
/// A job about which nobody has asked for this long is no longer followed.
const UNASKED_LIFETIME: Micros = Micros::from_millis(120_000);

struct OpenRequest {
    kind: &'static str,
    job: String,
    /// Whether it is a question about the job's state.
    is_query: bool,
    received_at: Micros,
}

#[derive(Default)]
struct ReasonCount {
    refused: u64,
    last: Micros,
}

/// A job about which the questions through this controller are refused.
struct RefusedJob {
    since: Micros,
    last: Micros,
    refused: u64,
    reason: String,
    is_reported: bool,
}

/// The answers to users' requests through this controller.
#[derive(Default)]
pub(super) struct RequestLog {
    /// By ticket.
    open: BTreeMap<u64, OpenRequest>,
    /// By kind of request and reason.
    reasons: BTreeMap<(&'static str, String), ReasonCount>,
    refused_jobs: BTreeMap<String, RefusedJob>,
}

impl RequestLog {
    pub(super) fn note_request(&mut self, now: Micros, ticket: u64, request: &UserRequest) {
        if self.open.len() >= MAX_OPEN_REQUESTS {
            self.open.pop_first();
        }
        let (kind, job) = (request.kind(), request.job().to_owned());
        let is_query = matches!(request, UserRequest::Query(_));
        self.open.insert(ticket, OpenRequest { kind, job, is_query, received_at: now });
    }

    /// Notes an answer that is about to be sent. Answers to others than users are ignored.
    pub(super) fn note_reply(&mut self, now: Micros, epoch: u64, ticket: u64, reply: &Reply) {
        let Some(request) = self.open.remove(&ticket) else { return };
        let (kind, job, status) = (request.kind, &request.job, reply.status);
        let waited = now.since(request.received_at).as_secs();
        if status == 503 {
            let reason = reason_of(reply);
            tracing::debug!(kind, job, status, epoch, waited, reason, "request refused");
            self.note_refusal(now, epoch, &request, reason);
            return;
        }
        tracing::debug!(kind, job, status, epoch, waited, "request answered");
        if request.is_query
            && let Some(refused) = self.refused_jobs.remove(job)
            && refused.is_reported
        {
            let seconds = now.since(refused.since).as_secs();
            tracing::info!(
                job,
                epoch,
                seconds,
                refused = refused.refused,
                "questions about a job are answered again"
            );
        }
    }

    fn note_refusal(&mut self, now: Micros, epoch: u64, request: &OpenRequest, reason: String) {
        let count = self.reasons.entry((request.kind, reason.clone())).or_default();
        count.refused += 1;
        count.last = now;
        let is_known = self.refused_jobs.contains_key(&request.job);
        if !request.is_query || (!is_known && self.refused_jobs.len() >= MAX_REFUSED_JOBS) {
            return;
        }
        let refused = self.refused_jobs.entry(request.job.clone()).or_insert_with(|| RefusedJob {
            since: now,
            last: now,
            refused: 0,
            reason: String::new(),
            is_reported: false,
        });
        refused.refused += 1;
        refused.last = now;
        refused.reason = reason;
        if !refused.is_reported && now.since(refused.since) >= REPORTED_AFTER {
            refused.is_reported = true;
            let seconds = now.since(refused.since).as_secs();
            tracing::info!(
                job = request.job,
                epoch,
                seconds,
                reason = refused.reason,
                "questions about a job are refused"
            );
        }
    }

    /// The refusals for operators: counted by kind and reason, and the jobs refused for the longest time, at most
    /// `max_rows` of them.
    pub(super) fn status(&mut self, now: Micros, max_rows: usize) -> Value {
        self.refused_jobs.retain(|_, job| now.since(job.last) < UNASKED_LIFETIME);
        let reasons: Vec<Value> = self
            .reasons
            .iter()
            .map(|((kind, reason), count)| {
                let last_s = now.since(count.last).as_secs();
                json!({"kind": kind, "reason": reason, "refused": count.refused, "last_s": last_s})
            })
            .collect();
        let mut jobs: Vec<(&String, &RefusedJob)> = self.refused_jobs.iter().collect();
        jobs.sort_by_key(|(_, job)| job.since);
        let rows: Vec<Value> = jobs
            .iter()
            .take(max_rows)
            .map(|(id, job)| {
                let (for_s, last_s) = (now.since(job.since).as_secs(), now.since(job.last).as_secs());
                json!({"job": id, "reason": job.reason, "for_s": for_s, "last_s": last_s, "refused": job.refused})
            })
            .collect();
        json!({"reasons": reasons, "jobs": jobs.len(), "longest": rows})
    }
}

/// The reason in the body of a refusal, which a peer may have written.
fn reason_of(reply: &Reply) -> String {
    let body: Option<Value> = serde_json::from_str(&reply.body).ok();
    let reason = body.as_ref().and_then(|body| body.get("error")).and_then(Value::as_str);
    reason.unwrap_or("unknown").to_owned()
}
