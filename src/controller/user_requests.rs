//! Users' requests: answered here, passed to the job's owner, or looked up.

use super::*;

impl Controller {
    pub(super) fn reply(&self, now: Micros, to: Caller, reply: Reply, out: &mut Vec<Effect>) {
        match to {
            Caller::Ticket(t) => out.push(Effect::Reply(t, reply)),
            Caller::Peer(p, id) => {
                out.push(Effect::Send(p, self.envelope(now, p, Message::ForwardResponse { id, reply })));
            }
        }
    }

    /// Whether a peer would take a request for less than it says.
    fn beyond(&self, peer: usize, r: &UserRequest) -> bool {
        if self.reads(peer, dependencies::PACTS) {
            return false;
        }
        let body = match r {
            UserRequest::Submit(_, body) => body,
            UserRequest::Query(_) | UserRequest::Withdraw(_) => return false,
            // It would drop the link.
            UserRequest::Why(_) | UserRequest::Permit(..) => return true,
        };
        JobSpec::parse(body)
            .is_ok_and(|s| s.has_coordination_record() || (!s.follows.is_empty() && !self.reads_new(peer)))
    }

    pub(super) fn user(&mut self, now: Micros, from: Caller, r: UserRequest, out: &mut Vec<Effect>) {
        let (what, job) = (r.kind(), r.job().to_owned());
        let reply = match self.membership.pass_job_to(r.job()) {
            None => Reply::later("no ring yet"),
            Some(o) if o != self.settings.me => match from {
                // It would take the job without the jobs that it follows, or the pacts that it names.
                _ if self.beyond(o, &r) => Reply::later("not every controller can run such jobs yet"),
                Caller::Ticket(t) if self.forwarded.len() < WAITING_LIMIT => {
                    return self.pass_on(now, o, Some(t), r, out);
                }
                _ => Reply::later("busy, or the job has moved"),
            },
            Some(_) if !self.answers_for(now, r.job()) => match &r {
                // A new job can be put on record all the same: the record must not exist yet.
                UserRequest::Submit(id, body) => match self.accept_unseen(now, from, id, body, out) {
                    true => return,
                    false => Reply::later("taking over"),
                },
                UserRequest::Query(id) if self.peek(now, from, id, out) => return,
                _ => Reply::later("taking over"),
            },
            Some(_) => match self.own_request(now, from, r, out) {
                Some(reply) => reply,
                None => return,
            },
        };
        if reply.status >= 429 {
            tracing::debug!(what, job, status = reply.status, reason = %reply.body, "request refused");
        }
        self.reply(now, from, reply, out);
    }

    /// A job's owner answers only while nobody else can be giving answers as its owner.
    pub(super) fn answers_for(&self, now: Micros, job: &str) -> bool {
        self.membership.is_leader(now)
            && self.membership.job_leader(job) == Some(self.settings.me)
            && self.job_shard.loaded
            && self.membership.others_have_stopped(now)
    }

    fn pass_on(
        &mut self,
        now: Micros,
        to: usize,
        ticket: Option<u64>,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let id = self.fresh_id();
        out.push(Effect::Send(
            to,
            self.envelope(now, to, Message::ForwardRequest { id, request: request.clone() }),
        ));
        self.forwarded.insert(id, ForwardedRequest { ticket, at: now, request });
    }

    /// Accepts a job without having seen whether it is known: its owner does not answer, or may not yet
    /// answer itself. That is safe because acceptance needs nothing but the record, which is written on
    /// condition of the epoch and of there being no record of the job. Anything but a new job is left
    /// to the owner. Says whether the request was taken.
    pub(super) fn accept_unseen(
        &mut self,
        now: Micros,
        from: Caller,
        id: &str,
        body: &str,
        out: &mut Vec<Effect>,
    ) -> bool {
        if let Some(a) = self.accepting.get_mut(id) {
            a.join(from);
            return true;
        }
        if !self.membership.is_leader(now) || self.autoscaler.types.is_empty() || self.writes.level(now) < 0.2
        {
            return false;
        }
        let raw: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let Ok(spec) = JobSpec::from_value(&raw) else { return false };
        let raw = stored_description(&raw, &spec);
        if self.never(&raw, &spec).is_some() || self.not_yet(&spec).is_some() {
            return false;
        }
        if let Some(reply) = self.accept(now, from, id.to_owned(), spec, raw, out) {
            self.reply(now, from, reply, out);
        }
        true
    }

