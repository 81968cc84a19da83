//! Starts that were decided on: those that stand, and old ones that are stopping or wait to be forgotten.

use super::*;

/// A start that has been placed.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) machine: String,
    pub(super) zone: String,
    pub(super) attempt: u64,
    pub(super) action: DesiredAction,
    /// The first message to its home that named it; `u64::MAX` before that.
    pub(super) first_revision: u64,
    pub(super) phase: Option<TaskPhase>,
    pub(super) phase_since: Micros,
    /// Taken over while under way: how long it has run is not known.
    pub(super) adopted: bool,
}

/// An old start that is stopping or waits to be forgotten.
#[derive(Clone, Debug)]
pub(super) struct RetiredStart {
    pub(super) room: Resources,
    pub(super) priority: u8,
    pub(super) action: DesiredAction,
    pub(super) alive: bool,
    /// The worker is known to have had it.
    pub(super) reached_agent: bool,
    /// It completed: the worker may forget it once that is on record.
    pub(super) done: bool,
    pub(super) first_revision: u64,
}

/// A job's leftovers by task, machine and attempt: whether each is alive, and its zone.
pub(super) type OpenRetiredStarts = BTreeMap<(u32, String, u64), (bool, String)>;
/// A start on a machine.
pub(super) type Key = (String, TaskKey);
/// Stands for the number of a message that has not gone out yet.
pub(super) const UNSENT: u64 = u64::MAX;

pub(super) fn mark_changed(touched: &mut BTreeSet<Key>, machine: &str, job: &str, index: u32, attempt: u64) {
    touched.insert((machine.to_owned(), TaskKey { job: job.to_owned(), index, attempt }));
}

impl JobShard {
    pub(super) fn unindex(&mut self, machine: &str, id: &str, idx: u32) {
        if let Some(s) = self.assigned_by_machine.get_mut(machine) {
            s.remove(&(id.to_owned(), idx));
            if s.is_empty() {
                self.assigned_by_machine.remove(machine);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn leave(
        &mut self,
        id: &str,
        idx: u32,
        p: &Assignment,
        room: Resources,
        want: DesiredAction,
        alive: bool,
        done: bool,
    ) {
        let key = (id.to_owned(), idx, p.machine.clone(), p.attempt);
        let priority = self.jobs.get(id).map_or(0, |j| j.spec.priority);
        let arrived = p.phase.is_some_and(TaskPhase::arrived);
        let left = RetiredStart { room, priority, action: want, alive, reached_agent: arrived, done, first_revision: UNSENT };
        self.retired_starts.insert(key, left);
        if alive || !done {
            let open = self.open_retired_starts.entry(id.to_owned()).or_default();
            open.insert((idx, p.machine.clone(), p.attempt), (alive, p.zone.clone()));
        }
        self.retired_by_machine.entry(p.machine.clone()).or_default().insert((id.to_owned(), idx, p.attempt), alive);
        mark_changed(&mut self.changed_starts, &p.machine, id, idx, p.attempt);
    }

    pub(super) fn clear_leftover(&mut self, k: &(String, u32, String, u64)) {
        if self.retired_starts.remove(k).is_none() {
            return;
        }
        if let Some(s) = self.retired_by_machine.get_mut(&k.2) {
            s.remove(&(k.0.clone(), k.1, k.3));
            if s.is_empty() {
                self.retired_by_machine.remove(&k.2);
            }
        }
        self.close_leftover(k);
        mark_changed(&mut self.changed_starts, &k.2, &k.0, k.1, k.3);
        self.replan = true;
    }

    pub(super) fn close_leftover(&mut self, k: &(String, u32, String, u64)) {
        if let Some(open) = self.open_retired_starts.get_mut(&k.0) {
            open.remove(&(k.1, k.2.clone(), k.3));
            if open.is_empty() {
                self.open_retired_starts.remove(&k.0);
            }
        }
    }
}
