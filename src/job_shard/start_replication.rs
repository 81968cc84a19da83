//! Replication of attempts of this controller's jobs on machines that it leads itself. Only this process
//! knows them, so they are replicated before they take effect. A new leader rebuilds its state from the
//! replicas.
//!
//! An attempt on a machine with another leader is known to two controllers. An attempt on a machine that the
//! job's leader leads itself would be lost with that controller, and its successor would have to query every
//! machine. See `docs/takeovers.md`.

use super::JobShard;
use super::assignments::MachineStart;
use super::job::{Job, StartKnowledge};
use crate::peer::{ReplicatedItem, StartHandoff, TaskKey};
use crate::units::Micros;
use hazelsaddle_cluster::hash_ring::Ring;
use hazelsaddle_failover::unresolved::UnresolvedSetId;
use std::collections::{BTreeMap, BTreeSet};

/// The state that has been sent to the replicas.
pub(super) struct StartReplication {
    /// Attempts on machines led by this controller that may have changed.
    pub(super) changed: BTreeSet<MachineStart>,
    /// Attempts that were last replicated, with their zones.
    starts: BTreeMap<MachineStart, String>,
    /// Jobs that were last replicated as having all their attempts known.
    jobs: BTreeSet<String>,
    /// Whether the set of jobs, or what is known of their attempts, has changed.
    pub(super) jobs_changed: bool,
}

impl Default for StartReplication {
    fn default() -> Self {
        StartReplication {
            changed: BTreeSet::new(),
            starts: BTreeMap::new(),
            jobs: BTreeSet::new(),
            jobs_changed: true,
        }
    }
}

fn replicated_item(start: &MachineStart, zone: &str) -> ReplicatedItem {
    ReplicatedItem::Start { key: start.task.clone(), machine: start.machine.clone(), zone: zone.to_owned() }
}

impl JobShard {
    /// Changes since the last call, of attempts on machines led by this controller that may be running, and
    /// of jobs whose attempts are all known. Each item comes with whether it exists.
    pub fn take_replication_changes(&mut self) -> Vec<(ReplicatedItem, bool)> {
        let mut changes = Vec::new();
        self.add_start_changes(&mut changes);
        if std::mem::take(&mut self.start_replication.jobs_changed) {
            self.add_job_changes(&mut changes);
        }
        changes
    }

    fn add_start_changes(&mut self, changes: &mut Vec<(ReplicatedItem, bool)>) {
        for start in std::mem::take(&mut self.start_replication.changed) {
            let zone = self.zone_of_start(&start).cloned();
            match (zone, self.start_replication.starts.get(&start)) {
                (Some(zone), None) => {
                    changes.push((replicated_item(&start, &zone), true));
                    self.start_replication.starts.insert(start, zone);
                }
                (None, Some(zone)) => {
                    changes.push((replicated_item(&start, zone), false));
                    self.start_replication.starts.remove(&start);
                }
                _ => {}
            }
        }
    }

    /// The zone of an attempt that may be running.
    fn zone_of_start(&self, start: &MachineStart) -> Option<&String> {
        let assignment =
            self.jobs.get(&start.task.job).and_then(|job| job.assignments.get(&start.task.index));
        match assignment.filter(|assignment| assignment.is_attempt(&start.machine, start.task.attempt)) {
            Some(assignment) => Some(&assignment.zone),
            None => self.retired_starts.zone_of_alive_attempt(start),
        }
    }

    fn add_job_changes(&mut self, changes: &mut Vec<(ReplicatedItem, bool)>) {
        let is_known = |id: &String| self.jobs.get(id).is_some_and(Job::has_known_starts);
        let replicated = &mut self.start_replication.jobs;
        let gone: Vec<String> = replicated.iter().filter(|id| !is_known(id)).cloned().collect();
        for id in gone {
            replicated.remove(&id);
            changes.push((ReplicatedItem::Job(id), false));
        }
        for (id, _) in self.jobs.iter().filter(|(_, job)| job.has_known_starts()) {
            if !replicated.contains(id) {
                replicated.insert(id.clone());
                changes.push((ReplicatedItem::Job(id.clone()), true));
            }
        }
    }

    /// The item for an attempt on a machine led by this controller, if it was replicated.
    pub fn replicated_start(&self, machine: &str, key: &TaskKey) -> Option<ReplicatedItem> {
        let start = MachineStart { machine: machine.to_owned(), task: key.clone() };
        Some(replicated_item(&start, self.start_replication.starts.get(&start)?))
    }

    /// Applies `items`, the responses of all replicas of a departed controller `departed`. It knew all attempts of
    /// the listed jobs. Those jobs that it led by every one of the `rings` that the replicas rest on need not
    /// wait for the machines that it also led by all of them. Returns the number of jobs that wait for fewer
    /// machines as a result.
    pub fn apply_start_replicas(
        &mut self,
        now: Micros,
        departed: usize,
        rings: &[Ring],
        items: &BTreeSet<ReplicatedItem>,
    ) -> usize {
        let was_led =
            |class: &str, name: &str| rings.iter().all(|ring| ring.owner_of(class, name) == Some(departed));
        let mut starts = starts_by_job(items);
        let mut narrowed_sets: BTreeMap<UnresolvedSetId, StartKnowledge> = BTreeMap::new();
        let mut narrowed_jobs = 0;
        for item in items {
            let ReplicatedItem::Job(id) = item else { continue };
            if !was_led("job/", id) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let StartKnowledge::AwaitsMachines(set) = job.start_knowledge else { continue };
            let sets = &mut self.unresolved_sets;
            job.start_knowledge = *narrowed_sets.entry(set).or_insert_with(|| {
                let remaining = sets.machines(set).filter(|machine| !was_led("machine/", machine));
                let remaining: BTreeSet<String> = remaining.cloned().collect();
                sets.open(remaining).map_or(StartKnowledge::Complete, StartKnowledge::AwaitsMachines)
            });
            self.start_replication.jobs_changed = true;
            narrowed_jobs += 1;
            let tasks = job.spec.task_count;
            for start in starts.remove(id.as_str()).unwrap_or_default() {
                if start.index < tasks {
                    self.take_over_attempt(now, id, start);
                }
            }
        }
        self.replan = true;
        narrowed_jobs
    }
}

fn starts_by_job(items: &BTreeSet<ReplicatedItem>) -> BTreeMap<&str, Vec<StartHandoff>> {
    let mut starts: BTreeMap<&str, Vec<StartHandoff>> = BTreeMap::new();
    for item in items {
        if let ReplicatedItem::Start { key, machine, zone } = item {
            starts.entry(&key.job).or_default().push(StartHandoff {
                index: key.index,
                attempt: key.attempt,
                machine: machine.clone(),
                zone: zone.clone(),
                stopping: false,
                phase: None,
            });
        }
    }
    starts
}
