//! Jobs of an owner on machines of its own: what only this process knows, told to witnesses before it has effect, and what
//! a new owner makes of their word.
//!
//! A start that another home carries out is known to two. One that its owner carries out itself would be lost with it, and
//! its successor would have to ask every machine. See `docs/takeovers.md`.

use super::*;
use crate::peer::{ReplicatedItem, StartHandoff};
use hazelsaddle_cluster::hash_ring::Ring;

/// What the witnesses are told.
pub(super) struct StartReplication {
    /// Starts on machines of our own that may have changed.
    pub(super) changed_starts: BTreeSet<Key>,
    /// Those that were last told of, with their zones, and the jobs that we last vouched for.
    starts: BTreeMap<Key, String>,
    jobs: BTreeSet<String>,
    /// What is known of jobs has changed, or which there are.
    pub(super) jobs_changed: bool,
}

impl Default for StartReplication {
    fn default() -> Self {
        StartReplication {
            changed_starts: BTreeSet::new(),
            starts: BTreeMap::new(),
            jobs: BTreeSet::new(),
            jobs_changed: true,
        }
    }
}

impl JobShard {
    /// What has changed since this was last asked, of starts on our own machines that may be alive and of jobs whose
    /// starts are all known: each item, and whether it is there.
    pub fn vouch_changes(&mut self) -> Vec<(ReplicatedItem, bool)> {
        let mut out = Vec::new();
        for key in std::mem::take(&mut self.start_replication.changed_starts) {
            let (machine, k) = &key;
            let placed = self.jobs.get(&k.job).and_then(|j| j.assignments.get(&k.index));
            let placed = placed.filter(|p| p.attempt == k.attempt && p.machine == *machine);
            let left = (k.index, machine.clone(), k.attempt);
            let open = self.open_retired_starts.get(&k.job).and_then(|o| o.get(&left));
            let zone = placed.map(|p| &p.zone).or(open.filter(|(alive, _)| *alive).map(|(_, zone)| zone));
            let item = |zone: &String| ReplicatedItem::Start {
                key: k.clone(),
                machine: machine.clone(),
                zone: zone.clone(),
            };
            match (zone, self.start_replication.starts.get(&key)) {
                (Some(zone), None) => {
                    out.push((item(zone), true));
                    self.start_replication.starts.insert(key.clone(), zone.clone());
                }
                (None, Some(zone)) => {
                    out.push((item(zone), false));
                    self.start_replication.starts.remove(&key);
                }
                _ => {}
            }
        }
        if !std::mem::take(&mut self.start_replication.jobs_changed) {
            return out;
        }
        let settled = |id: &String| self.jobs.get(id).is_some_and(Job::settled);
        let gone: Vec<String> = self.start_replication.jobs.iter().filter(|id| !settled(id)).cloned().collect();
        for id in gone {
            self.start_replication.jobs.remove(&id);
            out.push((ReplicatedItem::Job(id), false));
        }
        for (id, _) in self.jobs.iter().filter(|(_, j)| j.settled()) {
            if !self.start_replication.jobs.contains(id) {
                self.start_replication.jobs.insert(id.clone());
                out.push((ReplicatedItem::Job(id.clone()), true));
            }
        }
        out
    }

    /// The item for a start on one of our own machines, if it was told of.
    pub fn vouched(&self, machine: &str, key: &crate::peer::TaskKey) -> Option<ReplicatedItem> {
        let key = (machine.to_owned(), key.clone());
        let zone = self.start_replication.starts.get(&key)?.clone();
        Some(ReplicatedItem::Start { key: key.1, machine: key.0, zone })
    }

    /// All witnesses of a controller that is there no more have spoken: the jobs that it vouched for, of those that were
    /// its by all `rings` that this rests on, need not wait for the machines whose home it was by all of them. Returns
    /// how many jobs that helped.
    pub fn witnessed(
        &mut self,
        now: Micros,
        of: usize,
        rings: &[Ring],
        items: &BTreeSet<ReplicatedItem>,
    ) -> usize {
        let its = |class: &str, name: &str| rings.iter().all(|r| r.owner_of(class, name) == Some(of));
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
        let mut narrowed: BTreeMap<UnresolvedSetId, StartKnowledge> = BTreeMap::new();
        let mut helped = 0;
        let theirs: Vec<String> = items
            .iter()
            .filter_map(|i| match i {
                ReplicatedItem::Job(id) if its("job/", id) => Some(id.clone()),
                _ => None,
            })
            .collect();
        for id in theirs {
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            let StartKnowledge::AwaitsMachines(d) = j.start_knowledge else { continue };
            let doubts = &mut self.unresolved_sets;
            let evidence = *narrowed.entry(d).or_insert_with(|| {
                let others = doubts.machines(d).filter(|m| !its("machine/", m));
                let others: BTreeSet<String> = others.cloned().collect();
                doubts.open(others).map_or(StartKnowledge::Complete, StartKnowledge::AwaitsMachines)
            });
            j.start_knowledge = evidence;
            self.start_replication.jobs_changed = true;
            helped += 1;
            let (tasks, gang) = (j.spec.tasks, j.spec.kind == JobKind::Gang);
            for s in starts.remove(id.as_str()).unwrap_or_default() {
                if s.index < tasks {
                    self.take_start(now, &id, s, gang);
                }
            }
        }
        self.replan = true;
        helped
    }
}
