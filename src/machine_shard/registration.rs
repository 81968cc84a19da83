//! Registration of machines: which names are stored in the state store, and which machines were returned to the cloud.
//!
//! No task is started on a machine whose name is not stored: a controller that takes over the machine's leadership
//! would not wait for the machine's heartbeat or the expiry of its lease.

use super::*;

/// Maximum number of names of returned machines that are kept.
const MAX_RETURNED_MACHINES: usize = 5000;

/// The stored record of a machine.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineRecord {
    /// Its machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address on which its worker accepts direct commands.
    pub addr: String,
}

impl MachineShard {
    /// Adds a machine whose record was read from the state store. It had tasks once and may still have them.
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

    /// Returns the machines to register before tasks are started on them. Each is returned once.
    #[must_use]
    pub fn take_unregistered(&mut self) -> Vec<(String, MachineRecord)> {
        let mut unregistered = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.registration == Registration::Missing
                && machine.has_sent_heartbeat
                && machine.inventory != InventoryState::Gone
            {
                machine.registration = Registration::Requested;
                unregistered.push((name.clone(), machine.record.clone()));
            }
        }
        unregistered
    }

    /// Records that a machine's name is stored.
    pub fn confirm_registered(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.registration = Registration::Stored;
            self.changes.recheck(name);
        }
    }

    /// Applies the autoscaler's plan: machines to drain, and machines that were returned to the cloud.
    pub fn apply_scaling_plan(&mut self, drain: &BTreeSet<String>, returned: &[String]) {
        for (name, machine) in &mut self.machines {
            let is_draining = drain.contains(name);
            if is_draining != machine.is_draining {
                machine.is_draining = is_draining;
                machine.was_schedulable = false;
                self.changes.record(name, &mut machine.revision);
            }
        }
        self.mark_returned(returned);
    }

    /// Records that the cloud confirmed the return of these machines.
    pub fn mark_returned(&mut self, names: &[String]) {
        for name in names {
            self.mark_machine_returned(name);
        }
    }

    fn mark_machine_returned(&mut self, name: &str) {
        let is_new = self.returned_machines.insert(name.to_owned());
        if is_new && self.returned_machines.len() > MAX_RETURNED_MACHINES {
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

    /// Returns the returned machines that `to` leads in `next`. A controller that has just started has no list of
    /// them and would wait for the leases of all machines that the registry pages still list.
    #[must_use]
    pub fn returned_machines_led_by(&self, to: usize, next: &Membership) -> Vec<String> {
        self.returned_machines.iter().filter(|name| next.machine_leader(name) == Some(to)).cloned().collect()
    }

    /// Whether the machine was returned to the cloud; None if this controller does not lead it or has no entry for it.
    #[must_use]
    pub fn is_gone(&self, name: &str) -> Option<bool> {
        self.machines.get(name).map(|machine| machine.inventory == InventoryState::Gone)
    }

    /// Drops the returned machines whose status every controller has acknowledged; `acked` holds the revision that each
    /// has. A machine that the status no longer lists counts as returned.
    pub fn drop_gone(&mut self, acked: &[u64]) {
        let least_acked = acked.iter().copied().min().unwrap_or(0);
        let changes = &mut self.changes;
        self.machines.retain(|_, machine| {
            let is_dropped = machine.inventory == InventoryState::Gone && machine.revision <= least_acked;
            if is_dropped {
                changes.remove(machine.revision);
            }
            !is_dropped
        });
    }
}
