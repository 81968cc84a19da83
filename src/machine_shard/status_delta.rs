//! What other controllers are told of our machines: the ones that changed since the state that the receiver holds.

use super::*;

/// Which machines changed, in order, so that a status delta costs as much as what changed since the last and not as much
/// as the fleet.
#[derive(Default)]
pub(super) struct ChangeLog {
    /// Number of the latest change. It never goes back, not even over a restart: the epoch is its head.
    pub(super) revision: u64,
    by_revision: BTreeMap<u64, String>,
    /// Machines whose held response is to be looked at again.
    rechecks: BTreeSet<String>,
}

impl ChangeLog {
    /// Records a change of a machine, whose latest change so far was `revision`.
    pub(super) fn record(&mut self, name: &str, revision: &mut u64) {
        self.by_revision.remove(revision);
        self.revision += 1;
        *revision = self.revision;
        self.by_revision.insert(self.revision, name.to_owned());
        self.rechecks.insert(name.to_owned());
    }

    /// A new epoch: whoever holds nothing of it gets all machines that are recorded from now on.
    pub(super) fn adopt_epoch(&mut self, epoch: u64) {
        self.by_revision.clear();
        self.revision = self.revision.max(epoch << 32);
    }

    /// Forgets a machine whose latest change was `revision`.
    pub(super) fn forget(&mut self, revision: u64) {
        self.by_revision.remove(&revision);
    }

    /// The response held for this machine is to be looked at again.
    pub(super) fn recheck(&mut self, name: &str) {
        self.rechecks.insert(name.to_owned());
    }
}

impl MachineShard {
    /// All machines count as changed: what the types can hold has become known.
    pub fn mark_all_changed(&mut self) {
        for (name, machine) in &mut self.machines {
            self.changes.record(name, &mut machine.revision);
        }
    }

    /// A start on this machine need not be held back any more: a response with it may go out.
    pub fn recheck_response(&mut self, name: &str) {
        self.changes.recheck(name);
    }

    /// The same for all machines.
    pub fn recheck_all_responses(&mut self) {
        self.changes.rechecks.extend(self.machines.keys().cloned());
    }

    /// Machines that changed since this was last called: a response held for one of them may have to go out.
    #[must_use]
    pub fn take_rechecks(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changes.rechecks)
    }

    /// Number of the latest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.changes.revision
    }

    /// The status delta for the controller `to`, which holds the state `acked`: the machines that changed since, with
    /// those tasks whose jobs it leads. One that holds nothing of this epoch gets all machines.
    #[must_use]
    pub fn status_delta(
        &self,
        now: Micros,
        membership: &Membership,
        to: usize,
        acked: u64,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) -> MachineStatusDelta {
        let holds_state = acked > membership.epoch << 32 && acked <= self.changes.revision;
        let since = if holds_state { acked } else { 0 };
        let is_receivers = |key: &TaskKey| membership.job_leader(&key.job) == Some(to);
        let machines = self
            .changes
            .by_revision
            .range(since + 1..)
            .filter_map(|(_, name)| Some((name, self.machines.get(name)?)))
            .map(|(name, machine)| {
                let total = capacity(&machine.record.kind).unwrap_or_default();
                self.machine_status(now, name, machine, total, is_receivers)
            })
            .collect();
        let rev_seen = self.owner_revisions.get(to).copied().unwrap_or(0);
        MachineStatusDelta {
            sequence: self.changes.revision,
            base_sequence: since,
            revision_seen: rev_seen,
            machines,
        }
    }

    fn machine_status(
        &self,
        now: Micros,
        name: &str,
        machine: &Machine,
        total: Resources,
        is_receivers: impl Fn(&TaskKey) -> bool,
    ) -> MachineStatus {
        let free = machine.free(total);
        let open = machine.is_schedulable(now, self.silence_limit)
            && machine.inventory == InventoryState::Known
            && free.is_some();
        let silent = now.since(machine.heard_at);
        MachineStatus {
            name: name.to_owned(),
            machine_type: machine.record.kind.clone(),
            zone: machine.record.zone.clone(),
            spot: machine.record.spot,
            inventory_state: machine.inventory,
            is_schedulable: open,
            time_to_termination: machine.termination_at.map(|at| at.since(now)),
            free: free.unwrap_or_default(),
            total,
            used_by_priority: machine.used_by_priority(),
            images: machine.images.clone(),
            task_count: machine.live_tasks() as u32,
            idle_time: machine.idle_since.filter(|_| machine.tasks.is_empty()).map(|since| now.since(since)),
            silent_time: Some(silent).filter(|&silent| silent >= self.silence_limit),
            tasks: machine
                .tasks
                .iter()
                .filter(|(key, _)| is_receivers(key))
                .map(|(key, task)| ObservedTask { key: key.clone(), phase: task.phase })
                .collect(),
        }
    }
}
