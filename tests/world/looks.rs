//! Probing clients: bursts of queries and one repeated submission to all controllers within milliseconds, around the
//! time when a client learns a job's state; cancellations at a job's end; and invalid requests.

use super::*;

/// How a submission differs from the client's original one with the same job ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dress {
    /// The original submission.
    Same,
    /// A different submission that may be accepted.
    Other,
    /// A field is missing or invalid.
    Lacks,
    /// It exceeds every machine type or the team's quota.
    Never,
}

/// A request of a probing client.
#[derive(Clone, Debug)]
pub(crate) struct Look {
    pub(crate) job: String,
    pub(crate) kind: char,
    pub(crate) dress: Dress,
    pub(crate) node: usize,
}

#[derive(Default)]
pub(crate) struct Looks {
    close_until: u64,
    /// Share of the jobs and the end time.
    at_end: (f64, u64),
    odd_until: u64,
    odd_next: u64,
    /// Jobs that must not be accepted, with their descriptions.
    pub(crate) odd: BTreeMap<String, (Dress, String)>,
    /// Requests sent after a client learned of an acceptance and of an outcome; `around` counts those sent while a
    /// submission or cancellation was in flight.
    pub(crate) after: [usize; 2],
    pub(crate) around: usize,
    /// Requests sent: queries, repeats with the same body, with another valid body and with an invalid body,
    /// cancellations.
    pub(crate) sent: [usize; 5],
    /// Cancellations at a job's end: sent, answered "done" and answered "aborted".
    pub(crate) at_ends: [usize; 3],
    /// Rejected submissions of invalid jobs: for a field (400), permanently (422) and temporarily (503).
    pub(crate) turned_down: [usize; 3],
    /// Cancellations of jobs whose outcome a client already knew.
    pub(crate) of_ended: usize,
}

impl Looks {
    pub(crate) fn over_at(&self) -> u64 {
        self.close_until.max(self.at_end.1).max(self.odd_until)
    }
}

impl World {
    /// Clients send bursts to all controllers for this time.
    pub(crate) fn close_looks(&mut self, long: u64) {
        self.looks.close_until = self.now + long;
    }

    /// For this time, clients cancel this share of the jobs just as they end.
    pub(crate) fn cancel_at_end(&mut self, share: f64, long: u64) {
        self.looks.at_end = (share, self.now + long);
    }

    /// For this time, clients repeat submissions of unfinished jobs, cancel done jobs and send invalid submissions.
    pub(crate) fn odd_requests(&mut self, long: u64) {
        self.looks.odd_until = self.now + long;
    }

    fn look(&mut self, delay: u64, job: &str, kind: char, dress: Dress) {
        let node = self.rng.random_range(0..3);
        self.later(delay, What::Look(Look { job: job.to_owned(), kind, dress, node }));
    }

    /// Sends queries and one repeated submission, 0 to 50 ms apart, to all controllers, perhaps with one
    /// cancellation.
    fn burst(&mut self, job: &str, cancels: f64) -> usize {
        let count = self.rng.random_range(4..9usize);
        let repeat = self.rng.random_range(0..count);
        let cancel = self.rng.random_bool(cancels).then(|| self.rng.random_range(0..count));
        let tight = self.rng.random_bool(0.5);
        let mut delay = 0;
        for i in 0..count {
            delay += self.rng.random_range(0..if tight { 4_000 } else { 50_000 });
            let dress =
                [Dress::Same, Dress::Other, Dress::Lacks, Dress::Never][self.rng.random_range(0..4usize)];
            let (kind, dress) = match i {
                i if cancel == Some(i) => ('w', Dress::Same),
                i if i == repeat => ('s', dress),
                _ => ('q', Dress::Same),
            };
            // Each controller once, then random ones.
            let node = if i < 3 { i } else { self.rng.random_range(0..3) };
            let job = job.to_owned();
            self.later(delay, What::Look(Look { job, kind, dress, node }));
        }
        count
    }

    /// Called when a submission or cancellation of a job is sent.
    pub(crate) fn look_around(&mut self, job: &str) {
        if self.now < self.looks.close_until && self.jobs.contains_key(job) {
            self.looks.around += self.burst(job, 0.1);
        }
    }