    /// Answers a poll from the record where the job's owner can't: a live record says that nobody has told its end. Returns
    /// whether the record is asked for.
    fn peek(&mut self, now: Micros, from: Caller, id: &str, out: &mut Vec<Effect>) -> bool {
        if !self.membership.is_leader(now)
            || now < self.store_pause
            || self.in_flight.len() >= PEEKS
            || !self.requests.take(now, 2.0, 0.3)
        {
            return false;
        }
        self.ask_store(
            PendingStoreRequest::Peek(id.to_owned(), from),
            StoreRequest::Get(format!("job/{id}")),
            out,
        );
        true
    }

    /// The record of a job of somebody else's. That there is none proves nothing: its end may just be moving. An end that
    /// is on record is not told here: the owner may not know yet that it is, since the answer to its write was lost or is
    /// late. It would go on saying that the job runs, and have its tasks run on, after its user was told that it has ended.
    pub(super) fn peeked(
        &mut self,
        now: Micros,
        id: String,
        from: Caller,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let done = match &a {
            StoreAnswer::Got(Some(row)) => JobShard::read_record(&row.value).map(|(.., done)| done.len()),
            _ => None,
        };
        let reply = match done {
            Some(done) if self.membership.is_leader(now) => {
                Reply::json(200, &json!({"uid": id, "stance": "pending", "done": done, "running": 0}))
            }
            _ => Reply::later("the job's owner does not answer"),
        };
        self.reply(now, from, reply, out);
    }

    pub(super) fn known(&self, id: &str) -> Option<Reply> {
        let mut body = if let Some((stance, done, running)) = self.job_shard.user_status(id) {
            json!({"uid": id, "stance": stance, "done": done, "running": running})
        } else {
            let (f, done) = self.job_shard.outcome_of(id)?;
            json!({"uid": id, "stance": stance_of(f), "done": done, "running": 0})
        };
        if !self.settings.operators.log_stores.is_empty() {
            body["logs"] = json!({"stores": self.settings.operators.log_stores, "path": format!("/v1/streams?job={id}")});
        }
        Some(Reply::json(200, &body))
    }

    pub(super) fn own_request(
        &mut self,
        now: Micros,
        from: Caller,
        r: UserRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let id = r.job().to_owned();
        if let UserRequest::Withdraw(_) = &r
            && self.job_shard.jobs.contains_key(&id)
        {
            if self.job_shard.cancel(&id) {
                tracing::info!(job = %id, "cancellation asked for");
            }
            self.withdrawing.entry(id).or_default().push(from);
            return None;
        }
        match &r {
            UserRequest::Why(_) if self.job_shard.jobs.contains_key(&id) => return self.why(&id),
            UserRequest::Permit(_, what) if self.job_shard.jobs.contains_key(&id) => {
                let (attempt, task) = what.split_once('/').unwrap_or_default();
                return match (attempt.parse(), task.parse()) {
                    (Ok(attempt), Ok(task)) => self.permit(now, from, &id, attempt, task, out),
                    _ => Some(Reply::error(400, "attempt and task must be whole numbers")),
                };
            }
            UserRequest::Permit(..) if self.job_shard.outcome_of(&id).is_some() => {
                return Some(Reply::error(409, "the job has ended"));
            }
            _ => {}
        }
        if let Some(known) = self.known(&id) {
            return Some(match r {
                UserRequest::Withdraw(_) => {
                    let f = self.job_shard.outcome_of(&id).map_or(JobOutcome::Done, |(f, _)| f);
                    Reply::json(200, &json!({"uid": id, "stance": stance_of(f)}))
                }
                _ => known,
            });
        }
        if let UserRequest::Submit(_, body) = &r {
            if let Some(a) = self.accepting.get_mut(&id) {
                a.join(from);
                return None;
            }
            let raw: Value = serde_json::from_str(body).unwrap_or(Value::Null);
            // One that can't be taken may still repeat a job that was: its record is read before it is turned down.
            if let Ok(spec) = JobSpec::from_value(&raw) {
                if self.autoscaler.types.is_empty() {
                    return Some(Reply::later("machine types are not known yet"));
                }
                let raw = stored_description(&raw, &spec);
                let open = self.not_yet(&spec).is_none();
                if open && self.never(&raw, &spec).is_none() {
                    return self.accept(now, from, id, spec, raw, out);
                }
            }
        } else if self.accepting.contains_key(&id) {
            return Some(Reply::later("being accepted"));
        }
        // Unknown here: only the store can tell whether it was ever accepted.
        self.look_up(now, &id, vec![(from, r)], out);
        None
    }

