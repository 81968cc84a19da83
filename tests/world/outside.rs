//! Simulations of the state store and the cloud, and the reads and writes of a version 1 controller.

use super::*;

impl World {
    /// Reduces a request to what a limited controller would write.
    pub(crate) fn write_as_limited(&self, controller: usize, mut request: StoreRequest) -> StoreRequest {
        if let (true, StoreRequest::Transaction(transaction)) = (self.limited[controller], &mut request) {
            for (key, value, _) in transaction.puts.iter_mut().filter(|p| p.0.starts_with("ring/m/")) {
                assert!(key != "ring/m/*", "ring/m/* is written while a limited controller is a member");
                value.as_object_mut().expect("a member").remove("reads");
            }
            // Version 1 preserves the job fields that it doesn't know.
            for (key, value, _) in transaction.puts.iter_mut().filter(|p| p.0.starts_with("job/")) {
                let spec = &mut value["spec"];
                if let Some(name) = spec["breedsOfStall"][0].as_str().and_then(|t| t.strip_prefix("unknown "))
                {
                    spec["breedsOfStall"] = json!([name]);
                }
                for (member, hidden) in
                    self.removed_fields.get(key).and_then(Value::as_object).into_iter().flatten()
                {
                    spec[member] = hidden.clone();
                }
            }
            for (_, value, _) in transaction.puts.iter_mut().filter(|p| p.0.starts_with("done/")) {
                value.as_object_mut().expect("a final record").remove("says");
            }
        }
        request
    }

    /// Reduces an answer to what a limited controller would read. Version 1 has no dependencies, and treats the
    /// reserved machine types that hold a job back as ordinary ones.
    pub(crate) fn read_as_limited(&mut self, controller: usize, mut answer: StoreAnswer) -> StoreAnswer {
        if !self.limited[controller] {
            return answer;
        }
        let rows = match &mut answer {
            StoreAnswer::Got(row) => row.as_mut_slice(),
            StoreAnswer::Page(rows, _) => rows.as_mut_slice(),
            _ => &mut [],
        };
        for row in rows.iter_mut().filter(|r| r.key.starts_with("job/")) {
            let spec = row.value["spec"].as_object_mut().expect("a description");
            let mut hidden = serde_json::Map::new();
            for member in ["follows", "followsAfter", "followed", "release", "releasedUs"] {
                hidden.extend(spec.remove(member).map(|v| (member.to_owned(), v)));
            }
            let types = spec.get("breedsOfStall").and_then(|t| t.get(0)).and_then(Value::as_str);
            let held = types.is_some_and(|t| t.starts_with('('));
            if !hidden.is_empty() {
                self.removed_fields.insert(row.key.clone(), hidden.into());
            }
            if held {
                let types = spec["breedsOfStall"].as_array_mut().expect("types");
                types[0] = format!("unknown {}", types[0].as_str().expect("a name")).into();
                assert!(types.len() == 1 && !["small", "large"].iter().any(|t| types[0] == *t));
            }
        }
        answer
    }

    /// Answers watches that have changes to report or whose deadline has passed.
    pub(crate) fn run_watches(&mut self) {
        if self.now < self.outage_until {
            return;
        }
        for (controller, boot, id, prefix, after, until) in std::mem::take(&mut self.watches) {
            let answer = match self.store.news(&prefix, after) {
                None if self.now < until => {
                    self.watches.push((controller, boot, id, prefix, after, until));
                    continue;
                }
                None => StoreAnswer::Changes(self.store.revision, Vec::new()),
                Some(news) => news,
            };
            match self.message_delay(Endpoint::Store, Endpoint::Controller(controller)) {
                Some(travel_time) if travel_time < 2 * S => self.schedule(
                    travel_time,
                    SimEvent::Controller(controller, boot, Event::Store { id, answer }),
                ),
                _ => self.schedule(
                    4 * S,
                    SimEvent::Controller(controller, boot, Event::Store { id, answer: StoreAnswer::Unknown }),
                ),
            }
        }
    }

