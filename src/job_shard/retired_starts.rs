//! Retired attempts: those that are still stopping, or that their workers have yet to forget.
//!
//! Until an old attempt is known to be gone, its task is not started again on that machine, and it counts in
//! its zone and towards its team's quota.

use super::JobShard;
use super::assignments::{Assignment, MachineStart, UNSENT};
use crate::peer::{DesiredAction, TaskKey};
use crate::units::{Micros, Resources};
use std::collections::BTreeMap;

/// Identifies a retired attempt. Ordered by job, so that the attempts of a job are adjacent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RetiredStartKey {
    pub(super) job: String,
    pub(super) index: u32,
    pub(super) machine: String,
    pub(super) attempt: u64,
}

impl RetiredStartKey {
    pub(super) fn new(job: &str, index: u32, machine: &str, attempt: u64) -> RetiredStartKey {
        RetiredStartKey { job: job.to_owned(), index, machine: machine.to_owned(), attempt }
    }

    /// The least key that an attempt of this job can have.
    fn first_of(job: &str) -> RetiredStartKey {
        RetiredStartKey::new(job, 0, "", 0)
    }

    fn task(&self) -> TaskKey {
        TaskKey { job: self.job.clone(), index: self.index, attempt: self.attempt }
    }

    pub(super) fn on_machine(&self) -> MachineStart {
        MachineStart { machine: self.machine.clone(), task: self.task() }
    }

    fn in_job(&self) -> BlockingStartKey {
        BlockingStartKey { index: self.index, machine: self.machine.clone(), attempt: self.attempt }
    }
}

/// An old attempt that is stopping or waits to be forgotten.
#[derive(Clone, Debug)]
pub(super) struct RetiredStart {
    pub(super) resources: Resources,
    pub(super) priority: u8,
    pub(super) action: DesiredAction,
    /// Whether it may still be running.
    pub(super) alive: bool,
    /// Whether the worker is known to have received the command to start it.
    pub(super) arrived: bool,
    /// Whether it completed. The worker may forget it once its completion is stored.
    pub(super) done: bool,
    /// Revision of the first message to the machine's leader that contained it; `UNSENT` before that.
    pub(super) first_revision: u64,
}

/// How an attempt retires.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retirement {
    pub(super) resources: Resources,
    pub(super) action: DesiredAction,
    /// Whether it may still be running.
    pub(super) alive: bool,
    /// Whether it completed.
    pub(super) done: bool,
}

impl Retirement {
    /// The attempt is stopped without a grace period.
    pub(super) fn stopped(resources: Resources) -> Retirement {
        Retirement { resources, action: DesiredAction::Stop(Micros(0)), alive: true, done: false }
    }
}

/// Identifies a retired attempt within its job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BlockingStartKey {
    pub(super) index: u32,
    pub(super) machine: String,
    pub(super) attempt: u64,
}

/// A retired attempt that still affects placement.
#[derive(Clone, Debug)]
pub(super) struct BlockingStart {
    /// Whether it may still be running.
    pub(super) alive: bool,
    pub(super) zone: String,
}

/// All retired attempts of a shard, by attempt, by job and by machine.
#[derive(Debug, Default)]
pub(super) struct RetiredStarts {
    starts: BTreeMap<RetiredStartKey, RetiredStart>,
    /// By job, the attempts that affect placement: those that may be running or ended without completing.
    /// Completed attempts, of which hundreds may wait for their record, are left out.
    open: BTreeMap<String, BTreeMap<BlockingStartKey, BlockingStart>>,
    /// By machine, its attempts and whether each may still be running.
    by_machine: BTreeMap<String, BTreeMap<TaskKey, bool>>,
}

impl RetiredStarts {
    fn insert(&mut self, key: RetiredStartKey, start: RetiredStart, zone: &str) {
        let alive = start.alive;
        if alive || !start.done {
            let open = self.open.entry(key.job.clone()).or_default();
            open.insert(key.in_job(), BlockingStart { alive, zone: zone.to_owned() });
        }
        self.by_machine.entry(key.machine.clone()).or_default().insert(key.task(), alive);
        self.starts.insert(key, start);
    }