    /// Has the record of a job that isn't known here read for these requests, by a reading that begins now or later.
    fn look_up(&mut self, now: Micros, id: &str, waiting: Vec<(Caller, UserRequest)>, out: &mut Vec<Effect>) {
        if waiting.is_empty() {
            return;
        }
        let full = self.lookups.len() >= WAITING_LIMIT;
        if let Some(l) = self.lookups.get_mut(id)
            && l.next.len() < WAITING_LIMIT
        {
            return l.next.extend(waiting);
        }
        if full || self.lookups.contains_key(id) || !self.requests.take(now, 2.0, 0.3) {
            for (o, _) in waiting {
                self.reply(now, o, Reply::later("overloaded"), out);
            }
            return;
        }
        let number = self.fresh_id();
        self.lookups.insert(id.to_owned(), Lookup { number, waiting, next: Vec::new() });
        self.ask_store(
            PendingStoreRequest::Lookup(id.to_owned(), number),
            StoreRequest::Get(format!("job/{id}")),
            out,
        );
    }

    /// Why a job can never run here, if so, by the description that is stored. Nobody is told before its record was looked for: a
    /// repeated submission may have another body than the first, which was taken.
    fn never(&self, raw: &Value, spec: &JobSpec) -> Option<String> {
        if let Err(e) = spec.check(&self.autoscaler.types, &self.settings.teams) {
            return Some(e.to_string());
        }
        let limit = self.settings.value_bytes;
        // The night is filled in later.
        let night = if spec.release.as_ref().is_some_and(|r| r.night.is_none()) { 32 } else { 0 };
        if JobShard::longest(raw, spec, self.wall) + night > limit {
            return Some(format!(
                "the description is too long to be kept: its record may have {limit} bytes"
            ));
        }
        if spec.follows.len() > dependencies::MOST {
            return Some(format!("follows: a job may name {} others at most", dependencies::MOST));
        }
        None
    }

    /// Begins to put a job on record that can run, as far as [`Controller::never`] tells, by the description that is stored: a body with
    /// superfluous fields must not make a record that the store won't take.
    pub(super) fn accept(
        &mut self,
        now: Micros,
        from: Caller,
        id: String,
        spec: JobSpec,
        raw: Value,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let wall = self.wall;
        if self.accepting.len() >= WAITING_LIMIT {
            return Some(Reply::later("overloaded"));
        }
        let unknown = match self.begin_check(now, &id, &spec, out) {
            Ok(unknown) => unknown,
            Err(reply) => return Some(reply),
        };
        self.accepting.insert(
            id.clone(),
            Accepting {
                origins: vec![from],
                late: Vec::new(),
                sent: false,
                spec,
                raw,
                wall,
                unknown,
                began: now,
                since: now,
                with: None,
            },
        );
        self.put_on_record(now, id, out);
        None
    }

