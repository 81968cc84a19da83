//! Checks each job as a linearizable register. The answers that clients received before they sent a request limit the
//! valid answers of every controller to it: unknown, then accepted, then cancelled or done, which is final. A missing
//! answer and "retry later" carry no information on the job.

use super::*;
use hazelsaddle::config::settings::TeamSettings;
use hazelsaddle::server::http_api::{self, Dispatch};
use hazelsaddle::spec::MachineTypes;

/// A request in flight.
#[derive(Clone, Debug)]
struct InFlight {
    job: String,
    kind: char,
    node: usize,
    /// Its position in the total order of requests and answers, and its send time.
    from: u64,
    at: u64,
}

/// A state that a client was told: by which controller, and when.
#[derive(Clone, Debug)]
struct Observation {
    stance: String,
    by: usize,
    order: u64,
    at: u64,
}

#[derive(Clone, Debug, Default)]
struct JobHistory {
    /// Whether a client has sent a submission that may be accepted, and whether one has sent a cancellation.
    submitted: bool,
    cancel_requested: bool,
    accepted: Option<Observation>,
    end: Option<Observation>,
}

#[derive(Default)]
pub(crate) struct Register {
    order: u64,
    in_flight: BTreeMap<u64, InFlight>,
    histories: BTreeMap<String, JobHistory>,
    limits: Option<(MachineTypes, Vec<TeamSettings>)>,
    /// Answers with a job's state; those to requests sent after a client knew of the acceptance, and after one knew
    /// of the outcome.
    pub(crate) answers: usize,
    pub(crate) bound: [usize; 2],
    /// Requests sent while the same controller had another one in flight for the same job.
    pub(crate) concurrent: usize,
}

impl Register {
    /// Whether a client knows that the job was accepted, and whether one knows its outcome.
    pub(crate) fn knows(&self, job: &str) -> (bool, bool) {
        self.histories.get(job).map_or((false, false), |c| (c.accepted.is_some(), c.end.is_some()))
    }

    /// Marks a job as submitted and cancelled before the world began; the test stores its final record.
    pub(crate) fn mark_ended(&mut self, job: &str) {
        let history = self.histories.entry(job.to_owned()).or_default();
        (history.submitted, history.cancel_requested) = (true, true);
    }
}

impl World {
    /// Records a request of a client. A request that a paused controller processes later was recorded when it was
    /// sent.
    pub(crate) fn record_request(&mut self, ticket: u64, node: usize, request: &UserRequest) {
        let kind = match request {
            UserRequest::Submit(..) => 's',
            UserRequest::Query(_) => 'q',
            UserRequest::Cancel(_) => 'w',
            UserRequest::Why(_) | UserRequest::Permit(..) => return,
        };
        if self.register.in_flight.contains_key(&ticket) {
            return;
        }
        let job = request.job().to_owned();
        let can_be_valid = matches!(request, UserRequest::Submit(_, body) if self.can_be_accepted(body));
        let register = &mut self.register;
        register.order += 1;
        let (from, at) = (register.order, self.now);
        let is_concurrent = |o: &InFlight| o.node == node && o.job == job && at < o.at + 5 * S;
        register.concurrent += usize::from(register.in_flight.values().any(is_concurrent));
        let history = register.histories.entry(job.clone()).or_default();
        history.submitted |= can_be_valid;
        history.cancel_requested |= kind == 'w';
        register.in_flight.insert(ticket, InFlight { job: job.clone(), kind, node, from, at });
        if kind != 'q' && !matches!(self.tickets.get(&ticket), Some(Ticket::ClientProbe(_))) {
            self.probe_during_request(&job);
        }
    }

    /// Whether a description is complete and fits a machine type and the team's quota.
    pub(crate) fn can_be_accepted(&mut self, body: &str) -> bool {
        let shape = self.shape;
        let (types, teams) = self.register.limits.get_or_insert_with(|| {
            let types = types(shape).into_iter().map(|t| (t.name.clone(), t)).collect();
            (types, settings(0, shape, false).teams)
        });
        JobSpec::parse(body).is_ok_and(|s| s.check(types, teams).is_ok())
    }

    /// Passes a submission through the HTTP layer, which forwards it to the controller or answers it directly.
    pub(crate) fn dispatch_http(&mut self, controller: usize, event: Event) -> Option<Event> {
        let (ticket, body) = match &event {
            Event::User { ticket, request: UserRequest::Submit(_, body) } => (*ticket, body.clone()),
            _ => return Some(event),
        };
        if self.nodes[controller].is_none() || self.now < self.paused_until[controller] {
            return Some(event);
        }
        match http_api::dispatch(ticket, "POST", "/v1/jobs", |_| Ok(body)) {
            Dispatch::Event(e) => Some(e),
            Dispatch::Reply(reply) => {
                self.run_effect(controller, Effect::Reply { ticket, reply });
                None
            }
        }
    }

