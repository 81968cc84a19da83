//! Inventory: what the cloud's list names, what was added and doesn't report yet, and what was given back.
//!
//! The list lags, and is read in pages that may each be of another time. It is a hint: machines that report are known
//! from their shards, and a machine is gone only once the cloud has confirmed a scale-in.

use super::cloud::{CloudMachine, MachineState, ScaleOut};
use crate::machine_view::MachineSnapshot;
use crate::units::Micros;
use std::collections::BTreeMap;

/// How often the list is read.
const LIST_INTERVAL: Micros = Micros::from_millis(4_000);
/// How long machines that are gone are named to the other controllers.
const REMOVED_TTL: Micros = Micros::from_millis(60_000);
/// How long an added machine that doesn't report counts as booting.
const BOOTING_TTL: Micros = Micros::from_millis(300_000);

/// A machine that was added and doesn't report yet.
#[derive(Clone, Debug)]
pub(super) struct BootingMachine {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) since: Micros,
}

/// The machines as the cloud sees them.
#[derive(Default)]
pub(super) struct Inventory {
    /// The last list that was read whole, by name.
    pub(super) listed: Option<BTreeMap<String, CloudMachine>>,
    /// The pages of the list that is being read.
    pages: Vec<CloudMachine>,
    next_list: Micros,
    /// Added and not yet reporting, by name.
    pub(super) booting: BTreeMap<String, BootingMachine>,
    /// Machines whose scale-in was confirmed, and when.
    removed: BTreeMap<String, Micros>,
}

impl Inventory {
    /// Forgets what only the autoscaler's leader keeps up to date.
    pub(super) fn reset(&mut self) {
        self.listed = None;
        self.booting.clear();
    }

    /// Whether a page of the list should be read now.
    pub(super) fn is_list_due(&self, now: Micros) -> bool {
        !self.pages.is_empty() || now >= self.next_list || self.listed.is_none()
    }

    /// Where the next page begins: behind this name.
    pub(super) fn next_page(&mut self, now: Micros) -> String {
        self.next_list = now + LIST_INTERVAL;
        self.pages.last().map(|machine| machine.name.clone()).unwrap_or_default()
    }

    /// Takes the page behind `after`; the last one completes the list.
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

    /// Notes the machines that a scale-out got.
    pub(super) fn add_booting(&mut self, now: Micros, scale_out: &ScaleOut, names: Vec<String>) {
        for name in names {
            let ScaleOut { machine_type: kind, zone, spot, .. } = scale_out.clone();
            self.booting.insert(name, BootingMachine { kind, zone, spot, since: now });
        }
    }

    /// Drops from the booting machines those that report, and those that are given up.
    pub(super) fn prune_booting(&mut self, now: Micros, machines: &BTreeMap<&str, &MachineSnapshot>) {
        self.booting.retain(|name, booting| {
            !machines.contains_key(name.as_str()) && now.since(booting.since) < BOOTING_TTL
        });
    }

    /// Notes a machine as gone for certain.
    pub(super) fn confirm_removed(&mut self, now: Micros, name: &str) {
        self.booting.remove(name);
        if let Some(listed) = &mut self.listed {
            listed.remove(name);
        }
        self.removed.insert(name.to_owned(), now);
    }

    /// Forgets machines that have been gone for long.
    pub(super) fn prune_removed(&mut self, now: Micros) {
        self.removed.retain(|_, at| now.since(*at) < REMOVED_TTL);
    }

    /// Whether the cloud has confirmed of late that the machine is gone.
    pub(super) fn is_removed(&self, name: &str) -> bool {
        self.removed.contains_key(name)
    }

    /// The machines that were confirmed gone of late, by name.
    pub(super) fn removed(&self) -> Vec<String> {
        self.removed.keys().cloned().collect()
    }

    /// A machine as listed.
    pub(super) fn get(&self, name: &str) -> Option<&CloudMachine> {
        self.listed.as_ref().and_then(|listed| listed.get(name))
    }

    /// All listed machines, by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &CloudMachine> {
        self.listed.iter().flat_map(BTreeMap::values)
    }

    /// Whether the list calls the machine failed.
    pub(super) fn has_failed(&self, name: &str) -> bool {
        self.get(name).is_some_and(|machine| machine.state == MachineState::Failed)
    }
}
