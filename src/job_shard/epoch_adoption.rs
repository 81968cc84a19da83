//! Handling of jobs when the membership epoch changes, and loading of records in the new epoch.

use super::JobShard;
use super::assignments::{MachineStart, UNSENT};
use super::cancellation::Cancellation;
use super::dependencies::{self, Hold};
use super::job::{Job, StartKnowledge};
use super::start_replication::StartReplication;
use super::unresolved_starts::UnresolvedDemand;
use crate::membership::Membership;
use crate::quota::tier::QuotaTier;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobSpec};
use crate::units::{Micros, TaskIndexSet};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

impl Job {
    /// Creates a job from its record.
    fn from_record(
        raw_spec: Value,
        spec: JobSpec,
        accepted_wall: Micros,
        done: TaskIndexSet,
        store_version: u64,
    ) -> Job {
        Job {
            accepted_wall,
            store_version,
            start_knowledge: StartKnowledge::RecordsUnread,
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
            cancellation: Cancellation::default(),
            unfinished_dependencies: spec.dependencies.iter().cloned().collect(),
            orphaned_after: None,
            was_accepted_here: false,
            hold: Hold::of(&spec, &raw_spec),
            release_due: None,
            released_wall: dependencies::released_at(&raw_spec),
            own_priority: spec.priority,
            reserved_machines: Vec::new(),
            quota_tier: QuotaTier::NoGuarantee,
            spec,
            raw_spec,
        }
    }

    /// Prepares the job for a new epoch: its record may have changed, and the machines' leaders have not been
    /// sent anything in this epoch.
    fn adopt_epoch(&mut self) {
        self.write_in_flight = false;
        self.needs_reread = true;
        if self.start_knowledge == StartKnowledge::AwaitsEpochCheck {
            self.start_knowledge = StartKnowledge::RecordsUnread;
        }
        self.cancellation.adopt_epoch();
        for assignment in self.assignments.values_mut() {
            assignment.first_revision = UNSENT;
        }
    }
}

impl JobShard {
    /// Adopts a new epoch. Jobs are kept only if `is_next_epoch` is true, i.e. the epoch directly succeeds the
    /// previous one; otherwise another controller may have led them in between. Nothing is placed before
    /// `finish_loading`.
    pub fn adopt_epoch(&mut self, membership: &Membership, is_next_epoch: bool) {
        self.loaded = false;
        self.older_epochs_stopped_at = membership.older_leaders_stopped_at();
        let is_kept = |id: &str| is_next_epoch && membership.job_leader(id) == Some(membership.me);
        let failures = &mut self.failures;
        self.jobs.retain(|id, _| {
            if !is_kept(id) {
                failures.forget(id);
            }
            is_kept(id)
        });
        self.retain_dependents(membership);
        self.end_queue.retain_live(&self.jobs);
        self.outcomes.clear();
        self.jobs.values_mut().for_each(Job::adopt_epoch);
        let jobs = &self.jobs;
        for tasks in self.assigned_by_machine.values_mut() {
            tasks.retain(|(id, _)| jobs.contains_key(id));
        }
        self.assigned_by_machine.retain(|_, tasks| !tasks.is_empty());
        self.retired_starts.adopt_epoch(is_kept);
        self.delivery.adopt_epoch(membership.epoch, self.all_attempts());
        for view in &mut self.views {
            view.clear_start_requests();
        }
        self.unconfirmed_machines.clear();
        self.set_of_epoch = None;
        self.start_replication = StartReplication::default();
        self.awaiting_epoch_check.clear();
        self.drop_unused_sets();
        self.loans.adopt_epoch();
        self.demands.clear();
        self.unresolved_demand = UnresolvedDemand::default();
        self.peer_reservations.inherit(&std::mem::take(&mut self.reservations));
    }