    /// Checks an answer that a client received.
    pub(crate) fn check_answer(&mut self, ticket: u64, reply: &Reply) {
        let Some(in_flight) = self.register.in_flight.remove(&ticket) else { return };
        let id = &in_flight.job;
        let history = self.register.histories.get(id).cloned().unwrap_or_default();
        // The state known to clients before this request was sent.
        let before = |s: &Option<Observation>| s.clone().filter(|s| s.order < in_flight.from);
        let (accepted, end) = (before(&history.accepted), before(&history.end));
        let now = self.now;
        let InFlight { kind, node, at, .. } = &in_flight;
        let observed =
            [&accepted, &end].into_iter().flatten().map(|s| format!("{} by {} at {}", s.stance, s.by, s.at));
        let observed: Vec<String> = observed.collect();
        let context = format!(
            "at {now}: {} {}, to {kind} sent to {node} at {at}; known before: {observed:?}",
            reply.status, reply.body
        );
        for (count, known) in self.register.bound.iter_mut().zip([&accepted, &end]) {
            *count += usize::from(known.is_some() && matches!(reply.status, 200 | 201 | 400 | 404 | 422));
        }
        match reply.status {
            400 | 404 | 422 => {
                self.register.answers += 1;
                assert!(accepted.is_none() && end.is_none(), "forgotten: {id} {context}");
                return;
            }
            200 | 201 => {}
            // The answer carries no information on the job.
            _ => return,
        }
        self.register.answers += 1;
        assert!(history.submitted, "invented: {id} {context}");
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        assert_eq!(body["uid"], **id, "an answer for another job {context}");
        let stance = body["stance"].as_str().expect("a stance").to_owned();
        let ends = stance == "done" || stance == "aborted";
        assert!(ends || in_flight.kind != 'w', "a cancellation is answered with the outcome {context}");
        assert!(ends || stance == "pending" || stance == "running", "a stance {context}");
        assert!(end.is_none_or(|e| e.stance == stance), "went_back: {id} {context}");
        if ends {
            let other = history.end.as_ref().filter(|e| e.stance != stance);
            assert!(other.is_none(), "went_back: {id} has two ends, {other:?} {context}");
            let all_done = self.jobs.get(id).is_none_or(|j| j.done.len() == j.spec.task_count as usize);
            assert!(stance != "done" || all_done, "not_done: {id} {context}");
            let has_cancel_request = history.cancel_requested || self.has_cancelled_dependency(id);
            assert!(
                stance != "aborted" || has_cancel_request,
                "went_back: {id} cancelled by nobody {context}"
            );
        }
        let register = &mut self.register;
        register.order += 1;
        let observed = Observation { stance, by: in_flight.node, order: register.order, at: now };
        let history = register.histories.entry(id.clone()).or_default();
        let is_new = history.accepted.is_none() || (ends && history.end.is_none());
        if ends {
            history.end.get_or_insert(observed.clone());
        }
        history.accepted.get_or_insert(observed);
        if is_new {
            self.probe_after_answer(&in_flight.job, ends);
        }
    }

    /// Whether a client asked to cancel any dependency of the job.
    fn has_cancelled_dependency(&self, id: &str) -> bool {
        let (mut seen, mut next) = (BTreeSet::new(), vec![id]);
        while let Some(id) = next.pop() {
            for p in self.jobs.get(id).into_iter().flat_map(|j| &j.spec.dependencies) {
                if self.register.histories.get(p).is_some_and(|c| c.cancel_requested) {
                    return true;
                }
                if seen.insert(p) {
                    next.push(p);
                }
            }
        }
        false
    }

    /// Checks each written job record against the description that the client submitted.
    pub(crate) fn check_job_record(&self, key: &str) {
        let Some(id) = key.strip_prefix("job/") else { return };
        assert!(!self.client_probes.invalid.contains_key(id), "invalid job accepted: {id}");
        let Some(user_job) = self.jobs.get(id) else { return };
        let kept = &self.store.keys[key].0["spec"];
        let wants: Value = serde_json::from_str(&user_job.body).expect("JSON");
        for field in ["strides", "vcpus", "herd", "gait"] {
            assert_eq!(kept[field], wants[field], "{field} of {id} is of another submission");
        }
    }
}