    pub(super) fn accepted(
        &mut self,
        now: Micros,
        id: String,
        epoch: u64,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        if self.joins_again(now, &id, &a, out) {
            return;
        }
        let Some(acc) = self.accepting.remove(&id) else { return };
        match a {
            StoreAnswer::Committed(store_version) => {
                tracing::info!(job = %id, class = %acc.spec.class, team = %acc.spec.team, tasks = acc.spec.tasks, epoch, "job accepted");
                self.raised(&id, acc.with, store_version);
                if self.membership.job_leader(&id) != Some(self.settings.me) {
                    // Its owner reads the record when it is asked about the job, or in the next epoch.
                    self.standing_in.insert(id.clone(), now);
                    if epoch == self.membership.epoch {
                        self.start_replica.stood_in(&id, &self.standing_in);
                    }
                } else {
                    // Written under an epoch that has passed, it may have been another's since, and have ended: what lives
                    // is among the records that are read in this one.
                    if epoch == self.membership.epoch {
                        self.job_shard.insert_job(
                            acc.raw.clone(),
                            acc.spec,
                            acc.wall,
                            Ranges::default(),
                            store_version,
                            true,
                        );
                    }
                }
                // The end may have been told meanwhile: the record can be read before the answer to its write is here.
                let ended = self.job_shard.outcome_of(&id).and_then(|_| self.known(&id));
                let reply =
                    ended.unwrap_or_else(|| Reply::json(201, &json!({"uid": id, "stance": "pending"})));
                for o in acc.origins {
                    self.reply(now, o, reply.clone(), out);
                }
                self.answer_as_known(now, &id, &acc.raw, acc.late, out);
            }
            // It was accepted before.
            StoreAnswer::Conflict(keys) if !keys.iter().any(|k| k == EPOCH_KEY) => {
                let waiting = acc.origins.into_iter().chain(acc.late).collect();
                self.answer_as_known(now, &id, &acc.raw, waiting, out);
            }
            _ => {
                for o in acc.origins.into_iter().chain(acc.late) {
                    self.reply(now, o, Reply::later("the job could not be put on record"), out);
                }
            }
        }
    }

    /// Answers repeated submissions of a job that is on record by how it stands now: by the owner's word, or, where the owner
    /// does not answer, by the record.
    fn answer_as_known(
        &mut self,
        now: Micros,
        id: &str,
        raw: &Value,
        from: Vec<Caller>,
        out: &mut Vec<Effect>,
    ) {
        if from.is_empty() {
            return;
        }
        if self.answers_for(now, id) {
            let body = raw.to_string();
            let again = |o| (o, UserRequest::Submit(id.to_owned(), body.clone()));
            return self.answer_or_look_up(now, id, from.into_iter().map(again).collect(), out);
        }
        for o in from {
            if !self.peek(now, o, id, out) {
                self.reply(now, o, Reply::later("the job could not be put on record"), out);
            }
        }
    }

    fn answer_or_look_up(
        &mut self,
        now: Micros,
        id: &str,
        asked: Vec<(Caller, UserRequest)>,
        out: &mut Vec<Effect>,
    ) {
        if !self.job_shard.jobs.contains_key(id) && self.job_shard.outcome_of(id).is_none() {
            return self.look_up(now, id, asked, out);
        }
        for (o, r) in asked {
            if let Some(reply) = self.own_request(now, o, r, out) {
                self.reply(now, o, reply, out);
            }
        }
    }

    pub(super) fn end(&mut self, now: Micros, id: &str, f: JobOutcome, out: &mut Vec<Effect>) {
        self.job_shard.end_job(id, f);
        for o in self.withdrawing.remove(id).unwrap_or_default() {
            self.reply(now, o, Reply::json(200, &json!({"uid": id, "stance": stance_of(f)})), out);
        }
    }

