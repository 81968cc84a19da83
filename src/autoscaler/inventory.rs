//! Inventory: the machines in the cloud's list, the machines that were added but send no heartbeats yet, and the
//! machines that were removed.
//!
//! The list lags behind, and its pages may be snapshots of different times, so it is only a hint. Machines that send
//! heartbeats are known from their machine shards, and a machine counts as gone only once the cloud has confirmed its
//! scale-in.

use super::cloud::{CloudMachine, MachineState, ScaleOut};
use crate::machine_view::MachineSnapshot;
use crate::units::Micros;
use std::collections::BTreeMap;

/// How often the cloud's machine list is read.
const LIST_INTERVAL: Micros = Micros::from_millis(4_000);
/// How long removed machines are reported to the other controllers.
const REMOVED_TTL: Micros = Micros::from_millis(60_000);
/// How long an added machine without heartbeats counts as booting.
const BOOTING_TTL: Micros = Micros::from_millis(300_000);

/// A machine that was added and sends no heartbeats yet.
#[derive(Clone, Debug)]
pub(super) struct BootingMachine {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) since: Micros,
}

/// The machines as far as the cloud's answers show them.
#[derive(Default)]
pub(super) struct Inventory {
    /// The last list that was read completely, by machine name.
    pub(super) listed: Option<BTreeMap<String, CloudMachine>>,
    /// The machines on the pages read so far of the next list.
    pages: Vec<CloudMachine>,
    next_list: Micros,
    /// Machines that were added and send no heartbeats yet, by name.
    pub(super) booting: BTreeMap<String, BootingMachine>,
    /// Machines whose scale-in was confirmed, with the time of the confirmation.
    removed: BTreeMap<String, Micros>,
}

impl Inventory {
    /// Clears the state that only the autoscaler's leader keeps up to date.
    pub(super) fn reset(&mut self) {
        self.listed = None;
        self.booting.clear();
    }

    /// Whether a page of the list should be read now.
    pub(super) fn is_list_due(&self, now: Micros) -> bool {
        !self.pages.is_empty() || now >= self.next_list || self.listed.is_none()
    }

    /// The name after which the next page begins; empty for the first page.
    pub(super) fn begin_next_page(&mut self, now: Micros) -> String {
        self.next_list = now + LIST_INTERVAL;
        self.pages.last().map(|machine| machine.name.clone()).unwrap_or_default()
    }

    /// Adds the page that begins after the name `after`. The last page completes the list.
    pub(super) fn apply_page(&mut self, now: Micros, after: &str, machines: Vec<CloudMachine>, more: bool) {
        if after.is_empty() {
            self.pages.clear();
        }
        self.pages.extend(machines);
        if !more {
            let all = std::mem::take(&mut self.pages);
            self.listed = Some(all.into_iter().map(|machine| (machine.name.clone(), machine)).collect());
            self.next_list = now + LIST_INTERVAL;
        }
    }

    /// Records the machines that a scale-out added.
    pub(super) fn add_booting(&mut self, now: Micros, scale_out: &ScaleOut, names: Vec<String>) {
        for name in names {
            let ScaleOut { machine_type, zone, spot, .. } = scale_out.clone();
            self.booting.insert(name, BootingMachine { machine_type, zone, spot, since: now });
        }
    }

    /// Drops booting machines that have sent a heartbeat, and those that have been booting for too long.
    pub(super) fn prune_booting(&mut self, now: Micros, machines: &BTreeMap<&str, &MachineSnapshot>) {
        self.booting.retain(|name, booting| {
            !machines.contains_key(name.as_str()) && now.since(booting.since) < BOOTING_TTL
        });
    }

    /// Records that the cloud has confirmed the removal of a machine.
    pub(super) fn confirm_removed(&mut self, now: Micros, name: &str) {
        self.booting.remove(name);
        if let Some(listed) = &mut self.listed {
            listed.remove(name);
        }
        self.removed.insert(name.to_owned(), now);
    }

    /// Drops machines that were removed more than `REMOVED_TTL` ago.
    pub(super) fn prune_removed(&mut self, now: Micros) {
        self.removed.retain(|_, at| now.since(*at) < REMOVED_TTL);
    }

    /// Whether the cloud has recently confirmed the removal of the machine.
    pub(super) fn is_removed(&self, name: &str) -> bool {
        self.removed.contains_key(name)
    }

    /// Names of the machines whose removal was confirmed recently.
    pub(super) fn removed(&self) -> Vec<String> {
        self.removed.keys().cloned().collect()
    }

    /// The list's entry for a machine.
    pub(super) fn get(&self, name: &str) -> Option<&CloudMachine> {
        self.listed.as_ref().and_then(|listed| listed.get(name))
    }

    /// All listed machines, sorted by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &CloudMachine> {
        self.listed.iter().flat_map(BTreeMap::values)
    }

    /// Whether the machine is listed as failed.
    pub(super) fn is_listed_as_failed(&self, name: &str) -> bool {
        self.get(name).is_some_and(|machine| machine.state == MachineState::Failed)
    }
}
