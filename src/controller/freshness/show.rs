//! Batches for operators: put, shown, listed.

use super::*;

fn permit_value(p: &Permit) -> Value {
    json!({"job": p.job, "attempt": p.attempt, "task": p.task, "fence": p.fence, "version": p.version})
}

impl Controller {
    /// An operator's request about batches: the answer, or None if it is to be asked again in the next round.
    pub(in crate::controller) fn batch_request(
        &mut self,
        now: Micros,
        r: &OperatorRequest,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        if !self.batches_on() {
            return Some(Reply::error(404, "batches are not switched on here"));
        }
        match &r.request {
            OperatorCommand::PutBatch { name, version } => self.put_batch(now, r.began, name, *version, out),
            OperatorCommand::ShowBatch { name } => self.show_batch(now, r, name, out),
            _ => {
                let rows = self.list_batches(now, r.ticket, out)?;
                Some(Reply::json(200, &json!({"batches": rows})))
            }
        }
    }

    fn put_batch(
        &mut self,
        now: Micros,
        began: Micros,
        name: &str,
        version: u64,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let key = match Key::new(Sort::Batch, name) {
            Ok(k) => k,
            Err(why) => return Some(Reply::error(400, &format!("name: {why}"))),
        };
        let next = match self.coordination_record_since(now, &key, began)? {
            CachedRecord::NotRead => return None,
            CachedRecord::Absent => Batch::new(version),
            CachedRecord::Unreadable(why) => return Some(Reply::error(409, &why.to_string())),
            CachedRecord::Present(r) => match Batch::read(&r).map(|b| b.put_version(version)) {
                Err(why) => return Some(Reply::error(409, &why.to_string())),
                Ok(Err(why)) => return Some(Reply::error(409, &why.to_string())),
                Ok(Ok(VersionChange::Unchanged)) => {
                    return Some(Reply::json(200, &json!({"batch": name, "version": version})));
                }
                Ok(Ok(VersionChange::Raised(next))) => next,
            },
        };
        // Once it is on record the next round finds it there; if another change came first it is looked at anew.
        if self.change_record(now, &key, next.record(), Vec::new(), None, out) {
            tracing::info!(batch = name, version, by = "operator", "batch is to be at a newer version");
            self.freshness.counts.raised += 1;
        }
        None
    }

    fn show_batch(
        &mut self,
        now: Micros,
        r: &OperatorRequest,
        name: &str,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let key = match Key::new(Sort::Batch, name) {
            Ok(k) => k,
            Err(why) => return Some(Reply::error(400, &format!("name: {why}"))),
        };
        let batch = match self.coordination_record_since(now, &key, r.began)? {
            CachedRecord::NotRead => return None,
            CachedRecord::Unreadable(why) => return Some(Reply::error(409, &why.to_string())),
            CachedRecord::Absent => {
                let rows = self.list_batches(now, r.ticket, out)?;
                let names = rows.iter().filter_map(|b| b["batch"].as_str());
                let near = find_nearest(name, names).map(|n| format!("; the nearest is {n}"));
                let why = format!("no batch is called {name}{}", near.unwrap_or_default());
                return Some(Reply::error(404, &why));
            }
            CachedRecord::Present(r) => match Batch::read(&r) {
                Ok(b) => b,
                Err(why) => return Some(Reply::error(409, &why.to_string())),
            },
        };
        // All from records, so that every controller gives the same answer.
        let runs: Vec<Value> = self
            .census_since(&key, r.began)?
            .iter()
            .map(|(id, m)| {
                let stands = match m.state {
                    CensusJobState::Live => "live",
                    CensusJobState::Done => "done",
                    CensusJobState::Cancelled => "cancelled",
                };
                json!({
                    "job": id,
                    "class": m.declaration[users::CLASS],
                    "version": m.declaration["version"],
                    "stands": stands,
                })
            })
            .collect();
        let permits: Vec<Value> = batch.permits.iter().map(permit_value).collect();
        let after: Vec<Value> =
            batch.outdated_writes.iter().map(|(v, f)| json!({"version": v, "after_fence": f})).collect();
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

    /// All batches with their versions, read anew for each request; None: not there yet.
    fn list_batches(&mut self, now: Micros, ticket: u64, out: &mut Vec<Effect>) -> Option<Vec<Value>> {
        let (after, rows, over, busy) = self.freshness.lists.entry(ticket).or_default();
        if *over {
            return self.freshness.lists.remove(&ticket).map(|(_, rows, ..)| rows);
        }
        if !*busy && rows.len() < LISTED && self.state_store.request_limiter.take(now, 1.0, 0.2) {
            *busy = true;
            let r = StoreRequest::List(Sort::Batch.prefix(), after.clone());
            self.ask_store(PendingStoreRequest::Freshness(PendingFreshnessRequest::Heads(ticket)), r, out);
        }
        None
    }

    pub(super) fn listed(&mut self, ticket: u64, a: StoreAnswer) {
        let Some((after, rows, over, busy)) = self.freshness.lists.get_mut(&ticket) else { return };
        *busy = false;
        let StoreAnswer::Page(page, more) = a else { return };
        for row in page {
            if let Some(key) = Key::parse(&row.key) {
                let version = CoordinationRecord::read(&row.value).map(|r| json!(r.version));
                let version = version.unwrap_or_else(|why| json!(why.to_string()));
                rows.push(json!({"batch": key.name(), "version": version}));
            }
            *after = row.key;
        }
        *over = !more || rows.len() >= LISTED;
    }

    /// How batches stand, for operators.
    pub(in crate::controller) fn batch_status(&self) -> Value {
        let (f, c) = (&self.freshness, self.freshness.counts);
        json!({
            "on": self.batches_on(),
            "merges": f.merges.len(),
            "stale": f.merges.values().filter(|s| s.stale).count(),
            "asking": f.asking.len(),
            "permits": c.permits,
            "refused": c.refused,
            "stopped": c.stopped,
            "raised": c.raised,
            "unreadable": f.unreadable.keys().take(SHOWN).collect::<Vec<_>>(),
        })
    }
}
