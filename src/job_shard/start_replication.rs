//! Starts of our jobs on machines of our own: what only this process knows, replicated before it takes effect, and what
//! a new leader makes of the replicas.
//!
//! A start that another leader of machines carries out is known to two. One that its leader carries out itself would be
//! lost with it, and its successor would have to ask every machine. See `docs/takeovers.md`.

use super::JobShard;
use super::assignments::MachineStart;
use super::job::{Job, StartKnowledge};
use crate::peer::{ReplicatedItem, StartHandoff, TaskKey};
use crate::units::Micros;
use hazelsaddle_cluster::hash_ring::Ring;
use hazelsaddle_failover::unresolved::UnresolvedSetId;
use std::collections::{BTreeMap, BTreeSet};

/// What the replicas have been told.
pub(super) struct StartReplication {
    /// Starts on machines of our own that may have changed.
    pub(super) changed: BTreeSet<MachineStart>,
    /// Those that were last replicated, with their zones.
    starts: BTreeMap<MachineStart, String>,
    /// The jobs that were last replicated as having all their starts known.
    jobs: BTreeSet<String>,
    /// What is known of jobs has changed, or which there are.
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
    /// What has changed since this was last called, of starts on our own machines that may be alive and of jobs whose
    /// starts are all known: each item, and whether it is there.
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

    /// The zone of a start that may be alive.
    fn zone_of_start(&self, start: &MachineStart) -> Option<&String> {
        let assignment =
            self.jobs.get(&start.task.job).and_then(|job| job.assignments.get(&start.task.index));
        match assignment.filter(|assignment| assignment.is_start(&start.machine, start.task.attempt)) {
            Some(assignment) => Some(&assignment.zone),
            None => self.retired_starts.zone_if_alive(start),
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

    /// The item for a start on one of our own machines, if it was replicated.
    pub fn replicated_start(&self, machine: &str, key: &TaskKey) -> Option<ReplicatedItem> {
        let start = MachineStart { machine: machine.to_owned(), task: key.clone() };
        Some(replicated_item(&start, self.start_replication.starts.get(&start)?))
    }

    /// All replicas of a controller `of` that is gone have answered with `items`: the jobs whose starts it knew, of those
    /// that it led by all `rings` that this rests on, need not wait for the machines that it led by all of them. Returns
    /// how many jobs that helped.
    pub fn apply_start_replicas(
        &mut self,
        now: Micros,
        of: usize,
        rings: &[Ring],
        items: &BTreeSet<ReplicatedItem>,
    ) -> usize {
        let was_led =
            |class: &str, name: &str| rings.iter().all(|ring| ring.owner_of(class, name) == Some(of));
        let mut starts = starts_by_job(items);
        let mut narrowed: BTreeMap<UnresolvedSetId, StartKnowledge> = BTreeMap::new();
        let mut helped = 0;
        for item in items {
            let ReplicatedItem::Job(id) = item else { continue };
            if !was_led("job/", id) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let StartKnowledge::AwaitsMachines(set) = job.start_knowledge else { continue };
            let sets = &mut self.unresolved_sets;
            job.start_knowledge = *narrowed.entry(set).or_insert_with(|| {
                let others = sets.machines(set).filter(|machine| !was_led("machine/", machine));
                let others: BTreeSet<String> = others.cloned().collect();
                sets.open(others).map_or(StartKnowledge::Complete, StartKnowledge::AwaitsMachines)
            });
            self.start_replication.jobs_changed = true;
            helped += 1;
            let tasks = job.spec.task_count;
            for start in starts.remove(id.as_str()).unwrap_or_default() {
                if start.index < tasks {
                    self.take_start(now, id, start);
                }
            }
        }
        self.replan = true;
        helped
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
