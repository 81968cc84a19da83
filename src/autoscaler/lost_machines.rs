//! Detects machines that the cloud has removed while no controller has a record of it. After a restart of all
//! controllers the machine registry still lists them but they send no heartbeats, so every job would have to wait for
//! their leases to expire.
//!
//! A machine's absence from the cloud's list is only a hint, since lists lag and may be older than the previous one.
//! The autoscaler therefore requests a scale-in of the machine: the cloud ignores unknown names, and once it has
//! answered, the machine and all its tasks are certainly gone.

use super::inventory::Inventory;
use crate::machine_view::MachineSnapshot;
use crate::peer::InventoryState;
use crate::units::Micros;

/// Time within which the pages of one list are usually read.
const LIST_READ_TIME: Micros = Micros::from_millis(10_000);

impl Inventory {
    /// The name of the youngest listed machine that is old enough for the list to be complete up to it: every page,
    /// whatever its lag, is a snapshot of a time when this machine and all older ones already existed. `list_lag` is
    /// the longest lag that the cloud guarantees.
    pub(super) fn complete_up_to(&self, list_lag: Micros) -> Option<&str> {
        let age = Micros(list_lag.0 * 2) + LIST_READ_TIME;
        let listed = self.listed.as_ref()?;
        let youngest = listed.values().rev().find(|machine| Micros::from_secs(machine.age_s) >= age);
        youngest.map(|machine| machine.name.as_str())
    }

    /// Whether a machine that sends no heartbeats is missing from the list although the list is complete at its age.
    pub(super) fn is_lost(&self, machine: &MachineSnapshot, complete_up_to: Option<&str>) -> bool {
        let is_silent =
            machine.inventory_state == InventoryState::Unconfirmed || machine.silent_since.is_some();
        is_silent
            && complete_up_to.is_some_and(|name| machine.name.as_str() < name)
            && self.listed.as_ref().is_some_and(|listed| !listed.contains_key(&machine.name))
    }
}

#[cfg(test)]
mod tests;
