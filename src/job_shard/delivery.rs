//! Delivery of attempt changes to machine leaders. Each change is repeated in every message until the
//! receiver acknowledges a message that contained it, so a lost message does no harm.

use super::assignments::{MachineStart, UNSENT};
use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};

/// Changes in transit to the machine leaders.
#[derive(Debug)]
pub(super) struct Delivery {
    /// Attempts that changed and have not yet been distributed to receivers.
    pub(super) changed: BTreeSet<MachineStart>,
    receivers: Vec<Receiver>,
}

/// The changes that one machine leader has not acknowledged.
#[derive(Clone, Debug)]
struct Receiver {
    /// Revision of the latest message to it.
    revision: u64,
    /// Changed attempts, each with the revision of the first message that contained its latest change.
    unacknowledged: BTreeMap<MachineStart, u64>,
    /// Whether there are changes that no message has contained yet.
    has_changes: bool,
}

impl Delivery {
    pub(super) fn new(members: usize) -> Delivery {
        let receiver = Receiver { revision: 0, unacknowledged: BTreeMap::new(), has_changes: true };
        Delivery { changed: BTreeSet::new(), receivers: vec![receiver; members] }
    }

    /// Marks an attempt that the machine's leader must be told about.
    pub(super) fn mark_changed(&mut self, machine: &str, job: &str, index: u32, attempt: u64) {
        self.changed.insert(MachineStart::new(machine, job, index, attempt));
    }

    /// Distributes changes to the receivers that lead the machines. Returns those on machines led by this
    /// controller.
    pub(super) fn distribute_changes(&mut self, membership: &Membership, me: usize) -> Vec<MachineStart> {
        let mut local = Vec::new();
        for start in std::mem::take(&mut self.changed) {
            if let Some(leader) = membership.machine_leader(&start.machine) {
                if leader == me {
                    local.push(start.clone());
                }
                self.receivers[leader].unacknowledged.insert(start, UNSENT);
                self.receivers[leader].has_changes = true;
            }
        }
        local
    }

    /// Whether a receiver must be sent something new.
    pub(super) fn has_changes(&self, receiver: usize) -> bool {
        self.receivers[receiver].has_changes
    }

    /// Marks every receiver to be sent a message, whether anything changed or not.
    pub(super) fn send_to_all(&mut self) {
        for receiver in &mut self.receivers {
            receiver.has_changes = true;
        }
    }

    /// Begins the next message to a receiver that has acknowledged revisions up to `seen`. Returns the
    /// message's revision and the attempts that it must contain.
    pub(super) fn next_message(
        &mut self,
        receiver: usize,
        seen: u64,
    ) -> (u64, &mut BTreeMap<MachineStart, u64>) {
        let receiver = &mut self.receivers[receiver];
        receiver.revision += 1;
        receiver.has_changes = false;
        receiver.unacknowledged.retain(|_, revision| *revision > seen);
        (receiver.revision, &mut receiver.unacknowledged)
    }

    /// Attempts with changes that have not been acknowledged, whether distributed already or not.
    pub(super) fn undelivered(&self) -> impl Iterator<Item = &MachineStart> {
        self.receivers.iter().flat_map(|receiver| receiver.unacknowledged.keys()).chain(&self.changed)
    }

    /// Whether the machine's leader has acknowledged all changes of an attempt.
    pub(super) fn is_delivered(&self, start: &MachineStart) -> bool {
        !self.changed.contains(start)
            && !self.receivers.iter().any(|receiver| receiver.unacknowledged.contains_key(start))
    }

    /// Adopts a new epoch: the first message to each receiver contains all attempts in `starts`.
    pub(super) fn adopt_epoch(&mut self, epoch: u64, starts: BTreeSet<MachineStart>) {
        self.changed = starts;
        for receiver in &mut self.receivers {
            receiver.unacknowledged.clear();
            // Revisions never decrease, not even across a restart, since the epoch is their upper half.
            receiver.revision = receiver.revision.max(epoch << 32);
            receiver.has_changes = true;
        }
    }
}
