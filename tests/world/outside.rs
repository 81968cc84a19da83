//! Simulations of the state store and the cloud, and the reads and writes of a version 1 controller.

use super::*;

impl World {
    /// Reduces a request to what a limited controller would write.
    pub(crate) fn written_by(&self, n: usize, mut r: StoreRequest) -> StoreRequest {
        if let (true, StoreRequest::Transaction(c)) = (self.limited[n], &mut r) {
            for (key, value, _) in c.puts.iter_mut().filter(|p| p.0.starts_with("ring/m/")) {
                assert!(key != "ring/m/*", "an old controller is among them");
                value.as_object_mut().expect("a member").remove("reads");
            }
            // Version 1 preserves the job fields that it doesn't know.
            for (key, value, _) in c.puts.iter_mut().filter(|p| p.0.starts_with("job/")) {
                let spec = &mut value["spec"];
                if let Some(name) = spec["breedsOfStall"][0].as_str().and_then(|t| t.strip_prefix("unknown "))
                {
                    spec["breedsOfStall"] = json!([name]);
                }
                for (member, hidden) in self.hidden.get(key).and_then(Value::as_object).into_iter().flatten()
                {
                    spec[member] = hidden.clone();
                }
            }
            for (_, value, _) in c.puts.iter_mut().filter(|p| p.0.starts_with("done/")) {
                value.as_object_mut().expect("an end").remove("says");
            }
        }
        r
    }

    /// Reduces an answer to what a limited controller would read. Version 1 has no dependencies, and treats the
    /// reserved machine types that hold a job back as ordinary ones.
    pub(crate) fn read_by(&mut self, n: usize, mut a: StoreAnswer) -> StoreAnswer {
        if !self.limited[n] {
            return a;
        }
        let rows = match &mut a {
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
                self.hidden.insert(row.key.clone(), hidden.into());
            }
            if held {
                let types = spec["breedsOfStall"].as_array_mut().expect("types");
                types[0] = format!("unknown {}", types[0].as_str().expect("a name")).into();
                assert!(types.len() == 1 && !["small", "large"].iter().any(|t| types[0] == *t));
            }
        }
        a
    }

    /// Answers watches that have changes to report or whose deadline has passed.
    pub(crate) fn run_watches(&mut self) {
        if self.now < self.outage_until {
            return;
        }
        for (n, boot, id, prefix, after, until) in std::mem::take(&mut self.watches) {
            let a = match self.store.news(&prefix, after) {
                None if self.now < until => {
                    self.watches.push((n, boot, id, prefix, after, until));
                    continue;
                }
                None => StoreAnswer::Changes(self.store.revision, Vec::new()),
                Some(news) => news,
            };
            match self.travel(End::Store, End::Controller(n)) {
                Some(d) if d < 2 * S => {
                    self.later(d, What::Controller(n, boot, Event::Store { id, answer: a }))
                }
                _ => self.later(
                    4 * S,
                    What::Controller(n, boot, Event::Store { id, answer: StoreAnswer::Unknown }),
                ),
            }
        }
    }

    pub(crate) fn store_apply(&mut self, r: StoreRequest) -> StoreAnswer {
        if self.now < self.outage_until {
            return StoreAnswer::Refused;
        }
        self.store.limits = if self.now >= self.limits_fall { NEXT_LIMITS } else { LIMITS };
        if let StoreRequest::Transaction(Transaction { conditions, puts, deletes: drops }) = &r {
            // Conditions reject late or deposed writers: a condition on the epoch for all keys but the ring's, and
            // one on the record's version for jobs, teams and coordination records.
            for key in puts.iter().map(|p| &p.0).chain(drops).filter(|k| !k.starts_with("ring/")) {
                assert!(conditions.iter().any(|c| c.0 == "ring/epoch" && c.1 > 0), "{key} without fence");
                let own = ["job/", "team/", "pact/"].iter().any(|p| key.starts_with(p));
                assert!(!own || conditions.iter().any(|c| c.0 == *key), "{key} without version");
            }
        }
        assert!(
            !matches!(r, StoreRequest::Watch(..)),
            "watches are answered when there is something to tell"
        );
        let change = if let StoreRequest::Transaction(c) = &r { Some(c.clone()) } else { None };
        let a = self.store.apply(self.now, r);
        if let Some(c) = change {
            let done = matches!(a, StoreAnswer::Committed(_));
            if done {
                c.puts.iter().for_each(|(key, ..)| self.vet_record(key));
            }
            self.note_change(&c, done);
        }
        self.watch_batches();
        self.note_epoch();
        a
    }

    pub(crate) fn cloud(&mut self, r: &CloudRequest) -> CloudAnswer {
        match r {
            CloudRequest::MachineTypes => CloudAnswer::MachineTypes(types(self.shape)),
            CloudRequest::List(after) => {
                let listed = |w: &Worker| CloudMachine {
                    name: w.name.clone(),
                    machine_type: w.kind.clone(),
                    zone: w.zone.clone(),
                    spot: w.spot,
                    state: if w.dead {
                        "failed"
                    } else if w.up_at > self.now {
                        "booting"
                    } else {
                        "running"
                    }
                    .into(),
                    age_s: (self.now - w.rented) as f64 / 1e6,
                };
                // The list lags: a machine may be up and run tasks before it is listed.
                let old = |w: &&Worker| !w.gone && w.name > *after && w.rented + 8 * S <= self.now;
                CloudAnswer::Page(self.workers.iter().filter(old).map(listed).collect(), false)
            }
            CloudRequest::ScaleOut(r) => {
                if let Some(names) = self.rentals.get(&r.name) {
                    return CloudAnswer::ScaledOut(names.clone());
                }
                let here = self.workers.iter().filter(|w| !w.gone && w.zone == r.zone).count();
                let spots = self.workers.iter().filter(|w| !w.gone && w.zone == r.zone && w.spot).count();
                // Spot machines get at most two thirds of a zone's capacity, so that idle ones can't use up all of
                // it.
                let room = self.shape.room;
                let left = if r.spot { (room * 2 / 3).saturating_sub(spots) } else { room };
                let n = (r.count as usize).min(room.saturating_sub(here)).min(left);
                if n == 0 {
                    return CloudAnswer::NoCapacity;
                }
                let names: Vec<String> = (0..n)
                    .map(|_| {
                        // Most machines boot within the advertised time; some at once, some late and some never.
                        let boot = match self.rng.random_range(0..20) {
                            0 => NEVER,
                            1 | 2 => 1000,
                            3 | 4 => self.rng.random_range(40 * S..90 * S),
                            _ => self.rng.random_range(3 * S..20 * S),
                        };
                        let soon = self.lost.boots.clone().map(|b| self.rng.random_range(b));
                        self.add_worker(&r.machine_type, &r.zone, r.spot, soon.unwrap_or(boot))
                    })
                    .collect();
                self.rentals.insert(r.name.clone(), names.clone());
                CloudAnswer::ScaledOut(names)
            }
            CloudRequest::ScaleIn(names) => {
                for w in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                    w.gone = true;
                    w.tasks.clear();
                }
                CloudAnswer::ScaledIn
            }
        }
    }
}