    /// The store was asked about a job; `read` tells whether it answered.
    pub(super) fn looked_up(&mut self, now: Micros, id: &str, read: bool, out: &mut Vec<Effect>) {
        let Some(l) = self.lookups.remove(id) else { return };
        for (o, r) in l.waiting {
            if !read {
                self.reply(now, o, Reply::later("the job's record could not be read"), out);
            } else if self.job_shard.jobs.contains_key(id) || self.job_shard.outcome_of(id).is_some() {
                if let Some(reply) = self.own_request(now, o, r, out) {
                    self.reply(now, o, reply, out);
                }
            } else {
                let reply = match r {
                    UserRequest::Submit(_, body) => {
                        let raw = serde_json::from_str(&body).unwrap_or(Value::Null);
                        match JobSpec::from_value(&raw)
                            .map(|s| (self.never(&stored_description(&raw, &s), &s), s))
                        {
                            Err(e) => Reply::error(e.status(), &e.to_string()),
                            Ok((Some(why), _)) => Reply::error(422, &why),
                            Ok((None, s)) => {
                                self.not_yet(&s).unwrap_or_else(|| Reply::later("machine types have changed"))
                            }
                        }
                    }
                    _ => Reply::error(404, "no such job"),
                };
                self.reply(now, o, reply, out);
            }
        }
        self.answer_or_look_up(now, id, l.next, out);
    }

    /// Requests passed to a peer that has not answered: a submission is taken in its place, others are
    /// told to come back. Owners in whose place jobs were accepted are told until they know them.
    pub(super) fn overdue(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // An answer takes a few hundredths of a second. Users of new jobs wait for no more than that.
        let patience = Micros(self.settings.digest.0 / 4);
        let late = |a: &ForwardedRequest| {
            // A poll is waited for for two seconds, and the record can answer it.
            let poll = a.ticket.is_some() && matches!(a.request, UserRequest::Query(_));
            now.since(a.at) >= Micros::from_millis(if poll { 600 } else { 1500 })
        };
        let slow: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, a)| {
                let new = a.ticket.is_some() && matches!(a.request, UserRequest::Submit(..));
                late(a) || (new && now.since(a.at) >= patience)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in slow {
            let Some(a) = self.forwarded.remove(&id) else { continue };
            let Some(ticket) = a.ticket else { continue };
            if let UserRequest::Submit(job, body) = &a.request
                && self.accept_unseen(now, Caller::Ticket(ticket), job, body, out)
            {
                continue;
            }
            if let UserRequest::Query(job) = &a.request
                && self.peek(now, Caller::Ticket(ticket), job, out)
            {
                continue;
            }
            if late(&a) {
                let (what, job) = (a.request.kind(), a.request.job());
                tracing::debug!(what, job, "request refused: its owner does not answer");
                out.push(Effect::Reply(ticket, Reply::later("the job's owner does not answer")));
            } else {
                self.forwarded.insert(id, a);
            }
        }
        let due: Vec<String> =
            self.standing_in.iter().filter(|(_, t)| now >= **t).map(|(id, _)| id.clone()).collect();
        for job in due {
            match self.membership.job_leader(&job) {
                Some(o) if o != self.settings.me && self.forwarded.len() < WAITING_LIMIT => {
                    self.standing_in.insert(job.clone(), now + Micros::from_millis(1000));
                    self.pass_on(now, o, None, UserRequest::Query(job), out);
                }
                Some(o) if o != self.settings.me => {}
                _ => {
                    self.standing_in.remove(&job);
                }
            }
        }
    }
}

impl Accepting {
    /// It is sent to the store now: all requests so far came before.
    pub(super) fn goes_out(&mut self) {
        self.sent = true;
        self.origins.append(&mut self.late);
    }

    /// Another submission of the same job. Guards against an answer that is older than what its user was told before asking:
    /// while the store's answer is on its way the job may be ended through another controller.
    fn join(&mut self, from: Caller) {
        if self.sent { self.late.push(from) } else { self.origins.push(from) }
    }
}

#[cfg(test)]
mod tests;
