//! Operators' requests about batches: storing a version, showing one, listing all.

use super::*;

fn permit_json(permit: &Permit) -> Value {
    json!({"job": permit.job, "attempt": permit.attempt, "task": permit.task, "fence": permit.fence, "version": permit.version})
}

impl Controller {
    /// Answers an operator's request about batches; None if it must be repeated in the next round.
    pub(in crate::controller) fn answer_batch_request(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.is_freshness_enabled() {
            return Some(Reply::error(404, "batches are not switched on here"));
        }
        match &request.command {
            OperatorCommand::PutBatch { name, version } => {
                self.put_batch(now, request.received_at, name, *version, out)
            }
            OperatorCommand::ShowBatch { name } => self.show_batch(now, request, name, out),
            _ => {
                let rows = self.list_batches(now, request.ticket, out)?;
                Some(Reply::json(200, &json!({"batches": rows})))
            }
        }
    }

    fn put_batch(
        &mut self,
        now: Micros,
        received_at: Micros,
        name: &str,
        version: u64,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let key = match Key::new(RecordKind::Batch, name) {
            Ok(key) => key,
            Err(error) => return Some(Reply::error(400, &format!("name: {error}"))),
        };
        let next = match self.coordination_record_since(now, &key, received_at)? {
            CachedRecord::NotRead => return None,
            CachedRecord::Absent => Batch::new(version),
            CachedRecord::Unreadable(error) => return Some(Reply::error(409, &error.to_string())),
            CachedRecord::Present(record) => {
                match Batch::read(&record).map(|batch| batch.put_version(version)) {
                    Err(error) => return Some(Reply::error(409, &error.to_string())),
                    Ok(Err(error)) => return Some(Reply::error(409, &error.to_string())),
                    Ok(Ok(VersionChange::Unchanged)) => {
                        return Some(Reply::json(200, &json!({"batch": name, "version": version})));
                    }
                    Ok(Ok(VersionChange::Raised(next))) => next,
                }
            }
        };
        // The next round finds the stored version; if another change came first, the request is decided
        // again.
        if self.change_record(now, &key, next.to_record(), Vec::new(), None, out) {
            tracing::info!(batch = name, version, by = "operator", "raising the version of a batch");
            self.freshness.counts.raised += 1;
        }
        None
    }

    fn show_batch(
        &mut self,
        now: Micros,
        request: &OperatorRequest,
        name: &str,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let key = match Key::new(RecordKind::Batch, name) {
            Ok(key) => key,
            Err(why) => return Some(Reply::error(400, &format!("name: {why}"))),
        };
        let batch = match self.coordination_record_since(now, &key, request.received_at)? {
            CachedRecord::NotRead => return None,
            CachedRecord::Unreadable(why) => return Some(Reply::error(409, &why.to_string())),
            CachedRecord::Absent => {
                let rows = self.list_batches(now, request.ticket, out)?;
                let names = rows.iter().filter_map(|batch| batch["batch"].as_str());
                let suggestion = find_nearest(name, names).map(|name| format!("; the nearest is {name}"));
                let why = format!("no batch is called {name}{}", suggestion.unwrap_or_default());
                return Some(Reply::error(404, &why));
            }
            CachedRecord::Present(record) => match Batch::read(&record) {
                Ok(batch) => batch,
                Err(why) => return Some(Reply::error(409, &why.to_string())),
            },
        };
        // Taken from records only, so that every controller gives the same answer.
        let runs: Vec<Value> = self
            .census_since(&key, request.received_at)?
            .iter()
            .map(|(id, member)| {
                let state = match member.state {
                    CensusJobState::Live => "live",
                    CensusJobState::Done => "done",
                    CensusJobState::Cancelled => "cancelled",
                };
                json!({
                    "job": id,
                    "class": member.declaration[users::CLASS],
                    "version": member.declaration["version"],
                    "stands": state,
                })
            })
            .collect();
        let permits: Vec<Value> = batch.permits.iter().map(permit_json).collect();
        let after: Vec<Value> = batch
            .outdated_writes
            .iter()
            .map(|(version, fence)| json!({"version": version, "after_fence": fence}))
            .collect();
        let body = json!({
            "batch": name,
            "version": batch.version,
            "fence": batch.fence,
            "permits": permits,
            "after": after,
            "runs": runs,
        });
        Some(Reply::json(200, &body))
    }

    /// All batches with their versions, read again for each request; None if the list is not complete.
    fn list_batches(&mut self, now: Micros, ticket: u64, out: &mut Vec<Effect>) -> Option<Vec<Value>> {
        let (after, rows, is_complete, is_reading) = self.freshness.lists.entry(ticket).or_default();
        if *is_complete {
            return self.freshness.lists.remove(&ticket).map(|(_, rows, ..)| rows);
        }
        if !*is_reading
            && rows.len() < MAX_LISTED_BATCHES
            && self.state_store.request_limiter.take(now, 1.0, 0.2)
        {
            *is_reading = true;
            let list = StoreRequest::List(RecordKind::Batch.prefix(), after.clone());
            self.send_store_request(
                PendingStoreRequest::Freshness(PendingFreshnessRequest::Heads(ticket)),
                list,
                out,
            );
        }
        None
    }

    pub(super) fn apply_batch_page(&mut self, ticket: u64, answer: StoreAnswer) {
        let Some((after, rows, complete, reading)) = self.freshness.lists.get_mut(&ticket) else { return };
        *reading = false;
        let StoreAnswer::Page(page, more) = answer else { return };
        for row in page {
            if let Some(key) = Key::parse(&row.key) {
                let version = CoordinationRecord::read(&row.value).map(|record| json!(record.version));
                let version = version.unwrap_or_else(|why| json!(why.to_string()));
                rows.push(json!({"batch": key.name(), "version": version}));
            }
            *after = row.key;
        }
        *complete = !more || rows.len() >= MAX_LISTED_BATCHES;
    }

    /// The state of batches, for operators.
    pub(in crate::controller) fn batch_status(&self) -> Value {
        let (freshness, counts) = (&self.freshness, self.freshness.counts);
        json!({
            "on": self.is_freshness_enabled(),
            "merges": freshness.merges.len(),
            "stale": freshness.merges.values().filter(|state| state.stale).count(),
            "asking": freshness.permit_requests.len(),
            "permits": counts.permits,
            "refused": counts.refused,
            "stopped": counts.stopped,
            "raised": counts.raised,
            "unreadable": freshness.unreadable.keys().take(MAX_STATUS_ROWS).collect::<Vec<_>>(),
        })
    }
}
