//! Permits to write: a permit is for a version of the batch, is stored, and is granted from a record that was
//! read after the request arrived.

use super::*;

fn stale_inputs_json(findings: &UpstreamFindings) -> Value {
    let stale_runs = findings.stale_runs.iter().map(|run| {
        json!({
            "job": run.job,
            "class": run.class,
            "batch": run.declared_batch.as_ref().map(|read| &read.name),
            "version": run.declared_batch.as_ref().map(|read| read.version),
        })
    });
    json!({"old": stale_runs.collect::<Vec<_>>(), "missing": findings.missing_classes})
}

impl Controller {
    /// Handles a merge's request for a permit to write; this controller leads its job. None: the answer is
    /// sent later.
    pub(in crate::controller) fn handle_permit_request(
        &mut self,
        now: Micros,
        caller: Caller,
        id: &str,
        attempt: u64,
        task: u32,
        _out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.is_freshness_enabled() {
            return Some(Reply::error(404, "batches are not switched on here"));
        }
        let job = self.job_shard.jobs.get(id)?;
        if job.spec.merges.is_none() {
            return Some(Reply::error(409, "the job names no batch that it merges"));
        }
        if task >= job.spec.task_count {
            return Some(Reply::error(404, "no such task"));
        }
        if self.freshness.permit_requests.len() >= MAX_PERMIT_REQUESTS {
            return Some(Reply::refuse(Refusal::Overloaded));
        }
        let job = id.to_owned();
        self.freshness.permit_requests.push(PermitRequest { caller, job, attempt, task, received_at: now });
        None
    }

    pub(super) fn answer_permit_requests(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for request in std::mem::take(&mut self.freshness.permit_requests) {
            let reply = if now.since(request.received_at) >= PERMIT_REQUEST_TIMEOUT {
                Some(Reply::refuse(Refusal::PermitRecordBusy))
            } else {
                self.decide_permit_request(now, &request, out)
            };
            match reply {
                Some(reply) => {
                    match reply.status {
                        200 => self.freshness.counts.permits += 1,
                        409 => self.freshness.counts.refused += 1,
                        _ => {}
                    }
                    self.reply(now, request.caller, reply, out);
                }
                None => self.freshness.permit_requests.push(request),
            }
        }
    }

    /// The answer to a writer, from a record that was read after its request arrived; None: not yet.
    fn decide_permit_request(
        &mut self,
        now: Micros,
        request: &PermitRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.can_answer_for(now, &request.job) {
            return Some(Reply::refuse(Refusal::TakingOver));
        }
        let Some(job) = self.job_shard.jobs.get(&request.job).filter(|job| job.pending_outcome.is_none())
        else {
            return Some(Reply::error(409, "the job has ended"));
        };
        let task = (job.spec.kind != JobKind::Gang).then_some(request.task);
        let attempt_status = self.job_shard.attempt_status(&request.job, task, request.attempt);
        match attempt_status {
            AttemptStatus::Ended => return Some(Reply::error(409, "no such attempt runs")),
            AttemptStatus::Unknown => return Some(Reply::refuse(Refusal::TakingOver)),
            AttemptStatus::Active | AttemptStatus::Stopping => {}
        }
        let (key, merge) = self.find_merge(&request.job)?;
        let cached = self.coordination_record_since(now, &key, request.received_at)?;
        let verdict = self.assess_merge(&cached, &merge, &key);
        let writer = Writer { job: request.job.clone(), attempt: request.attempt, task };
        // Permits of ended attempts make room for new ones.
        let pruned_batch = match &cached {
            CachedRecord::Present(record) => Batch::read(record)
                .ok()
                .and_then(|batch| batch.release_permits(|permit| self.has_permit_attempt_ended(permit))),
            _ => None,
        };
        let cached = pruned_batch.map_or(cached, |batch| CachedRecord::Present(batch.to_record()));
        match guard::decide_permit(&verdict, &cached, &writer, self.settings.value_bytes) {
            PermitAnswer::AlreadyHeld(permit) => {
                let batch = merge.batch.name;
                Some(Reply::json(
                    200,
                    &json!({"batch": batch, "version": permit.version, "fence": permit.fence}),
                ))
            }
            PermitAnswer::GrantAfterWrite(..) if attempt_status == AttemptStatus::Stopping => {
                Some(Reply::error(409, "the attempt is being stopped"))
            }
            PermitAnswer::GrantAfterWrite(next, permit) => {
                if self.change_record(now, &key, next.to_record(), Vec::new(), None, out) {
                    tracing::info!(
                        job = %request.job,
                        attempt = request.attempt,
                        task = request.task,
                        batch = %key.name(),
                        version = permit.version,
                        fence = permit.fence,
                        "permit granted"
                    );
                }
                None
            }
            PermitAnswer::Stale(..) if !self.has_all_runs(&key) => {
                self.mark_stale(now, &request.job, &key);
                None
            }
            PermitAnswer::Stale(version, findings) => {
                tracing::info!(
                    job = %request.job,
                    attempt = request.attempt,
                    reason = %verdict.reason(),
                    "permit refused"
                );
                let mut body = stale_inputs_json(&findings);
                body["error"] = verdict.reason().into();
                body["batch"] = merge.batch.name.into();
                body["version"] = version.into();
                self.freshness.next_check_at = Micros(0);
                Some(Reply::json(409, &body))
            }
            PermitAnswer::Superseded => Some(Reply::error(409, "a newer attempt of the task writes")),
            // Records are still being read; the request waits until its timeout.
            PermitAnswer::Retry(_) => None,
        }
    }

    /// Whether a permit's attempt has certainly ended; only the leader of its job can decide this.
    fn has_permit_attempt_ended(&self, permit: &Permit) -> bool {
        self.job_shard.loaded
            && self.membership.job_leader(&permit.job) == Some(self.settings.me)
            && self.job_shard.attempt_status(&permit.job, permit.task, permit.attempt) == AttemptStatus::Ended
    }

    pub(super) fn release_permits(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.state_store.write_limiter.level(now) < 0.6 || !self.membership.have_older_leaders_stopped(now)
        {
            return;
        }
        self.freshness.next_permit_release.retain(|_, next_at| now < *next_at);
        let without_ended =
            |batch: &Batch| batch.release_permits(|permit| self.has_permit_attempt_ended(permit));
        let due: Vec<(Key, Batch)> = self
            .coordination
            .records
            .iter()
            .filter(|(key, _)| {
                key.kind() == RecordKind::Batch && !self.freshness.next_permit_release.contains_key(key)
            })
            .filter_map(|(key, cached)| match cached {
                CachedRecord::Present(record) => {
                    Some((key.clone(), without_ended(&Batch::read(record).ok()?)?))
                }
                _ => None,
            })
            .collect();
        for (key, next) in due {
            // Keeps the record in use until its permits are released.
            self.coordination_record(now, &key);
            self.freshness.next_permit_release.insert(key.clone(), now + PERMIT_RELEASE_PERIOD);
            if self.change_record(now, &key, next.to_record(), Vec::new(), None, out) {
                tracing::debug!(batch = %key.name(), held = next.permits.len(), "permits of ended attempts released");
            }
        }
    }
}
