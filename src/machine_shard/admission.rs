//! Admission of task starts: applies the job leaders' desired state to the machines that this controller leads.
//!
//! Each start is accepted or refused only once, since after a refusal its job leader may have placed the task on
//! another machine. A controller's desired state is ignored for jobs that it does not lead.

use super::*;

impl MachineShard {
    /// Applies the desired state of the job leader `from`. Returns false, without changing anything, for a message
    /// that is out of date or builds on one that has not arrived.
    pub fn apply_desired_state(
        &mut self,
        now: Micros,
        from: usize,
        state: &DesiredState,
        membership: &Membership,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) -> bool {
        if self.desired_revisions.get(from).is_none_or(|&held_revision| {
            state.revision <= held_revision || state.base_revision > held_revision
        }) {
            return false;
        }
        self.desired_revisions[from] = state.revision;
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

    /// Applies a full state: starts that it does not list are no longer desired.
    fn drop_unlisted(&mut self, from: usize, list: &[DesiredTask], membership: &Membership) {
        let listed: BTreeSet<(&str, &TaskKey)> =
            list.iter().map(|desired| (desired.machine.as_str(), &desired.key)).collect();
        for (name, machine) in &mut self.machines {
            let is_unlisted = |key: &TaskKey| {
                membership.job_leader(&key.job) == Some(from) && !listed.contains(&(name.as_str(), key))
            };
            let task_count_before = machine.tasks.len();
            machine.tasks.retain(|key, task| task.can_be_on_machine() || !is_unlisted(key));
            if machine.tasks.len() != task_count_before {
                self.changes.record(name, &mut machine.revision);
            }
            for (key, task) in &mut machine.tasks {
                if is_unlisted(key) {
                    task.job_leader_evidence.mark_undesired(machine.revision);
                }
            }
        }
        for pending in self.pending_desired.values_mut() {
            pending.retain(|key, _| membership.job_leader(&key.job) != Some(from));
        }
        let listed_keys: BTreeSet<&TaskKey> = list.iter().map(|desired| &desired.key).collect();
        self.decided_starts.retain(|key, &mut job_leader| job_leader != from || listed_keys.contains(key));
    }

    /// Drops a start that has not been sent. One that was sent cannot be withdrawn by no longer listing it.
    fn drop_start(&mut self, name: &str, key: &TaskKey) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        match machine.tasks.get_mut(key) {
            Some(task) if task.can_be_on_machine() => {
                task.job_leader_evidence.mark_undesired(machine.revision)
            }
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

    /// Applies the desired state to a task that its machine has. Returns whether it has one.
    fn update_task(&mut self, desired: &DesiredTask) -> bool {
        let Some(machine) = self.machines.get_mut(&desired.machine) else { return false };
        let Some(task) = machine.tasks.get_mut(&desired.key) else { return false };
        task.apply_desired(desired);
        if task.phase == TaskPhase::Held && desired.action == DesiredAction::Run {
            task.phase = TaskPhase::Queued;
        }
        // A held or queued start that is to be stopped is never sent.
        if !task.can_be_on_machine() && !matches!(desired.action, DesiredAction::Hold | DesiredAction::Run) {
            machine.tasks.remove(&desired.key);
        }
        self.changes.record(&desired.machine, &mut machine.revision);
        true
    }

    /// Keeps the desired state of a task on a machine that may yet list the task. The job leader sends it only once,
    /// and it may arrive before the machine's first heartbeat in an epoch.
    fn keep_for_first_heartbeat(&mut self, desired: &DesiredTask) {
        let is_unconfirmed = |machine: &Machine| machine.inventory == InventoryState::Unconfirmed;
        if self.machines.get(&desired.machine).is_none_or(is_unconfirmed) {
            let pending = self.pending_desired.entry(desired.machine.clone()).or_default();
            pending.insert(desired.key.clone(), desired.clone());
        }
    }

    /// Accepts or refuses a start, once. The decision is made immediately, even if the machine's task list is not
    /// complete yet: then the start is refused. After the next status, which does not list the start, the job leader
    /// may place the task on another machine while a copy of this message is still under way.
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
        let has_live_attempt = machine.has_live_attempt_of(&desired.key);
        let fits = machine.free(total).is_some_and(|free| free.can_hold(desired.resources));
        if !machine.is_schedulable(now, self.silence_limit) || !fits || has_live_attempt {
            tracing::debug!(machine = %desired.machine, job = %desired.key.job, task = desired.key.index, fits, has_live_attempt, "start refused");
            return;
        }
        let phase = if desired.action == DesiredAction::Run { TaskPhase::Queued } else { TaskPhase::Held };
        let mut task = TaskEntry::new(phase, JobLeaderEvidence::new(Some(from), self.changes.revision + 1));
        task.apply_desired(desired);
        machine.tasks.insert(desired.key.clone(), task);
        self.changes.record(&desired.machine, &mut machine.revision);
    }
}

impl Machine {
    /// Whether any attempt of the same task has not ended. A machine never runs two attempts of a task.
    fn has_live_attempt_of(&self, wanted: &TaskKey) -> bool {
        self.tasks
            .iter()
            .any(|(key, task)| key.job == wanted.job && key.index == wanted.index && task.is_live())
    }
}
