//! Admission of starts: what jobs' leaders want of the tasks on our machines.
//!
//! A start is decided on once, accepted or refused, since its job's leader may have placed the task elsewhere after a
//! refusal. What a leader says is never acted on for a job that another leads.

use super::*;

impl MachineShard {
    /// Applies what the leader `from` wants of its jobs' tasks. Returns false for a message that is out of date, or that
    /// builds on one which never came; nothing is changed then.
    pub fn apply_desired_state(
        &mut self,
        now: Micros,
        from: usize,
        state: &DesiredState,
        membership: &Membership,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) -> bool {
        if self
            .owner_revisions
            .get(from)
            .is_none_or(|&held| state.revision <= held || state.base_revision > held)
        {
            return false;
        }
        self.owner_revisions[from] = state.revision;
        if state.base_revision == 0 {
            self.drop_unlisted(from, &state.tasks, membership);
        }
        for (machine, key) in &state.removed {
            self.decided_starts.remove(key);
            if let Some(pending) = self.pending_desired.get_mut(machine) {
                pending.remove(key);
            }
            if membership.job_leader(&key.job) == Some(from) {
                self.drop_start(machine, key);
            }
        }
        for desired in &state.tasks {
            if membership.job_leader(&desired.key.job) == Some(from) {
                self.apply_desired_task(now, from, desired, &capacity);
            }
        }
        true
    }

    /// A whole state came: what it doesn't name is wanted no more.
    fn drop_unlisted(&mut self, from: usize, list: &[DesiredTask], membership: &Membership) {
        let listed: BTreeSet<(&str, &TaskKey)> =
            list.iter().map(|desired| (desired.machine.as_str(), &desired.key)).collect();
        for (name, machine) in &mut self.machines {
            let is_unlisted = |key: &TaskKey| {
                membership.job_leader(&key.job) == Some(from) && !listed.contains(&(name.as_str(), key))
            };
            let before = machine.tasks.len();
            machine.tasks.retain(|key, task| task.may_be_on_machine() || !is_unlisted(key));
            if machine.tasks.len() != before {
                self.changes.record(name, &mut machine.revision);
            }
            for (key, task) in &mut machine.tasks {
                if is_unlisted(key) {
                    task.owner_basis.mark_unnamed(machine.revision);
                }
            }
        }
        for pending in self.pending_desired.values_mut() {
            pending.retain(|key, _| membership.job_leader(&key.job) != Some(from));
        }
        let keys: BTreeSet<&TaskKey> = list.iter().map(|desired| &desired.key).collect();
        self.decided_starts.retain(|key, &mut owner| owner != from || keys.contains(key));
    }

    /// A start that has not gone out is given up; one that has can't be called back by silence.
    fn drop_start(&mut self, name: &str, key: &TaskKey) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        match machine.tasks.get_mut(key) {
            Some(task) if task.may_be_on_machine() => task.owner_basis.mark_unnamed(machine.revision),
            Some(_) => {
                machine.tasks.remove(key);
                self.changes.record(name, &mut machine.revision);
            }
            None => {}
        }
    }

    fn apply_desired_task(
        &mut self,
        now: Micros,
        from: usize,
        desired: &DesiredTask,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) {
        if self.update_task(desired) {
            return;
        }
        if matches!(desired.action, DesiredAction::Hold | DesiredAction::Run) {
            self.decide_start(now, from, desired, capacity);
        } else {
            self.keep_for_first_heartbeat(desired);
        }
    }

    /// Applies what is wanted of a task that its machine has. Returns whether there is one.
    fn update_task(&mut self, desired: &DesiredTask) -> bool {
        let Some(machine) = self.machines.get_mut(&desired.machine) else { return false };
        let Some(task) = machine.tasks.get_mut(&desired.key) else { return false };
        task.apply_desired(desired);
        if task.phase == TaskPhase::Held && desired.action == DesiredAction::Run {
            task.phase = TaskPhase::Queued;
        }
        // A held or queued start that is to be stopped never goes out.
        if !task.may_be_on_machine() && !matches!(desired.action, DesiredAction::Hold | DesiredAction::Run) {
            machine.tasks.remove(&desired.key);
        }
        self.changes.record(&desired.machine, &mut machine.revision);
        true
    }

    /// Keeps what is wanted of a task on a machine that may yet list it: it is said only once, and the machine's first
    /// heartbeat in an epoch may come after it.
    fn keep_for_first_heartbeat(&mut self, desired: &DesiredTask) {
        let is_unconfirmed = |machine: &Machine| machine.inventory == InventoryState::Unconfirmed;
        if self.machines.get(&desired.machine).is_none_or(is_unconfirmed) {
            let pending = self.pending_desired.entry(desired.machine.clone()).or_default();
            pending.insert(desired.key.clone(), desired.clone());
        }
    }

    /// Accepts or refuses a start, once. It is decided here and now, even if the machine isn't known yet: then the answer
    /// is no. The next status may say that the start isn't there, and the job's leader places the task elsewhere, while a
    /// repeat of this very message is still on its way.
    fn decide_start(
        &mut self,
        now: Micros,
        from: usize,
        desired: &DesiredTask,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) {
        if self.decided_starts.contains_key(&desired.key) {
            return;
        }
        self.decided_starts.insert(desired.key.clone(), from);
        let Some(machine) = self.machines.get_mut(&desired.machine) else { return };
        if machine.inventory != InventoryState::Known {
            return;
        }
        let Some(total) = capacity(&machine.record.kind) else { return };
        let has_twin = machine.has_live_start_of(&desired.key);
        let fits = machine.free(total).is_some_and(|free| free.can_hold(desired.resources));
        if !machine.is_schedulable(now, self.silence_limit) || !fits || has_twin {
            tracing::debug!(machine = %desired.machine, job = %desired.key.job, task = desired.key.index, fits, has_twin, "start refused");
            return;
        }
        let phase = if desired.action == DesiredAction::Run { TaskPhase::Queued } else { TaskPhase::Held };
        let mut task = TaskEntry::new(phase, OwnerBasis::new(Some(from), self.changes.revision + 1));
        task.apply_desired(desired);
        machine.tasks.insert(desired.key.clone(), task);
        self.changes.record(&desired.machine, &mut machine.revision);
    }
}

impl Machine {
    /// Whether a start of the same task, of whichever attempt, has not ended. One machine never holds two.
    fn has_live_start_of(&self, wanted: &TaskKey) -> bool {
        self.tasks
            .iter()
            .any(|(key, task)| key.job == wanted.job && key.index == wanted.index && task.is_live())
    }
}
