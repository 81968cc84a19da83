//! Status sent to other controllers: the machines that changed since the revision that the receiver holds.

use super::*;

/// The machines that changed, in order, so that the cost of a status delta depends on the number of changes and not on
/// the number of machines.
#[derive(Default)]
pub(super) struct ChangeLog {
    /// Number of the latest change. It never decreases, not even after a restart: its upper 32 bits are the epoch.
    pub(super) revision: u64,
    by_revision: BTreeMap<u64, String>,
    /// Machines whose held-back response is to be reconsidered.
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

    /// Adopts a new epoch. A receiver that holds nothing of it gets all machines that are recorded from now on.
    pub(super) fn adopt_epoch(&mut self, epoch: u64) {
        self.by_revision.clear();
        self.revision = self.revision.max(epoch << 32);
    }

    /// Removes a machine whose latest change was `revision`.
    pub(super) fn remove(&mut self, revision: u64) {
        self.by_revision.remove(&revision);
    }

    /// Marks a machine whose held-back response is to be reconsidered.
    pub(super) fn recheck(&mut self, name: &str) {
        self.rechecks.insert(name.to_owned());
    }
}

impl MachineShard {
    /// Marks all machines as changed, because the capacities of the machine types have become known.
    pub fn mark_all_changed(&mut self) {
        for (name, machine) in &mut self.machines {
            self.changes.record(name, &mut machine.revision);
        }
    }

    /// Marks a machine whose held-back response may be sent now, since one of its starts can be sent.
    pub fn recheck_response(&mut self, name: &str) {
        self.changes.recheck(name);
    }

    /// Marks all machines like [`MachineShard::recheck_response`].
    pub fn recheck_all_responses(&mut self) {
        self.changes.rechecks.extend(self.machines.keys().cloned());
    }

    /// Returns the machines that changed since the last call. A response held back for one of them may have to be sent.
    #[must_use]
    pub fn take_rechecks(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changes.rechecks)
    }

    /// Returns the number of the latest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.changes.revision
    }

    /// Returns the status delta for the controller `to`, which holds the revision `acked`: the machines that changed
    /// since, with the tasks whose jobs it leads. A controller that holds nothing of this epoch gets all machines.
    #[must_use]
    pub fn status_delta(
        &self,
        now: Micros,
        membership: &Membership,
        to: usize,
        acked: u64,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) -> MachineStatusDelta {
        let has_base = acked > membership.epoch << 32 && acked <= self.changes.revision;
        let since = if has_base { acked } else { 0 };
        let is_led_by_receiver = |key: &TaskKey| membership.job_leader(&key.job) == Some(to);
        let machines = self
            .changes
            .by_revision
            .range(since + 1..)
            .filter_map(|(_, name)| Some((name, self.machines.get(name)?)))
            .map(|(name, machine)| {
                let total = capacity(&machine.record.kind).unwrap_or_default();
                self.machine_status(now, name, machine, total, is_led_by_receiver)
            })
            .collect();
        let desired_revision_seen = self.desired_revisions.get(to).copied().unwrap_or(0);
        MachineStatusDelta {
            sequence: self.changes.revision,
            base_sequence: since,
            revision_seen: desired_revision_seen,
            machines,
        }
    }

    fn machine_status(
        &self,
        now: Micros,
        name: &str,
        machine: &Machine,
        total: Resources,
        is_led_by_receiver: impl Fn(&TaskKey) -> bool,
    ) -> MachineStatus {
        let free = machine.free(total);
        let open = machine.is_schedulable(now, self.silence_limit)
            && machine.inventory == InventoryState::Known
            && free.is_some();
        let silent = now.since(machine.last_heartbeat_at);
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
            task_count: machine.count_live_tasks() as u32,
            idle_time: machine.idle_since.filter(|_| machine.tasks.is_empty()).map(|since| now.since(since)),
            silent_time: Some(silent).filter(|&silent| silent >= self.silence_limit),
            tasks: machine
                .tasks
                .iter()
                .filter(|(key, _)| is_led_by_receiver(key))
                .map(|(key, task)| ObservedTask { key: key.clone(), phase: task.phase })
                .collect(),
        }
    }
}
