//! A job shard's view of the machines: for each machine shard, its machines as its latest status described them.
//!
//! The job shard owns the view. It only repeats what machine shards have reported: nothing here concludes from
//! elapsed time that a task or machine is gone.

use crate::peer::{MachineStatus, MachineStatusDelta};
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as its shard last described it, with time spans converted to points on this controller's clock.
#[derive(Clone, Debug)]
pub struct MachineSnapshot {
    status: MachineStatus,
    /// When the cloud terminates the machine, if that was announced.
    pub termination_at: Option<Micros>,
    /// Since when it has had no task, if it has none.
    pub idle_since: Option<Micros>,
    /// When its last heartbeat arrived, if it has missed heartbeats.
    pub silent_since: Option<Micros>,
}

impl std::ops::Deref for MachineSnapshot {
    type Target = MachineStatus;
    fn deref(&self) -> &MachineStatus {
        &self.status
    }
}

impl MachineSnapshot {
    /// Creates the snapshot of a machine from a status that arrived just now.
    #[must_use]
    pub fn new(now: Micros, status: MachineStatus) -> MachineSnapshot {
        let subtract_from_now = |duration: Micros| Micros(now.0.saturating_sub(duration.0));
        MachineSnapshot {
            termination_at: status.time_to_termination.map(|duration| now + duration),
            idle_since: status.idle_time.map(subtract_from_now),
            silent_since: status.silent_time.map(subtract_from_now),
            status,
        }
    }

    /// Returns how long it has had no task; zero if it has one.
    #[must_use]
    pub fn idle_for(&self, now: Micros) -> Micros {
        self.idle_since.map_or(Micros(0), |since| now.since(since))
    }

    /// Returns how long no heartbeat has arrived; zero if it missed none.
    #[must_use]
    pub fn silent_for(&self, now: Micros) -> Micros {
        self.silent_since.map_or(Micros(0), |since| now.since(since))
    }
}

/// The status of one machine shard's machines in one epoch.
#[derive(Debug, Default)]
pub struct MachineView {
    epoch: u64,
    sequence: u64,
    revision_seen: u64,
    machines: BTreeMap<String, MachineSnapshot>,
    /// Machines on which starts were requested, by the revision of the desired state that requested them. Once the
    /// machine shard has seen that revision, a start that its status does not list was refused.
    requested_starts: BTreeMap<u64, Vec<String>>,
}

/// The result of applying a status delta.
#[derive(Debug, PartialEq)]
pub struct StatusChange {
    /// Machines whose status is to be processed.
    pub names: BTreeSet<String>,
    /// Whether the delta was a full state: machines that it does not list were returned to the cloud.
    pub is_full: bool,
}

impl MachineView {
    /// Returns the sequence number of the machine shard's status that is held; 0 if none of this epoch is.
    #[must_use]
    pub fn sequence(&self, epoch: u64) -> u64 {
        if self.epoch == epoch { self.sequence } else { 0 }
    }

    /// Returns the latest revision of this job shard's desired state that the machine shard had seen; 0 if none of this
    /// epoch.
    #[must_use]
    pub fn revision_seen(&self, epoch: u64) -> u64 {
        if self.epoch == epoch { self.revision_seen } else { 0 }
    }

    /// Returns the machines, if a status from the machine shard has arrived in this epoch.
    #[must_use]
    pub fn machines(&self, epoch: u64) -> Option<&BTreeMap<String, MachineSnapshot>> {
        (self.epoch == epoch).then_some(&self.machines)
    }

    /// Records that a revision was sent that requests starts on these machines.
    pub fn record_start_request(&mut self, revision: u64, machines: Vec<String>) {
        if !machines.is_empty() {
            self.requested_starts.insert(revision, machines);
        }
    }

    /// Clears the requested starts at a new epoch, in which older revisions are no longer answered.
    pub fn clear_start_requests(&mut self) {
        self.requested_starts.clear();
    }

    /// Applies a delta. Returns None if it is older than the held status or builds on one that is not held. This
    /// needs no handling: the sender receives the held sequence number and builds its next delta on it.
    pub fn apply_delta(
        &mut self,
        now: Micros,
        epoch: u64,
        delta: MachineStatusDelta,
    ) -> Option<StatusChange> {
        let is_first_of_epoch = self.epoch != epoch;
        let is_whole = delta.base_sequence == 0;
        let is_outdated = delta.sequence < self.sequence || delta.base_sequence > self.sequence;
        if (is_first_of_epoch && !is_whole) || (!is_first_of_epoch && is_outdated) {
            return None;
        }
        let mut names = BTreeSet::new();
        if is_whole {
            let machines_before = std::mem::take(&mut self.machines);
            // A machine listed by the machine shard of an older epoch may have another leader now, and only that leader
            // can report that it was returned to the cloud.
            if is_first_of_epoch {
                self.revision_seen = 0;
            } else {
                names.extend(machines_before.into_keys());
            }
        }
        self.epoch = epoch;
        self.sequence = delta.sequence;
        self.revision_seen = self.revision_seen.max(delta.revision_seen);
        for status in delta.machines {
            names.insert(status.name.clone());
            self.machines.insert(status.name.clone(), MachineSnapshot::new(now, status));
        }
        names.extend(self.take_answered_requests());
        Some(StatusChange { names, is_full: is_whole })
    }

    /// Removes and returns the machines on which starts were requested by revisions that the machine shard has seen.
    fn take_answered_requests(&mut self) -> BTreeSet<String> {
        let mut machines = BTreeSet::new();
        while let Some(oldest) = self.requested_starts.first_entry()
            && *oldest.key() <= self.revision_seen
        {
            machines.extend(oldest.remove());
        }
        machines
    }
}

#[cfg(test)]
mod tests;
