//! What a job shard sees of the machines: for each machine shard, its machines as it last described them.
//!
//! The view is owned by the job shard. It only ever says what a machine shard said: nothing here concludes that a task or
//! machine is gone because time has passed.

use crate::peer::{MachineStatus, MachineStatusDelta};
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as its shard last described it, with the spans turned into points of our own clock.
#[derive(Clone, Debug)]
pub struct MachineSnapshot {
    status: MachineStatus,
    /// When the cloud takes it away.
    pub termination_at: Option<Micros>,
    /// Since when it has been without a task.
    pub idle_since: Option<Micros>,
    /// Since when it has been silent.
    pub silent_since: Option<Micros>,
}

impl std::ops::Deref for MachineSnapshot {
    type Target = MachineStatus;
    fn deref(&self) -> &MachineStatus {
        &self.status
    }
}

impl MachineSnapshot {
    /// A machine as described just now.
    #[must_use]
    pub fn new(now: Micros, status: MachineStatus) -> MachineSnapshot {
        let ago = |span: Micros| Micros(now.0.saturating_sub(span.0));
        MachineSnapshot {
            termination_at: status.time_to_termination.map(|span| now + span),
            idle_since: status.idle_time.map(ago),
            silent_since: status.silent_time.map(ago),
            status,
        }
    }

    /// How long it has been without a task; zero if it has one.
    #[must_use]
    pub fn idle_for(&self, now: Micros) -> Micros {
        self.idle_since.map_or(Micros(0), |since| now.since(since))
    }

    /// How long it has been silent; zero if it missed no heartbeats.
    #[must_use]
    pub fn silent_for(&self, now: Micros) -> Micros {
        self.silent_since.map_or(Micros(0), |since| now.since(since))
    }
}

/// What is known of one machine shard's machines in one epoch.
#[derive(Debug, Default)]
pub struct MachineView {
    epoch: u64,
    sequence: u64,
    revision_seen: u64,
    machines: BTreeMap<String, MachineSnapshot>,
    /// Machines on which starts were asked for, by the revision that did: once the machine shard has seen that revision,
    /// what it does not name is an answer too.
    awaiting: BTreeMap<u64, Vec<String>>,
}

/// What a delta changed.
#[derive(Debug, PartialEq)]
pub struct StatusChange {
    /// Machines to look at.
    pub names: BTreeSet<String>,
    /// The whole state came: machines that it does not name are gone.
    pub is_full: bool,
}

impl MachineView {
    /// The sequence of the machine shard's state that is held, 0 if none of this epoch.
    #[must_use]
    pub fn sequence(&self, epoch: u64) -> u64 {
        if self.epoch == epoch { self.sequence } else { 0 }
    }

    /// The latest revision of our desired state that the machine shard had seen, 0 if none of this epoch.
    #[must_use]
    pub fn revision_seen(&self, epoch: u64) -> u64 {
        if self.epoch == epoch { self.revision_seen } else { 0 }
    }

    /// The machines, if the machine shard has spoken in this epoch.
    #[must_use]
    pub fn machines(&self, epoch: u64) -> Option<&BTreeMap<String, MachineSnapshot>> {
        (self.epoch == epoch).then_some(&self.machines)
    }

    /// The revision that asks for starts on these machines goes out.
    pub fn record_start_request(&mut self, revision: u64, machines: Vec<String>) {
        if !machines.is_empty() {
            self.awaiting.insert(revision, machines);
        }
    }

    /// A new epoch: answers to older revisions don't come any more.
    pub fn clear_start_requests(&mut self) {
        self.awaiting.clear();
    }

    /// Applies a delta; None if it is older than what is held, or builds on something that is not. Nothing need be done
    /// about that: the sender hears what is held, and builds on it next time.
    pub fn apply_delta(
        &mut self,
        now: Micros,
        epoch: u64,
        delta: MachineStatusDelta,
    ) -> Option<StatusChange> {
        let is_first = self.epoch != epoch;
        let is_whole = delta.base_sequence == 0;
        let is_outdated = delta.sequence < self.sequence || delta.base_sequence > self.sequence;
        if (is_first && !is_whole) || (!is_first && is_outdated) {
            return None;
        }
        let mut names = BTreeSet::new();
        if is_whole {
            let before = std::mem::take(&mut self.machines);
            // What the machine shard of an older epoch named may have another leader now, which alone can tell whether
            // it is gone.
            if is_first {
                self.revision_seen = 0;
            } else {
                names.extend(before.into_keys());
            }
        }
        self.epoch = epoch;
        self.sequence = delta.sequence;
        self.revision_seen = self.revision_seen.max(delta.revision_seen);
        for status in delta.machines {
            names.insert(status.name.clone());
            self.machines.insert(status.name.clone(), MachineSnapshot::new(now, status));
        }
        names.extend(self.answered());
        Some(StatusChange { names, is_full: is_whole })
    }

    /// Takes off the machines on which starts were asked for by revisions that the machine shard has seen.
    fn answered(&mut self) -> BTreeSet<String> {
        let mut machines = BTreeSet::new();
        while let Some(oldest) = self.awaiting.first_entry()
            && *oldest.key() <= self.revision_seen
        {
            machines.extend(oldest.remove());
        }
        machines
    }
}

#[cfg(test)]
mod tests;
