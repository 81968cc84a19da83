//! Machines that the cloud has taken back and nobody remembers: after a restart of all controllers the machine registry
//! still names them, no agent reports for them, and every job would wait for their leases to expire.
//!
//! That the list does not name a machine is only a hint (lists lag, and may be older than the one before). The autoscaler
//! acts upon it by a scale-in: a name that the cloud doesn't know is ignored, and once the answer is there the machine
//! and all on it are gone for certain.

use super::inventory::Inventory;
use crate::machine_view::MachineSnapshot;
use crate::peer::InventoryState;
use crate::units::Micros;

/// The pages of one list are read within this time, as a rule.
const LIST_READ_TIME: Micros = Micros::from_millis(10_000);

impl Inventory {
    /// The youngest listed machine that is so old that every page of the list, however late, describes a time at which
    /// it was there, and with it all machines that are older. `list_lag` is the longest that the cloud promises.
    pub(super) fn complete_up_to(&self, list_lag: Micros) -> Option<&str> {
        let age = Micros(list_lag.0 * 2) + LIST_READ_TIME;
        let listed = self.listed.as_ref()?;
        let youngest = listed.values().rev().find(|machine| Micros::from_secs(machine.age_s) >= age);
        youngest.map(|machine| machine.name.as_str())
    }

    /// Whether a machine that sends no heartbeats is missing from a list that would name it if it were there.
    pub(super) fn is_lost(&self, machine: &MachineSnapshot, complete_up_to: Option<&str>) -> bool {
        let is_quiet =
            machine.inventory_state == InventoryState::Unconfirmed || machine.silent_since.is_some();
        is_quiet
            && complete_up_to.is_some_and(|name| machine.name.as_str() < name)
            && self.listed.as_ref().is_some_and(|listed| !listed.contains_key(&machine.name))
    }
}

#[cfg(test)]
mod tests;
