//! Machines by name: which are on record in the state service, and which are gone for good.
//!
//! Nothing is started on a machine whose name is not stored: a controller that takes the machine over would not know
//! that there is anything to wait for.

use super::*;

/// Names of returned machines remembered.
const RETURNED_MACHINES: usize = 5000;

/// What the store keeps of a machine.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineRecord {
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes direct commands.
    pub addr: String,
}

impl MachineShard {
    /// The store names a machine that had tasks once; it may still have.
    pub fn load_record(&mut self, now: Micros, name: &str, record: MachineRecord) {
        let machine =
            self.machines.entry(name.into()).or_insert_with(|| Machine::new(now, self.epoch, record));
        machine.registration = Registration::Stored;
        if self.returned_machines.contains(name) {
            machine.inventory = InventoryState::Gone;
            machine.tasks.clear();
        }
        self.changes.record(name, &mut machine.revision);
    }

    /// Machines to put on record before anything is started on them; each is named once.
    #[must_use]
    pub fn take_unregistered(&mut self) -> Vec<(String, MachineRecord)> {
        let mut unregistered = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.registration == Registration::Missing
                && machine.has_reported
                && machine.inventory != InventoryState::Gone
            {
                machine.registration = Registration::Requested;
                unregistered.push((name.clone(), machine.record.clone()));
            }
        }
        unregistered
    }

    /// A machine's name is on record.
    pub fn confirm_registered(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.registration = Registration::Stored;
            self.changes.recheck(name);
        }
    }

    /// Applies the autoscaler's plan: machines to drain, and machines that the cloud has taken back.
    pub fn apply_scaling_plan(&mut self, drain: &BTreeSet<String>, gone: &[String]) {
        for (name, machine) in &mut self.machines {
            let is_draining = drain.contains(name);
            if is_draining != machine.is_draining {
                machine.is_draining = is_draining;
                machine.was_schedulable = false;
                self.changes.record(name, &mut machine.revision);
            }
        }
        self.mark_returned(gone);
    }

    /// The cloud has confirmed that it took these machines back.
    pub fn mark_returned(&mut self, names: &[String]) {
        for name in names {
            self.mark_machine_returned(name);
        }
    }

    fn mark_machine_returned(&mut self, name: &str) {
        let is_new = self.returned_machines.insert(name.to_owned());
        if is_new && self.returned_machines.len() > RETURNED_MACHINES {
            self.returned_machines.pop_first();
        }
        if let Some(machine) = self.machines.get_mut(name)
            && machine.inventory != InventoryState::Gone
        {
            machine.inventory = InventoryState::Gone;
            machine.tasks.clear();
            self.changes.record(name, &mut machine.revision);
        }
    }

    /// Machines that `to` leads in `next` and that are certainly gone: a controller that has just started does not know,
    /// and would wait for the leases of all that pages of the machine registry still name.
    #[must_use]
    pub fn returned_machines_led_by(&self, to: usize, next: &Membership) -> Vec<String> {
        self.returned_machines.iter().filter(|name| next.machine_leader(name) == Some(to)).cloned().collect()
    }

    /// Whether a machine of ours is gone for good; None if it isn't ours or not known.
    #[must_use]
    pub fn is_gone(&self, name: &str) -> Option<bool> {
        self.machines.get(name).map(|machine| machine.inventory == InventoryState::Gone)
    }

    /// Drops machines that are gone, once every controller in `acked` (the changes that each holds) has been told. What
    /// is no longer named is gone to them anyway.
    pub fn drop_gone(&mut self, acked: &[u64]) {
        let least = acked.iter().copied().min().unwrap_or(0);
        let changes = &mut self.changes;
        self.machines.retain(|_, machine| {
            let drop = machine.inventory == InventoryState::Gone && machine.revision <= least;
            if drop {
                changes.forget(machine.revision);
            }
            !drop
        });
    }
}
