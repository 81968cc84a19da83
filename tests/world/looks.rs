//! Probing clients: bursts of queries and one repeated submission to all controllers within milliseconds, around the
//! time when a client learns a job's state; cancellations at a job's end; and invalid requests.

use super::*;

/// How a submission differs from the client's original one with the same job ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionVariant {
    /// The original submission.
    Original,
    /// A different submission that may be accepted.
    Different,
    /// A field is missing or invalid.
    Invalid,
    /// It exceeds every machine type or the team's quota.
    Unschedulable,
}

/// A request of a probing client.
#[derive(Clone, Debug)]
pub(crate) struct ClientProbe {
    pub(crate) job: String,
    pub(crate) kind: char,
    pub(crate) variant: SubmissionVariant,
    pub(crate) node: usize,
}

#[derive(Default)]
pub(crate) struct ClientProbes {
    bursts_until: u64,
    /// Share of the jobs and the end time.
    at_end: (f64, u64),
    invalid_until: u64,
    invalid_next: u64,
    /// Jobs that must not be accepted, with their descriptions.
    pub(crate) invalid: BTreeMap<String, (SubmissionVariant, String)>,
    /// Requests sent after a client learned of an acceptance and of an outcome; `during_request` counts those sent
    /// while a submission or cancellation was in flight.
    pub(crate) after: [usize; 2],
    pub(crate) during_request: usize,
    /// Requests sent: queries, repeats with the same body, with another valid body and with an invalid body,
    /// cancellations.
    pub(crate) sent: [usize; 5],
    /// Cancellations at a job's end: sent, answered "done" and answered "aborted".
    pub(crate) cancels_at_end: [usize; 3],
    /// Rejected submissions of invalid jobs: for a field (400), permanently (422) and temporarily (503).
    pub(crate) rejected: [usize; 3],
    /// Cancellations of jobs whose outcome a client already knew.
    pub(crate) cancels_after_end: usize,
}

impl ClientProbes {
    pub(crate) fn last_fault_end(&self) -> u64 {
        self.bursts_until.max(self.at_end.1).max(self.invalid_until)
    }
}

impl World {
    /// Clients send bursts to all controllers for `duration`.
    pub(crate) fn enable_probe_bursts(&mut self, duration: u64) {
        self.client_probes.bursts_until = self.now + duration;
    }

    /// For `duration`, clients cancel this share of the jobs just as they end.
    pub(crate) fn cancel_at_end(&mut self, share: f64, duration: u64) {
        self.client_probes.at_end = (share, self.now + duration);
    }

    /// For `duration`, clients repeat submissions of unfinished jobs, cancel done jobs and send invalid submissions.
    pub(crate) fn enable_invalid_requests(&mut self, duration: u64) {
        self.client_probes.invalid_until = self.now + duration;
    }

    fn schedule_probe(&mut self, delay: u64, job: &str, kind: char, variant: SubmissionVariant) {
        let node = self.rng.random_range(0..3);
        self.schedule(delay, SimEvent::ClientProbe(ClientProbe { job: job.to_owned(), kind, variant, node }));
    }

    /// Sends queries and one repeated submission, 0 to 50 ms apart, to all controllers, perhaps with one
    /// cancellation.
    fn send_burst(&mut self, job: &str, cancels: f64) -> usize {
        let count = self.rng.random_range(4..9usize);
        let repeat = self.rng.random_range(0..count);
        let cancel = self.rng.random_bool(cancels).then(|| self.rng.random_range(0..count));
        let tight = self.rng.random_bool(0.5);
        let mut delay = 0;
        for i in 0..count {
            delay += self.rng.random_range(0..if tight { 4_000 } else { 50_000 });
            let variant = [
                SubmissionVariant::Original,
                SubmissionVariant::Different,
                SubmissionVariant::Invalid,
                SubmissionVariant::Unschedulable,
            ][self.rng.random_range(0..4usize)];
            let (kind, variant) = match i {
                i if cancel == Some(i) => ('w', SubmissionVariant::Original),
                i if i == repeat => ('s', variant),
                _ => ('q', SubmissionVariant::Original),
            };
            // Each controller once, then random ones.
            let node = if i < 3 { i } else { self.rng.random_range(0..3) };
            let job = job.to_owned();
            self.schedule(delay, SimEvent::ClientProbe(ClientProbe { job, kind, variant, node }));
        }
        count
    }

    /// Called when a submission or cancellation of a job is sent.
    pub(crate) fn probe_during_request(&mut self, job: &str) {
        if self.now < self.client_probes.bursts_until && self.jobs.contains_key(job) {
            self.client_probes.during_request += self.send_burst(job, 0.1);
        }
    }

