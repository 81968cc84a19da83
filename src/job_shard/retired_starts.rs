//! Old starts that are still stopping, or that their agents have yet to forget.
//!
//! A task is not started again on a machine, and a zone's count and a team's quota are not freed, before its old start
//! is known to be gone.

use super::JobShard;
use super::assignments::{Assignment, MachineStart, UNSENT};
use crate::peer::{DesiredAction, TaskKey};
use crate::units::{Micros, Resources};
use std::collections::BTreeMap;

/// Names a retired start. Ordered by job, so that a job's are next to one another.
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

    /// The least key that a start of this job may have.
    fn first_of(job: &str) -> RetiredStartKey {
        RetiredStartKey::new(job, 0, "", 0)
    }

    fn task(&self) -> TaskKey {
        TaskKey { job: self.job.clone(), index: self.index, attempt: self.attempt }
    }

    pub(super) fn on_machine(&self) -> MachineStart {
        MachineStart { machine: self.machine.clone(), task: self.task() }
    }

    fn in_job(&self) -> OpenStartKey {
        OpenStartKey { index: self.index, machine: self.machine.clone(), attempt: self.attempt }
    }
}

/// An old start that is stopping or waits to be forgotten.
#[derive(Clone, Debug)]
pub(super) struct RetiredStart {
    pub(super) room: Resources,
    pub(super) priority: u8,
    pub(super) action: DesiredAction,
    /// It may still run.
    pub(super) alive: bool,
    /// The agent is known to have had the command to start it.
    pub(super) arrived: bool,
    /// It completed: the agent may forget it once that is on record.
    pub(super) done: bool,
    /// The first message to the machine's leader that named it; `UNSENT` before that.
    pub(super) first_revision: u64,
}

/// How a start retires.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retirement {
    pub(super) room: Resources,
    pub(super) action: DesiredAction,
    /// It may still run.
    pub(super) alive: bool,
    /// It completed.
    pub(super) done: bool,
}

impl Retirement {
    /// It is stopped without time to save.
    pub(super) fn stopped(room: Resources) -> Retirement {
        Retirement { room, action: DesiredAction::Stop(Micros(0)), alive: true, done: false }
    }
}

/// Names an open start within its job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OpenStartKey {
    pub(super) index: u32,
    pub(super) machine: String,
    pub(super) attempt: u64,
}

/// A retired start that still matters to placement.
#[derive(Clone, Debug)]
pub(super) struct OpenStart {
    /// It may still run.
    pub(super) alive: bool,
    pub(super) zone: String,
}

/// All retired starts of a shard, by start, by job and by machine.
#[derive(Debug, Default)]
pub(super) struct RetiredStarts {
    starts: BTreeMap<RetiredStartKey, RetiredStart>,
    /// By job, those that matter to placement: alive, or ended without completing. Completed ones wait in hundreds
    /// for their record, and are passed over here.
    open: BTreeMap<String, BTreeMap<OpenStartKey, OpenStart>>,
    /// By machine, and whether each is alive.
    by_machine: BTreeMap<String, BTreeMap<TaskKey, bool>>,
}

