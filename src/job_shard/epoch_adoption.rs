//! What becomes of jobs when the membership epoch changes, and how records are loaded in the new one.

use super::*;

impl JobShard {
    /// Takes up a new epoch. Jobs stay only if the epoch follows directly: otherwise another may
    /// have owned them in between. Placed starts stay in doubt until their home has spoken.
    pub fn adopt(&mut self, m: &Membership, follows: bool) {
        self.loaded = false;
        self.older_epochs_silent_at = m.older_silent_at();
        let failures = &mut self.failures;
        self.jobs.retain(|id, _| {
            let stays = follows && m.job_leader(id) == Some(m.me);
            if !stays {
                failures.forget(id);
            }
            stays
        });
        self.keep_waiting();
        self.end_queue.keep(&self.jobs);
        self.retired_starts.retain(|(id, ..), _| follows && m.job_leader(id) == Some(m.me));
        self.outcomes.clear();
        self.outcome_order.clear();
        for j in self.jobs.values_mut() {
            j.write_in_flight = false;
            j.needs_reread = true;
            if j.start_knowledge == StartKnowledge::AwaitsEpochCheck {
                j.start_knowledge = StartKnowledge::RecordsUnread;
            }
            j.cancellation.anew();
            for p in j.assignments.values_mut() {
                p.first_revision = u64::MAX;
            }
        }
        for l in self.retired_starts.values_mut() {
            l.first_revision = u64::MAX;
        }
        let jobs = &self.jobs;
        for set in self.assigned_by_machine.values_mut() {
            set.retain(|(id, _)| jobs.contains_key(id));
        }
        self.assigned_by_machine.retain(|_, s| !s.is_empty());
        self.retired_by_machine.clear();
        self.open_retired_starts.retain(|id, _| follows && m.job_leader(id) == Some(m.me));
        for ((id, idx, machine, attempt), l) in &self.retired_starts {
            self.retired_by_machine.entry(machine.clone()).or_default().insert((id.clone(), *idx, *attempt), l.alive);
        }
        // The first message to each home of the new epoch holds everything.
        self.changed_starts.clear();
        self.unacknowledged.fill(BTreeMap::new());
        for v in &mut self.views {
            v.forget_awaited();
        }
        for (id, j) in &self.jobs {
            for (&index, p) in &j.assignments {
                let key = TaskKey { job: id.clone(), index, attempt: p.attempt };
                self.changed_starts.insert((p.machine.clone(), key));
            }
        }
        for (id, index, machine, attempt) in self.retired_starts.keys() {
            let key = TaskKey { job: id.clone(), index: *index, attempt: *attempt };
            self.changed_starts.insert((machine.clone(), key));
        }
        // Message numbers never go back, not even over a restart, since the epoch is their head.
        for r in &mut self.revisions {
            *r = (*r).max(m.epoch << 32);
        }
        self.unconfirmed_machines.clear();
        self.set_of_epoch = None;
        self.start_replication = start_replication::StartReplication::default();
        self.awaiting_epoch_check.clear();
        let used = self.jobs.values().filter_map(|j| match j.start_knowledge {
            StartKnowledge::AwaitsMachines(d) => Some(d),
            _ => None,
        });
        self.unresolved_sets.keep(&used.collect());
        self.has_changes.fill(true);
        self.loans.anew();
        self.demands.clear();
        self.unresolved_demand = unresolved_starts::UnresolvedDemand::default();
        self.peer_reservations.inherit(&std::mem::take(&mut self.reservations));
    }

    /// The records were read: `machines` are those that may hold tasks.
    pub fn load_done(&mut self, machines: impl Iterator<Item = String>) {
        self.unconfirmed_machines = machines.collect();
        self.loaded = true;
        self.replan = true;
        self.has_changes.fill(true);
        self.unresolved_sets.on_record(&self.unconfirmed_machines);
        self.set_of_epoch = self.unresolved_sets.open(self.unconfirmed_machines.clone());
        self.start_replication.jobs_changed = true;
        let read = self.set_of_epoch.map_or(StartKnowledge::Complete, StartKnowledge::AwaitsMachines);
        for j in self.jobs.values_mut().filter(|j| j.start_knowledge == StartKnowledge::RecordsUnread) {
            j.start_knowledge = read;
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
        if self.guarantees.contains_key(&spec.team) {
            spec.priority += GUARANTEED;
        }
        let id = spec.id.clone();
        // Guards against a live record that was read, or written, before the end: its answer may come after that of the end.
        if self.outcomes.contains_key(&id) {
            return;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.store_version = j.store_version.max(store_version);
            j.needs_reread = false;
            return;
        }
        let job = Job {
            accepted_wall,
            store_version,
            start_knowledge: match (fresh, self.loaded, self.set_of_epoch) {
                (true, ..) => StartKnowledge::Complete,
                (_, false, _) => StartKnowledge::RecordsUnread,
                (_, _, Some(d)) if self.unresolved_sets.is_open(d) => StartKnowledge::AwaitsMachines(d),
                _ => StartKnowledge::Complete,
            },
            recorded: done.clone(),
            done,
            assignments: BTreeMap::new(),
            gang: None,
            start_count: 0,
            not_before: Micros(0),
            pending_outcome: None,
            write_in_flight: false,
            needs_reread: false,
            next_write: Micros(0),
            next_progress: Micros(0),
            cancellation: cancellation::Cancellation::default(),
            prerequisites: spec.follows.iter().cloned().collect(),
            hold: Hold::of(&spec, &raw),
            release_due: None,
            released_wall: dependencies::released_at(&raw),
            own_priority: spec.priority,
            reserved_machines: Vec::new(),
            quota_tier: if self.guarantees.contains_key(&spec.team) {
                QuotaTier::Unknown
            } else {
                QuotaTier::Unpromised
            },
            spec,
            raw,
        };
        self.jobs.insert(id.clone(), job);
        // All its tasks may be done on record.
        self.end_queue.changed(&id);
        self.start_replication.jobs_changed = true;
        self.note_waiting(&id);
        self.replan = true;
    }

    pub(super) fn settle(&mut self) {
        for j in self.jobs.values_mut() {
            if matches!(j.start_knowledge, StartKnowledge::AwaitsMachines(d) if !self.unresolved_sets.is_open(d)) {
                j.start_knowledge = StartKnowledge::Complete;
                self.start_replication.jobs_changed = true;
                self.replan = true;
            }
        }
    }
}