    /// Called when a client has learned that a job is accepted or has ended.
    pub(crate) fn probe_after_answer(&mut self, job: &str, ended: bool) {
        if self.now < self.client_probes.bursts_until && self.jobs.contains_key(job) {
            let sent = self.send_burst(job, 0.25);
            self.client_probes.after[usize::from(ended)] += sent;
        }
    }

    /// Called when the last task of each of these jobs has ended.
    pub(crate) fn cancel_ended_jobs(&mut self, jobs: &[String]) {
        let (share, until) = self.client_probes.at_end;
        for job in jobs {
            if self.now >= until || !self.rng.random_bool(share) {
                continue;
            }
            // At once, or while the outcome is reported and stored.
            let within = [5_000, 50_000, 300_000, 2 * S][self.rng.random_range(0..4usize)];
            let delay = self.rng.random_range(0..within);
            self.client_probes.cancels_at_end[0] += 1;
            self.schedule_probe(delay, job, 'w', SubmissionVariant::Original);
            for kind in ['q', 's', 'q', 'w'] {
                if self.rng.random_bool(0.4) {
                    let near = delay + self.rng.random_range(0..20_000);
                    self.schedule_probe(near, job, kind, SubmissionVariant::Original);
                }
            }
        }
    }

    /// A description with the same job ID, changed as requested.
    fn varied_description(&mut self, job: &str, variant: SubmissionVariant) -> String {
        let known = self.register.knows(job).0;
        let mut description: Value = serde_json::from_str(&self.jobs[job].body).expect("JSON");
        match variant {
            SubmissionVariant::Original => {}
            // While the job is unknown this submission may be accepted, so its tasks must be ones that the world can
            // run.
            SubmissionVariant::Different if !known => {
                description["rideS"] = json!(self.rng.random_range(1..100))
            }
            SubmissionVariant::Different => {
                description["strides"] = json!(1);
                description["gait"] = json!("batch");
                description["rank"] = json!("idle");
                description["vcpus"] = json!(0.5);
            }
            SubmissionVariant::Invalid => self.make_invalid(&mut description),
            SubmissionVariant::Unschedulable => self.make_unschedulable(&mut description),
        }
        description.to_string()
    }

    /// Removes a field or makes it invalid.
    fn make_invalid(&mut self, description: &mut Value) {
        const FIELDS: [&str; 8] = ["breed", "herd", "gait", "rank", "strides", "vcpus", "tack", "together"];
        let field = FIELDS[self.rng.random_range(0..FIELDS.len())];
        let fields = description.as_object_mut().expect("an object");
        match self.rng.random_range(0..3) {
            0 => fields.insert(field.into(), json!([7])),
            _ => fields.remove(field),
        };
    }

    /// Requests more than the cluster or the team's quota has.
    fn make_unschedulable(&mut self, description: &mut Value) {
        match self.rng.random_range(0..5) {
            0 => description["vcpus"] = json!(500.0),
            1 => description["breedsOfStall"] = json!(["none"]),
            2 => description["paddock"] = json!("z"),
            3 => description["herd"] = json!("nobody"),
            // More than its team's limit at once.
            _ => {
                (description["gait"], description["herd"]) = (json!("group"), json!("t0"));
                (description["strides"], description["vcpus"]) = (json!(1000), json!(4.0));
            }
        }
    }

    /// Sends a request of a probing client.
    pub(crate) fn send_client_probe(&mut self, probe: ClientProbe) {
        let invalid = self.client_probes.invalid.get(&probe.job).cloned();
        // Limited controllers get no requests that use newer features.
        if self.limited[probe.node] || (invalid.is_none() && !self.jobs.contains_key(&probe.job)) {
            return;
        }
        let id = probe.job.clone();
        let request = match (probe.kind, invalid) {
            ('s', Some((_, body))) => UserRequest::Submit(id, body),
            ('s', None) => UserRequest::Submit(id, self.varied_description(&probe.job, probe.variant)),
            ('w', _) => {
                if let Some(user_job) = self.jobs.get_mut(&id) {
                    user_job.cancel_asked = true;
                }
                self.client_probes.cancels_after_end += usize::from(self.register.knows(&id).1);
                UserRequest::Cancel(id)
            }
            _ => UserRequest::Query(id),
        };
        let counter = match (probe.kind, probe.variant) {
            ('q', _) => 0,
            ('s', SubmissionVariant::Original) => 1,
            ('s', SubmissionVariant::Different) => 2,
            ('s', _) => 3,
            _ => 4,
        };
        self.client_probes.sent[counter] += 1;
        if let (true, Some(user_job)) = (probe.kind == 's', self.jobs.get_mut(&probe.job)) {
            user_job.submitted = true;
        }
        self.serial += 1;
        let (ticket, node) = (self.serial, probe.node);
        self.tickets.insert(ticket, Ticket::ClientProbe(probe));
        let delay = self.rng.random_range(100..3000);
        self.schedule(delay, SimEvent::Controller(node, 0, Event::User { ticket, request }));
    }