    pub(super) fn get(&self, key: &RetiredStartKey) -> Option<&RetiredStart> {
        self.starts.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &RetiredStartKey) -> Option<&mut RetiredStart> {
        self.starts.get_mut(key)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &RetiredStartKey> {
        self.starts.keys()
    }

    /// A job's attempts, by task.
    pub(super) fn attempts_of_job(
        &self,
        id: &str,
    ) -> impl Iterator<Item = (&RetiredStartKey, &RetiredStart)> {
        self.starts.range(RetiredStartKey::first_of(id)..).take_while(move |(key, _)| key.job == id)
    }

    /// A job's attempts, by task.
    pub(super) fn attempts_of_job_mut(
        &mut self,
        id: &str,
    ) -> impl Iterator<Item = (&RetiredStartKey, &mut RetiredStart)> {
        self.starts.range_mut(RetiredStartKey::first_of(id)..).take_while(move |(key, _)| key.job == id)
    }

    /// A job's attempts that affect placement.
    pub(super) fn blocking_attempts_of(
        &self,
        id: &str,
    ) -> impl Iterator<Item = (&BlockingStartKey, &BlockingStart)> {
        self.open.get(id).into_iter().flatten()
    }

    /// A job's attempts that may still be running.
    pub(super) fn alive_attempts_of(
        &self,
        id: &str,
    ) -> impl Iterator<Item = (&BlockingStartKey, &BlockingStart)> {
        self.blocking_attempts_of(id).filter(|(_, start)| start.alive)
    }

    /// The zone of an attempt that may still be running.
    pub(super) fn zone_of_alive_attempt(&self, start: &MachineStart) -> Option<&String> {
        let key = BlockingStartKey {
            index: start.task.index,
            machine: start.machine.clone(),
            attempt: start.task.attempt,
        };
        let open = self.open.get(&start.task.job)?.get(&key)?;
        open.alive.then_some(&open.zone)
    }

    /// The attempts on a machine, and whether each may still be running.
    pub(super) fn on_machine(&self, machine: &str) -> impl Iterator<Item = (&TaskKey, bool)> {
        self.by_machine.get(machine).into_iter().flatten().map(|(task, alive)| (task, *alive))
    }

    pub(super) fn is_on_machine(&self, machine: &str, task: &TaskKey) -> bool {
        self.by_machine.get(machine).is_some_and(|tasks| tasks.contains_key(task))
    }

    /// Whether an attempt on a machine has ended, and its worker is not known to have forgotten it.
    pub(super) fn has_ended_on_machine(&self, machine: &str, task: &TaskKey) -> bool {
        self.by_machine.get(machine).and_then(|tasks| tasks.get(task)).is_some_and(|alive| !alive)
    }

    /// Machines that have retired attempts.
    pub(super) fn machines(&self) -> impl Iterator<Item = &String> {
        self.by_machine.keys()
    }

    /// Removes an attempt that is certainly gone. Returns whether it existed.
    fn remove(&mut self, key: &RetiredStartKey) -> bool {
        if self.starts.remove(key).is_none() {
            return false;
        }
        if let Some(tasks) = self.by_machine.get_mut(&key.machine) {
            tasks.remove(&key.task());
            if tasks.is_empty() {
                self.by_machine.remove(&key.machine);
            }
        }
        self.unblock_placement(key);
        true
    }

    /// Marks an attempt as no longer affecting placement.
    pub(super) fn unblock_placement(&mut self, key: &RetiredStartKey) {
        if let Some(open) = self.open.get_mut(&key.job) {
            open.remove(&key.in_job());
            if open.is_empty() {
                self.open.remove(&key.job);
            }
        }
    }

    /// Marks an attempt as ended in the index by machine. It is kept until its worker has forgotten it.
    pub(super) fn mark_ended_in_machine_index(&mut self, key: &RetiredStartKey) {
        if let Some(tasks) = self.by_machine.get_mut(&key.machine) {
            tasks.insert(key.task(), false);
        }
    }

    /// Marks an attempt that did not complete as ended in the index by job.
    pub(super) fn mark_ended_in_job_index(&mut self, key: &RetiredStartKey) {
        if let Some(open) = self.open.get_mut(&key.job)
            && let Some(start) = open.get_mut(&key.in_job())
        {
            start.alive = false;
        }
    }

    /// Adopts a new epoch: only attempts of jobs that `is_kept` selects are kept, and all of them are sent to
    /// the machines' leaders again.
    pub(super) fn adopt_epoch(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.starts.retain(|key, _| is_kept(&key.job));
        self.open.retain(|id, _| is_kept(id));
        self.by_machine.clear();
        for (key, start) in &mut self.starts {
            start.first_revision = UNSENT;
            self.by_machine.entry(key.machine.clone()).or_default().insert(key.task(), start.alive);
        }
    }
}

impl JobShard {
    /// Keeps track of an old attempt until it is gone from its machine.
    pub(super) fn retire_attempt(
        &mut self,
        id: &str,
        index: u32,
        assignment: &Assignment,
        retirement: Retirement,
    ) {
        let key = RetiredStartKey::new(id, index, &assignment.machine, assignment.attempt);
        let start = RetiredStart {
            resources: retirement.resources,
            priority: self.jobs.get(id).map_or(0, |job| job.spec.priority),
            action: retirement.action,
            alive: retirement.alive,
            arrived: assignment.has_arrived(),
            done: retirement.done,
            first_revision: UNSENT,
        };
        self.retired_starts.insert(key, start, &assignment.zone);
        self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
    }

    /// Handles a retired attempt that is gone from its machine.
    pub(super) fn forget_retired_attempt(&mut self, key: &RetiredStartKey) {
        if self.retired_starts.remove(key) {
            self.delivery.mark_changed(&key.machine, &key.job, key.index, key.attempt);
            self.replan = true;
        }
    }
}
