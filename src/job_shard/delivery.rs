//! What the leaders of machines have yet to hear of starts: each change is named in every message until the receiver says
//! that it has seen one that named it, so that a lost message heals.

use super::assignments::{MachineStart, UNSENT};
use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};

/// Changes on their way to the leaders of machines.
#[derive(Debug)]
pub(super) struct Delivery {
    /// Starts that changed since they were last sorted by receiver.
    pub(super) changed: BTreeSet<MachineStart>,
    receivers: Vec<Receiver>,
}

/// What one leader of machines has yet to hear.
#[derive(Clone, Debug)]
struct Receiver {
    /// The latest message to it.
    revision: u64,
    /// Starts that changed, and the first message that named the latest change.
    unacknowledged: BTreeMap<MachineStart, u64>,
    /// There is something that no message has named.
    has_changes: bool,
}

impl Delivery {
    pub(super) fn new(members: usize) -> Delivery {
        let receiver = Receiver { revision: 0, unacknowledged: BTreeMap::new(), has_changes: true };
        Delivery { changed: BTreeSet::new(), receivers: vec![receiver; members] }
    }

    /// The machine's leader is to hear of a start.
    pub(super) fn mark_changed(&mut self, machine: &str, job: &str, index: u32, attempt: u64) {
        self.changed.insert(MachineStart::new(machine, job, index, attempt));
    }

    /// Sorts changes by the machines' leaders. Returns those on machines of our own.
    pub(super) fn sort_changes(&mut self, membership: &Membership, me: usize) -> Vec<MachineStart> {
        let mut own = Vec::new();
        for start in std::mem::take(&mut self.changed) {
            if let Some(leader) = membership.machine_leader(&start.machine) {
                if leader == me {
                    own.push(start.clone());
                }
                self.receivers[leader].unacknowledged.insert(start, UNSENT);
                self.receivers[leader].has_changes = true;
            }
        }
        own
    }

    /// Whether a receiver is to hear something new.
    pub(super) fn has_changes(&self, receiver: usize) -> bool {
        self.receivers[receiver].has_changes
    }

    /// Every receiver is to hear from us, whether anything changed or not.
    pub(super) fn send_to_all(&mut self) {
        for receiver in &mut self.receivers {
            receiver.has_changes = true;
        }
    }

    /// Begins the next message to a receiver that has seen those up to `seen`: its revision, and the starts that it is to
    /// name.
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

    /// Starts with changes that a receiver has not said to have seen, whether sorted already or not.
    pub(super) fn undelivered(&self) -> impl Iterator<Item = &MachineStart> {
        self.receivers.iter().flat_map(|receiver| receiver.unacknowledged.keys()).chain(&self.changed)
    }

    /// Whether the machine's leader has seen all changes of a start.
    pub(super) fn is_delivered(&self, start: &MachineStart) -> bool {
        !self.changed.contains(start)
            && !self.receivers.iter().any(|receiver| receiver.unacknowledged.contains_key(start))
    }

    /// A new epoch: the first message to each receiver names all `starts`.
    pub(super) fn adopt_epoch(&mut self, epoch: u64, starts: BTreeSet<MachineStart>) {
        self.changed = starts;
        for receiver in &mut self.receivers {
            receiver.unacknowledged.clear();
            // Revisions never go back, not even over a restart, since the epoch is their upper half.
            receiver.revision = receiver.revision.max(epoch << 32);
            receiver.has_changes = true;
        }
    }
}