impl RetiredStarts {
    fn insert(&mut self, key: RetiredStartKey, start: RetiredStart, zone: &str) {
        let alive = start.alive;
        if alive || !start.done {
            let open = self.open.entry(key.job.clone()).or_default();
            open.insert(key.in_job(), OpenStart { alive, zone: zone.to_owned() });
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

    /// A job's starts, by task.
    pub(super) fn of_job(&self, id: &str) -> impl Iterator<Item = (&RetiredStartKey, &RetiredStart)> {
        self.starts.range(RetiredStartKey::first_of(id)..).take_while(move |(key, _)| key.job == id)
    }

    /// A job's starts, by task.
    pub(super) fn of_job_mut(
        &mut self,
        id: &str,
    ) -> impl Iterator<Item = (&RetiredStartKey, &mut RetiredStart)> {
        self.starts.range_mut(RetiredStartKey::first_of(id)..).take_while(move |(key, _)| key.job == id)
    }

    /// A job's starts that matter to placement.
    pub(super) fn open_of(&self, id: &str) -> impl Iterator<Item = (&OpenStartKey, &OpenStart)> {
        self.open.get(id).into_iter().flatten()
    }

    /// A job's starts that may still run.
    pub(super) fn alive_of(&self, id: &str) -> impl Iterator<Item = (&OpenStartKey, &OpenStart)> {
        self.open_of(id).filter(|(_, start)| start.alive)
    }

    /// The zone of a start that may still run.
    pub(super) fn zone_if_alive(&self, start: &MachineStart) -> Option<&String> {
        let key = OpenStartKey {
            index: start.task.index,
            machine: start.machine.clone(),
            attempt: start.task.attempt,
        };
        let open = self.open.get(&start.task.job)?.get(&key)?;
        open.alive.then_some(&open.zone)
    }

    /// The starts on a machine, and whether each may still run.
    pub(super) fn on_machine(&self, machine: &str) -> impl Iterator<Item = (&TaskKey, bool)> {
        self.by_machine.get(machine).into_iter().flatten().map(|(task, alive)| (task, *alive))
    }

    pub(super) fn is_on_machine(&self, machine: &str, task: &TaskKey) -> bool {
        self.by_machine.get(machine).is_some_and(|tasks| tasks.contains_key(task))
    }

    /// Machines that have any.
    pub(super) fn machines(&self) -> impl Iterator<Item = &String> {
        self.by_machine.keys()
    }

    /// Removes a start that is certainly gone. Returns whether there was one.
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
        self.close(key);
        true
    }

    /// A start matters to placement no more.
    pub(super) fn close(&mut self, key: &RetiredStartKey) {
        if let Some(open) = self.open.get_mut(&key.job) {
            open.remove(&key.in_job());
            if open.is_empty() {
                self.open.remove(&key.job);
            }
        }
    }

    /// A start on its machine has ended; it stays until its agent has forgotten it.
    pub(super) fn mark_ended_on_machine(&mut self, key: &RetiredStartKey) {
        if let Some(tasks) = self.by_machine.get_mut(&key.machine) {
            tasks.insert(key.task(), false);
        }
    }

    /// A start that did not complete has ended.
    pub(super) fn mark_ended_in_job(&mut self, key: &RetiredStartKey) {
        if let Some(open) = self.open.get_mut(&key.job)
            && let Some(start) = open.get_mut(&key.in_job())
        {
            start.alive = false;
        }
    }

    /// A new epoch: only starts of jobs that `stays` names are kept, and all are named anew to the machines' leaders.
    pub(super) fn adopt_epoch(&mut self, stays: impl Fn(&str) -> bool) {
        self.starts.retain(|key, _| stays(&key.job));
        self.open.retain(|id, _| stays(id));
        self.by_machine.clear();
        for (key, start) in &mut self.starts {
            start.first_revision = UNSENT;
            self.by_machine.entry(key.machine.clone()).or_default().insert(key.task(), start.alive);
        }
    }
}

impl JobShard {
    /// Keeps an old start in mind until it is gone from its machine.
    pub(super) fn retire_start(&mut self, id: &str, index: u32, assignment: &Assignment, how: Retirement) {
        let key = RetiredStartKey::new(id, index, &assignment.machine, assignment.attempt);
        let start = RetiredStart {
            room: how.room,
            priority: self.jobs.get(id).map_or(0, |job| job.spec.priority),
            action: how.action,
            alive: how.alive,
            arrived: assignment.has_arrived(),
            done: how.done,
            first_revision: UNSENT,
        };
        self.retired_starts.insert(key, start, &assignment.zone);
        self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
    }

    /// A retired start is gone from its machine.
    pub(super) fn forget_retired_start(&mut self, key: &RetiredStartKey) {
        if self.retired_starts.remove(key) {
            self.delivery.mark_changed(&key.machine, &key.job, key.index, key.attempt);
            self.replan = true;
        }
    }
}