    /// Checks the answer to a probing client. `answered` has checked it against the register before.
    pub(crate) fn check_probe_answer(&mut self, probe: &ClientProbe, reply: &Reply) {
        let invalid = self.client_probes.invalid.get(&probe.job).map(|o| o.0);
        if reply.status == 503 {
            assert!(reply.retry_after.is_some(), "a 503 has a Retry-After");
            self.client_probes.rejected[2] += usize::from(invalid.is_some() && probe.kind == 's');
            return;
        }
        let expected_status = |variant: SubmissionVariant| match variant {
            SubmissionVariant::Invalid => 400,
            SubmissionVariant::Unschedulable => 422,
            _ => 0,
        };
        if let Some(variant) = invalid {
            let expected = if probe.kind == 's' { expected_status(variant) } else { 404 };
            assert_eq!(reply.status, expected, "an invalid job, {probe:?}: {reply:?}");
            if probe.kind == 's' {
                self.client_probes.rejected[usize::from(variant == SubmissionVariant::Unschedulable)] += 1;
            }
            return;
        }
        // A submission after the release has closed is refused permanently; the register checks that the job was
        // unknown.
        let late = reply.status == 422 && self.jobs[&probe.job].spec.release.is_some();
        match probe.kind {
            's' => assert!(
                matches!(reply.status, 200 | 201) || reply.status == expected_status(probe.variant) || late,
                "{probe:?}: {reply:?}"
            ),
            _ => assert!(matches!(reply.status, 200 | 404), "{probe:?}: {reply:?}"),
        }
        if probe.kind == 'w' && self.now < self.client_probes.at_end.1 + 10 * S {
            let body: Value = serde_json::from_str(&reply.body).expect("JSON");
            match body["stance"].as_str() {
                Some("done") => self.client_probes.cancels_at_end[1] += 1,
                Some(_) => self.client_probes.cancels_at_end[2] += 1,
                None => {}
            }
        }
    }

    /// Sends invalid requests at random intervals.
    pub(crate) fn send_invalid_requests(&mut self) {
        if self.now >= self.client_probes.invalid_until || self.now < self.client_probes.invalid_next {
            return;
        }
        self.client_probes.invalid_next = self.now + self.rng.random_range(S / 10..S / 2);
        let job_ids = |f: &dyn Fn(&UserJob) -> bool| -> Vec<String> {
            self.jobs.iter().filter(|(_, j)| f(j)).map(|(id, _)| id.clone()).collect()
        };
        let live = job_ids(&|j| j.known == KnownState::Accepted);
        let done = job_ids(&|j| j.known == KnownState::Done);
        let pick = |world: &mut World, of: &[String]| match of.len() {
            0 => None,
            n => Some(of[world.rng.random_range(0..n)].clone()),
        };
        let delay = self.rng.random_range(0..S / 10);
        if let Some(id) = pick(self, &live) {
            self.schedule_probe(delay, &id, 's', SubmissionVariant::Original);
        }
        if let Some(id) = pick(self, &done) {
            self.schedule_probe(delay, &id, 'w', SubmissionVariant::Original);
        }
        let id = format!("wk-{}", 80_000_000 + self.client_probes.invalid.len());
        let mut body = json!({"uid": id, "breed": "odd", "herd": "t1", "gait": "batch", "rank": "normal",
            "strides": 1, "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0,
            "together": false, "scatter": false, "borrowed": false, "rideS": 10.0, "restS": 0.0,
            "unsaddleS": 0.0, "dueS": null, "follows": []});
        let variant = if self.rng.random_bool(0.5) {
            SubmissionVariant::Invalid
        } else {
            SubmissionVariant::Unschedulable
        };
        match variant {
            SubmissionVariant::Invalid => self.make_invalid(&mut body),
            _ => self.make_unschedulable(&mut body),
        }
        self.client_probes.invalid.insert(id.clone(), (variant, body.to_string()));
        // Repeats, queries and a cancellation through any controllers, soon and later.
        for kind in ['s', 's', 'q', 'w', 's'] {
            let within = if self.rng.random_bool(0.7) { 30_000 } else { 6 * S };
            let delay = delay + self.rng.random_range(0..within);
            self.schedule_probe(delay, &id, kind, variant);
        }
    }
}