    /// Called when a client has learned that a job is accepted or has ended.
    pub(crate) fn look_after(&mut self, job: &str, ended: bool) {
        if self.now < self.looks.close_until && self.jobs.contains_key(job) {
            let n = self.burst(job, 0.25);
            self.looks.after[usize::from(ended)] += n;
        }
    }

    /// Called when the last task of each of these jobs has ended.
    pub(crate) fn last_tasks_ended(&mut self, jobs: &[String]) {
        let (share, until) = self.looks.at_end;
        for job in jobs {
            if self.now >= until || !self.rng.random_bool(share) {
                continue;
            }
            // At once, or while the outcome is reported and stored.
            let within = [5_000, 50_000, 300_000, 2 * S][self.rng.random_range(0..4usize)];
            let delay = self.rng.random_range(0..within);
            self.looks.at_ends[0] += 1;
            self.look(delay, job, 'w', Dress::Same);
            for kind in ['q', 's', 'q', 'w'] {
                if self.rng.random_bool(0.4) {
                    let near = delay + self.rng.random_range(0..20_000);
                    self.look(near, job, kind, Dress::Same);
                }
            }
        }
    }

    /// A description with the same job ID, changed as requested.
    fn dressed(&mut self, job: &str, dress: Dress) -> String {
        let known = self.register.knows(job).0;
        let mut b: Value = serde_json::from_str(&self.jobs[job].body).expect("JSON");
        match dress {
            Dress::Same => {}
            // While the job is unknown this submission may be accepted, so its tasks must be ones that the world can
            // run.
            Dress::Other if !known => b["rideS"] = json!(self.rng.random_range(1..100)),
            Dress::Other => {
                b["strides"] = json!(1);
                b["gait"] = json!("batch");
                b["rank"] = json!("idle");
                b["vcpus"] = json!(0.5);
            }
            Dress::Lacks => self.spoil(&mut b),
            Dress::Never => self.swell(&mut b),
        }
        b.to_string()
    }

    /// Removes a field or makes it invalid.
    fn spoil(&mut self, b: &mut Value) {
        const FIELDS: [&str; 8] = ["breed", "herd", "gait", "rank", "strides", "vcpus", "tack", "together"];
        let field = FIELDS[self.rng.random_range(0..FIELDS.len())];
        let fields = b.as_object_mut().expect("an object");
        match self.rng.random_range(0..3) {
            0 => fields.insert(field.into(), json!([7])),
            _ => fields.remove(field),
        };
    }

    /// Requests more than the cluster or the team's quota has.
    fn swell(&mut self, b: &mut Value) {
        match self.rng.random_range(0..5) {
            0 => b["vcpus"] = json!(500.0),
            1 => b["breedsOfStall"] = json!(["none"]),
            2 => b["paddock"] = json!("z"),
            3 => b["herd"] = json!("nobody"),
            // More than its team's limit at once.
            _ => {
                (b["gait"], b["herd"]) = (json!("group"), json!("t0"));
                (b["strides"], b["vcpus"]) = (json!(1000), json!(4.0));
            }
        }
    }