    pub(crate) fn store_apply(&mut self, request: StoreRequest) -> StoreAnswer {
        if self.now < self.outage_until {
            return StoreAnswer::Refused;
        }
        self.store.limits = if self.now >= self.limits_fall { NEXT_LIMITS } else { LIMITS };
        if let StoreRequest::Transaction(Transaction { conditions, puts, deletes: drops }) = &request {
            // Conditions reject late or deposed writers: a condition on the epoch for all keys but the ring's, and
            // one on the record's version for jobs, teams and coordination records.
            for key in puts.iter().map(|p| &p.0).chain(drops).filter(|k| !k.starts_with("ring/")) {
                assert!(
                    conditions.iter().any(|condition| condition.0 == "ring/epoch" && condition.1 > 0),
                    "{key}: no condition on the epoch"
                );
                let own = ["job/", "team/", "pact/"].iter().any(|p| key.starts_with(p));
                assert!(
                    !own || conditions.iter().any(|condition| condition.0 == *key),
                    "{key}: no condition on its version"
                );
            }
        }
        assert!(!matches!(request, StoreRequest::Watch(..)), "watches are answered by run_watches");
        let change = if let StoreRequest::Transaction(transaction) = &request {
            Some(transaction.clone())
        } else {
            None
        };
        let answer = self.store.apply(self.now, request);
        if let Some(transaction) = change {
            let done = matches!(answer, StoreAnswer::Committed(_));
            if done {
                transaction.puts.iter().for_each(|(key, ..)| self.check_job_record(key));
            }
            self.record_transaction(&transaction, done);
        }
        self.check_batches();
        self.observe_epoch();
        answer
    }

    pub(crate) fn cloud(&mut self, request: &CloudRequest) -> CloudAnswer {
        match request {
            CloudRequest::MachineTypes => CloudAnswer::MachineTypes(types(self.shape)),
            CloudRequest::List(after) => {
                let listed = |worker: &Worker| CloudMachine {
                    name: worker.name.clone(),
                    machine_type: worker.kind.clone(),
                    zone: worker.zone.clone(),
                    spot: worker.spot,
                    state: if worker.dead {
                        "failed"
                    } else if worker.up_at > self.now {
                        "booting"
                    } else {
                        "running"
                    }
                    .into(),
                    age_s: (self.now - worker.created_at) as f64 / 1e6,
                };
                // The list lags: a machine may be up and run tasks before it is listed.
                let is_listed = |worker: &&Worker| {
                    !worker.gone && worker.name > *after && worker.created_at + 8 * S <= self.now
                };
                CloudAnswer::Page(self.workers.iter().filter(is_listed).map(listed).collect(), false)
            }
            CloudRequest::ScaleOut(request) => {
                if let Some(names) = self.scale_outs.get(&request.name) {
                    return CloudAnswer::ScaledOut(names.clone());
                }
                let in_zone =
                    self.workers.iter().filter(|worker| !worker.gone && worker.zone == request.zone).count();
                let spots = self
                    .workers
                    .iter()
                    .filter(|worker| !worker.gone && worker.zone == request.zone && worker.spot)
                    .count();
                // Spot machines get at most two thirds of a zone's capacity, so that idle ones can't use up all of
                // it.
                let room = self.shape.zone_capacity;
                let left = if request.spot { (room * 2 / 3).saturating_sub(spots) } else { room };
                let granted_count = (request.count as usize).min(room.saturating_sub(in_zone)).min(left);
                if granted_count == 0 {
                    return CloudAnswer::NoCapacity;
                }
                let names: Vec<String> = (0..granted_count)
                    .map(|_| {
                        // Most machines boot within the advertised time; some at once, some late and some never.
                        let boot = match self.rng.random_range(0..20) {
                            0 => NEVER,
                            1 | 2 => 1000,
                            3 | 4 => self.rng.random_range(40 * S..90 * S),
                            _ => self.rng.random_range(3 * S..20 * S),
                        };
                        let soon = self.lost.boot_times.clone().map(|b| self.rng.random_range(b));
                        self.add_worker(
                            &request.machine_type,
                            &request.zone,
                            request.spot,
                            soon.unwrap_or(boot),
                        )
                    })
                    .collect();
                self.scale_outs.insert(request.name.clone(), names.clone());
                CloudAnswer::ScaledOut(names)
            }
            CloudRequest::ScaleIn(names) => {
                for worker in self.workers.iter_mut().filter(|worker| names.contains(&worker.name)) {
                    worker.gone = true;
                    worker.tasks.clear();
                }
                CloudAnswer::ScaledIn
            }
        }
    }
}