    /// All attempts that a machine leader may know of.
    fn all_attempts(&self) -> BTreeSet<MachineStart> {
        let assigned = self.jobs.iter().flat_map(|(id, job)| {
            let start = |(&index, assignment): (&u32, &super::assignments::Assignment)| {
                MachineStart::new(&assignment.machine, id, index, assignment.attempt)
            };
            job.assignments.iter().map(start)
        });
        assigned.chain(self.retired_starts.keys().map(|key| key.on_machine())).collect()
    }

    /// Drops the sets of machines that no job waits for.
    fn drop_unused_sets(&mut self) {
        let used = self.jobs.values().filter_map(|job| match job.start_knowledge {
            StartKnowledge::AwaitsMachines(set) => Some(set),
            _ => None,
        });
        self.unresolved_sets.retain_used(&used.collect());
    }

    /// Completes loading after all records were read. `machines` are those that may run tasks.
    pub fn finish_loading(&mut self, machines: impl Iterator<Item = String>) {
        self.unconfirmed_machines = machines.collect();
        self.loaded = true;
        self.replan = true;
        self.delivery.send_to_all();
        self.unresolved_sets.retain_registered(&self.unconfirmed_machines);
        self.set_of_epoch = self.unresolved_sets.open(self.unconfirmed_machines.clone());
        self.start_replication.jobs_changed = true;
        let read = self.set_of_epoch.map_or(StartKnowledge::Complete, StartKnowledge::AwaitsMachines);
        for job in self.jobs.values_mut().filter(|job| job.start_knowledge == StartKnowledge::RecordsUnread) {
            job.start_knowledge = read;
        }
        self.resolve_start_knowledge();
    }

    /// Inserts a job from its record, unless the job's outcome is known, since an outcome is final. `fresh`
    /// means that this process has just written the record, so that the job cannot have been started before.
    /// For a job that is already known only the version of the record is updated.
    pub fn insert_job(
        &mut self,
        raw_spec: Value,
        mut spec: JobSpec,
        accepted_wall: Micros,
        done: TaskIndexSet,
        store_version: u64,
        fresh: bool,
    ) {
        let has_guarantee = self.guarantees.contains_key(&spec.team);
        if has_guarantee {
            spec.priority += GUARANTEED_PRIORITY_BONUS;
        }
        let id = spec.id.clone();
        // Guards against a live record that was read or written before the final one: its response may arrive
        // after that of the final record.
        if self.outcomes.contains(&id) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.store_version = job.store_version.max(store_version);
            job.needs_reread = false;
            return;
        }
        let mut job = Job::from_record(raw_spec, spec, accepted_wall, done, store_version);
        job.start_knowledge = self.initial_start_knowledge(fresh);
        job.was_accepted_here = fresh;
        if has_guarantee {
            job.quota_tier = QuotaTier::Unknown;
        }
        self.jobs.insert(id.clone(), job);
        // All its tasks may already be recorded as done.
        self.end_queue.mark_changed(&id);
        self.start_replication.jobs_changed = true;
        self.register_dependencies(&id);
        self.replan = true;
    }

    fn initial_start_knowledge(&self, fresh: bool) -> StartKnowledge {
        match (fresh, self.loaded, self.set_of_epoch) {
            (true, ..) => StartKnowledge::Complete,
            (_, false, _) => StartKnowledge::RecordsUnread,
            (_, _, Some(set)) if self.unresolved_sets.is_open(set) => StartKnowledge::AwaitsMachines(set),
            _ => StartKnowledge::Complete,
        }
    }

    /// Marks jobs as fully known once all their machines have reported.
    pub(super) fn resolve_start_knowledge(&mut self) {
        for job in self.jobs.values_mut() {
            let StartKnowledge::AwaitsMachines(set) = job.start_knowledge else { continue };
            if !self.unresolved_sets.is_open(set) {
                job.start_knowledge = StartKnowledge::Complete;
                self.start_replication.jobs_changed = true;
                self.replan = true;
            }
        }
    }
}