    /// Sends a request of a probing client.
    pub(crate) fn send_look(&mut self, look: Look) {
        let odd = self.looks.odd.get(&look.job).cloned();
        // Limited controllers get no requests that use newer features.
        if self.limited[look.node] || (odd.is_none() && !self.jobs.contains_key(&look.job)) {
            return;
        }
        let id = look.job.clone();
        let request = match (look.kind, odd) {
            ('s', Some((_, body))) => UserRequest::Submit(id, body),
            ('s', None) => UserRequest::Submit(id, self.dressed(&look.job, look.dress)),
            ('w', _) => {
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.cancel_asked = true;
                }
                self.looks.of_ended += usize::from(self.register.knows(&id).1);
                UserRequest::Cancel(id)
            }
            _ => UserRequest::Query(id),
        };
        let sort = match (look.kind, look.dress) {
            ('q', _) => 0,
            ('s', Dress::Same) => 1,
            ('s', Dress::Other) => 2,
            ('s', _) => 3,
            _ => 4,
        };
        self.looks.sent[sort] += 1;
        if let (true, Some(j)) = (look.kind == 's', self.jobs.get_mut(&look.job)) {
            j.submitted = true;
        }
        self.serial += 1;
        let (ticket, node) = (self.serial, look.node);
        self.tickets.insert(ticket, Ticket::Look(look));
        let delay = self.rng.random_range(100..3000);
        self.later(delay, What::Controller(node, 0, Event::User { ticket, request }));
    }

    /// Checks the answer to a probing client. `answered` has checked it against the register before.
    pub(crate) fn look_answer(&mut self, look: &Look, r: &Reply) {
        let odd = self.looks.odd.get(&look.job).map(|o| o.0);
        if r.status == 503 {
            assert!(r.retry_after.is_some(), "a refusal says when to come back");
            self.looks.turned_down[2] += usize::from(odd.is_some() && look.kind == 's');
            return;
        }
        let told = |dress: Dress| match dress {
            Dress::Lacks => 400,
            Dress::Never => 422,
            _ => 0,
        };
        if let Some(dress) = odd {
            let due = if look.kind == 's' { told(dress) } else { 404 };
            assert_eq!(r.status, due, "an odd job, {look:?}: {r:?}");
            if look.kind == 's' {
                self.looks.turned_down[usize::from(dress == Dress::Never)] += 1;
            }
            return;
        }
        // A submission after the release has closed is refused permanently; the register checks that the job was
        // unknown.
        let late = r.status == 422 && self.jobs[&look.job].spec.release.is_some();
        match look.kind {
            's' => assert!(
                matches!(r.status, 200 | 201) || r.status == told(look.dress) || late,
                "{look:?}: {r:?}"
            ),
            _ => assert!(matches!(r.status, 200 | 404), "{look:?}: {r:?}"),
        }
        if look.kind == 'w' && self.now < self.looks.at_end.1 + 10 * S {
            let body: Value = serde_json::from_str(&r.body).expect("JSON");
            match body["stance"].as_str() {
                Some("done") => self.looks.at_ends[1] += 1,
                Some(_) => self.looks.at_ends[2] += 1,
                None => {}
            }
        }
    }

    /// Sends invalid requests at random intervals.
    pub(crate) fn run_odd(&mut self) {
        if self.now >= self.looks.odd_until || self.now < self.looks.odd_next {
            return;
        }
        self.looks.odd_next = self.now + self.rng.random_range(S / 10..S / 2);
        let known = |f: &dyn Fn(&UserJob) -> bool| -> Vec<String> {
            self.jobs.iter().filter(|(_, j)| f(j)).map(|(id, _)| id.clone()).collect()
        };
        let live = known(&|j| j.known == Known::Accepted);
        let done = known(&|j| j.known == Known::Done);
        let pick = |w: &mut World, of: &[String]| match of.len() {
            0 => None,
            n => Some(of[w.rng.random_range(0..n)].clone()),
        };
        let delay = self.rng.random_range(0..S / 10);
        if let Some(id) = pick(self, &live) {
            self.look(delay, &id, 's', Dress::Same);
        }
        if let Some(id) = pick(self, &done) {
            self.look(delay, &id, 'w', Dress::Same);
        }
        let id = format!("wk-{}", 80_000_000 + self.looks.odd.len());
        let mut body = json!({"uid": id, "breed": "odd", "herd": "t1", "gait": "batch", "rank": "normal",
            "strides": 1, "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0,
            "together": false, "scatter": false, "borrowed": false, "rideS": 10.0, "restS": 0.0,
            "unsaddleS": 0.0, "dueS": null, "follows": []});
        let dress = if self.rng.random_bool(0.5) { Dress::Lacks } else { Dress::Never };
        match dress {
            Dress::Lacks => self.spoil(&mut body),
            _ => self.swell(&mut body),
        }
        self.looks.odd.insert(id.clone(), (dress, body.to_string()));
        // Repeats, queries and a cancellation through any controllers, soon and later.
        for kind in ['s', 's', 'q', 'w', 's'] {
            let within = if self.rng.random_bool(0.7) { 30_000 } else { 6 * S };
            let delay = delay + self.rng.random_range(0..within);
            self.look(delay, &id, kind, dress);
        }
    }
}
