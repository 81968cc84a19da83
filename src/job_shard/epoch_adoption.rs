//! What becomes of jobs when the membership epoch changes, and how records are loaded in the new one.

use super::*;

impl JobShard {
    /// Takes up a new epoch. Jobs stay only if the epoch follows directly: otherwise another may
    /// have owned them in between. Placed starts stay in doubt until their home has spoken.
    pub fn adopt(&mut self, m: &Membership, follows: bool) {
        self.loaded = false;
        self.older_silent = m.older_silent_at();
        let blame = &mut self.blame;
        self.jobs.retain(|id, _| {
            let stays = follows && m.job_leader(id) == Some(m.me);
            if !stays {
                blame.forget(id);
            }
            stays
        });
        self.keep_waiting();
        self.endings.keep(&self.jobs);
        self.leftovers.retain(|(id, ..), _| follows && m.job_leader(id) == Some(m.me));
        self.finals.clear();
        self.finals_order.clear();
        for j in self.jobs.values_mut() {
            j.writing = false;
            j.verify = true;
            if j.evidence == Evidence::IfEpochStands {
                j.evidence = Evidence::Unread;
            }
            j.withdrawal.anew();
            for p in j.placed.values_mut() {
                p.asked = u64::MAX;
            }
        }
        for l in self.leftovers.values_mut() {
            l.asked = u64::MAX;
        }
        let jobs = &self.jobs;
        for set in self.by_machine.values_mut() {
            set.retain(|(id, _)| jobs.contains_key(id));
        }
        self.by_machine.retain(|_, s| !s.is_empty());
        self.left_on.clear();
        self.open_left.retain(|id, _| follows && m.job_leader(id) == Some(m.me));
        for ((id, idx, machine, attempt), l) in &self.leftovers {
            self.left_on.entry(machine.clone()).or_default().insert((id.clone(), *idx, *attempt), l.alive);
        }
        // The first message to each home of the new epoch holds everything.
        self.touched.clear();
        self.unacked.fill(BTreeMap::new());
        for v in &mut self.views {
            v.forget_awaited();
        }
        for (id, j) in &self.jobs {
            for (&index, p) in &j.placed {
                let key = TaskKey { job: id.clone(), index, attempt: p.attempt };
                self.touched.insert((p.machine.clone(), key));
            }
        }
        for (id, index, machine, attempt) in self.leftovers.keys() {
            let key = TaskKey { job: id.clone(), index: *index, attempt: *attempt };
            self.touched.insert((machine.clone(), key));
        }
        // Message numbers never go back, not even over a restart, since the epoch is their head.
        for r in &mut self.revs {
            *r = (*r).max(m.epoch << 32);
        }
        self.unheard.clear();
        self.of_epoch = None;
        self.vouching = start_replication::StartReplication::default();
        self.maybe_new.clear();
        let used = self.jobs.values().filter_map(|j| match j.evidence {
            Evidence::Waits(d) => Some(d),
            _ => None,
        });
        self.doubts.keep(&used.collect());
        self.dirty.fill(true);
        self.loans.anew();
        self.demands.clear();
        self.doubted = unresolved_starts::UnresolvedStarts::default();
        self.others.inherit(&std::mem::take(&mut self.reserved));
    }

    /// The records were read: `machines` are those that may hold tasks.
    pub fn load_done(&mut self, machines: impl Iterator<Item = String>) {
        self.unheard = machines.collect();
        self.loaded = true;
        self.replan = true;
        self.dirty.fill(true);
        self.doubts.on_record(&self.unheard);
        self.of_epoch = self.doubts.open(self.unheard.clone());
        self.vouching.jobs_changed = true;
        let read = self.of_epoch.map_or(Evidence::Complete, Evidence::Waits);
        for j in self.jobs.values_mut().filter(|j| j.evidence == Evidence::Unread) {
            j.evidence = read;
        }
        self.settle();
    }

    /// Takes a job's record from the store, unless the job's end is known: an end is never taken back. `fresh` if this process has just written it and it
    /// can't have been started before.
    pub fn insert(
        &mut self,
        raw: Value,
        spec: JobSpec,
        accepted_wall: Micros,
        done: Ranges,
        store_version: u64,
        fresh: bool,
    ) {
        let mut spec = spec;
        if self.guaranteed.contains_key(&spec.team) {
            spec.priority += GUARANTEED;
        }
        let id = spec.id.clone();
        // Guards against a live record that was read, or written, before the end: its answer may come after that of the end.
        if self.finals.contains_key(&id) {
            return;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.store_version = j.store_version.max(store_version);
            j.verify = false;
            return;
        }
        let job = Job {
            accepted_wall,
            store_version,
            evidence: match (fresh, self.loaded, self.of_epoch) {
                (true, ..) => Evidence::Complete,
                (_, false, _) => Evidence::Unread,
                (_, _, Some(d)) if self.doubts.is_open(d) => Evidence::Waits(d),
                _ => Evidence::Complete,
            },
            durable: done.clone(),
            done,
            placed: BTreeMap::new(),
            gang: None,
            starts: 0,
            not_before: Micros(0),
            ending: None,
            writing: false,
            verify: false,
            next_write: Micros(0),
            next_progress: Micros(0),
            withdrawal: cancellation::Cancellation::default(),
            waits_for: spec.follows.iter().cloned().collect(),
            hold: Hold::of(&spec, &raw),
            due: None,
            released_wall: dependencies::released_at(&raw),
            rank: spec.priority,
            keeps: Vec::new(),
            footing: if self.guaranteed.contains_key(&spec.team) {
                QuotaTier::Unknown
            } else {
                QuotaTier::Unpromised
            },
            spec,
            raw,
        };
        self.jobs.insert(id.clone(), job);
        // All its tasks may be done on record.
        self.endings.changed(&id);
        self.vouching.jobs_changed = true;
        self.note_waiting(&id);
        self.replan = true;
    }

    pub(super) fn settle(&mut self) {
        for j in self.jobs.values_mut() {
            if matches!(j.evidence, Evidence::Waits(d) if !self.doubts.is_open(d)) {
                j.evidence = Evidence::Complete;
                self.vouching.jobs_changed = true;
                self.replan = true;
            }
        }
    }
}
