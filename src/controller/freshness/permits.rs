//! Who may write: a permit of the batch's version, on record, given from a record that was read after the question came.

use super::*;

fn told(l: &UpstreamFindings) -> Value {
    let old = l.stale_runs.iter().map(|o| {
        json!({
            "job": o.job,
            "class": o.class,
            "batch": o.declared_batch.as_ref().map(|r| &r.name),
            "version": o.declared_batch.as_ref().map(|r| r.version),
        })
    });
    json!({"old": old.collect::<Vec<_>>(), "missing": l.missing_classes})
}

impl Controller {
    /// A merge asks whether it may write; its job is ours to answer for. None: answered later.
    pub(in crate::controller) fn permit(
        &mut self,
        now: Micros,
        from: Caller,
        id: &str,
        attempt: u64,
        task: u32,
        _out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.batches_on() {
            return Some(Reply::error(404, "batches are not switched on here"));
        }
        let j = self.job_shard.jobs.get(id)?;
        if j.spec.merges.is_none() {
            return Some(Reply::error(409, "the job names no batch that it merges"));
        }
        if task >= j.spec.task_count {
            return Some(Reply::error(404, "no such task"));
        }
        if self.freshness.asking.len() >= ASKING {
            return Some(Reply::retry_later("overloaded"));
        }
        let job = id.to_owned();
        self.freshness.asking.push(Asking { from, job, attempt, task, came: now });
        None
    }

    pub(super) fn answer_writers(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for a in std::mem::take(&mut self.freshness.asking) {
            let reply = if now.since(a.came) >= PATIENCE {
                Some(Reply::retry_later("the batch's record could not be read or changed in time"))
            } else {
                self.answer_writer(now, &a, out)
            };
            match reply {
                Some(r) => {
                    match r.status {
                        200 => self.freshness.counts.permits += 1,
                        409 => self.freshness.counts.refused += 1,
                        _ => {}
                    }
                    self.reply(now, a.from, r, out);
                }
                None => self.freshness.asking.push(a),
            }
        }
    }

    /// The answer to a writer, from a record that was read after its question came; None: not yet.
    fn answer_writer(&mut self, now: Micros, a: &Asking, out: &mut Vec<Effect>) -> Option<Reply> {
        if !self.answers_for(now, &a.job) {
            return Some(Reply::retry_later("taking over"));
        }
        let Some(j) = self.job_shard.jobs.get(&a.job).filter(|j| j.pending_outcome.is_none()) else {
            return Some(Reply::error(409, "the job has ended"));
        };
        let task = (j.spec.kind != JobKind::Gang).then_some(a.task);
        let standing = self.job_shard.attempt_status(&a.job, task, a.attempt);
        match standing {
            AttemptStatus::Ended => return Some(Reply::error(409, "no such attempt runs")),
            AttemptStatus::Unknown => return Some(Reply::retry_later("taking over")),
            AttemptStatus::Active | AttemptStatus::Stopping => {}
        }
        let (key, merge) = self.merge_of(&a.job)?;
        let held = self.coordination_record_since(now, &key, a.came)?;
        let verdict = self.verdict(&held, &merge, &key);
        let writer = Writer { job: a.job.clone(), attempt: a.attempt, task };
        // What has ended makes room for what begins.
        let known = match &held {
            CachedRecord::Present(r) => {
                Batch::read(r).ok().and_then(|b| b.release_permits(|p| self.permit_over(p)))
            }
            _ => None,
        };
        let held = known.map_or(held, |b| CachedRecord::Present(b.record()));
        match guard::decide_permit(&verdict, &held, &writer, self.settings.value_bytes) {
            PermitAnswer::AlreadyHeld(p) => {
                let batch = merge.batch.name;
                Some(Reply::json(200, &json!({"batch": batch, "version": p.version, "fence": p.fence})))
            }
            PermitAnswer::GrantAfterWrite(..) if standing == AttemptStatus::Stopping => {
                Some(Reply::error(409, "the attempt is being stopped"))
            }
            PermitAnswer::GrantAfterWrite(next, p) => {
                if self.change_record(now, &key, next.record(), Vec::new(), None, out) {
                    tracing::info!(
                        job = %a.job,
                        attempt = a.attempt,
                        task = a.task,
                        batch = %key.name(),
                        version = p.version,
                        fence = p.fence,
                        "permit to write"
                    );
                }
                None
            }
            PermitAnswer::Stale(..) if !self.runs_known(&key) => {
                self.mark_stale(now, &a.job, &key);
                None
            }
            PermitAnswer::Stale(version, look) => {
                tracing::info!(
                    job = %a.job,
                    attempt = a.attempt,
                    reason = %verdict.reason(),
                    "permit refused"
                );
                let mut body = told(&look);
                body["error"] = verdict.reason().into();
                body["batch"] = merge.batch.name.into();
                body["version"] = version.into();
                self.freshness.next = Micros(0);
                Some(Reply::json(409, &body))
            }
            PermitAnswer::Superseded => Some(Reply::error(409, "a newer attempt of the task writes")),
            // Records are still being read: within its patience.
            PermitAnswer::Retry(_) => None,
        }
    }

    /// Whether a permit's attempt has certainly ended, as far as its job's leader knows; only that one says so.
    fn permit_over(&self, p: &Permit) -> bool {
        self.job_shard.loaded
            && self.membership.job_leader(&p.job) == Some(self.settings.me)
            && self.job_shard.attempt_status(&p.job, p.task, p.attempt) == AttemptStatus::Ended
    }

    pub(super) fn release_permits(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.state_store.write_limiter.level(now) < 0.6 || !self.membership.have_older_leaders_stopped(now)
        {
            return;
        }
        self.freshness.released.retain(|_, t| now < *t);
        let over = |b: &Batch| b.release_permits(|p| self.permit_over(p));
        let due: Vec<(Key, Batch)> = self
            .coordination
            .records
            .iter()
            .filter(|(k, _)| k.kind() == Sort::Batch && !self.freshness.released.contains_key(k))
            .filter_map(|(k, h)| match h {
                CachedRecord::Present(r) => Some((k.clone(), over(&Batch::read(r).ok()?)?)),
                _ => None,
            })
            .collect();
        for (key, next) in due {
            // Read on until its permits are given back.
            self.coordination_record(now, &key);
            self.freshness.released.insert(key.clone(), now + RELEASE);
            if self.change_record(now, &key, next.record(), Vec::new(), None, out) {
                tracing::debug!(batch = %key.name(), held = next.permits.len(), "permits given back");
            }
        }
    }
}
