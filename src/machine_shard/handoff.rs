//! Hand-off of machines whose leader changes: what the old leader sends and how the new leader applies it.
//!
//! The new leader may take the task list as complete although no heartbeat has shown the new fencing token. Only the
//! old leader could send commands to the machine. It packs the hand-off after it has adopted the epoch, and so sends
//! no more commands, and starts are sent only in responses. Each start that it ever sent is listed, as in doubt if
//! need be, with the heartbeat whose response carried it.

use super::*;
use crate::peer::{MachineHandoff, TaskHandoff};

impl MachineShard {
    /// Returns the machines that have another leader in `next`, the direct successor of the held epoch, by that leader.
    /// Call it before that epoch is adopted, and only on a controller that no longer sends commands.
    #[must_use]
    pub fn pack_handoff(&self, now: Micros, next: &Membership) -> BTreeMap<usize, Vec<MachineHandoff>> {
        let mut by_leader: BTreeMap<usize, Vec<MachineHandoff>> = BTreeMap::new();
        for (name, machine) in &self.machines {
            let Some(to) = next.machine_leader(name).filter(|&leader| leader != next.me) else { continue };
            if let Some(packed) = machine.pack_handoff(now, name, self.older_leaders_stopped_at) {
                by_leader.entry(to).or_default().push(packed);
            }
        }
        by_leader
    }

    /// Applies the hand-off of a machine from its leader of the epoch directly before. Does nothing if the machine's
    /// task list is already complete or another controller leads it: then the batch came late or twice. Returns
    /// whether the task list has become complete.
    pub fn apply_handoff(&mut self, now: Micros, membership: &Membership, handoff: MachineHandoff) -> bool {
        let name = handoff.name.clone();
        if membership.machine_leader(&name) != Some(membership.me) || self.returned_machines.contains(&name) {
            return false;
        }
        let epoch = self.epoch;
        let new_machine = || Machine::new(now, epoch, MachineRecord::from(&handoff));
        let machine = self.machines.entry(name.clone()).or_insert_with(new_machine);
        if machine.inventory != InventoryState::Unconfirmed {
            return false;
        }
        if handoff.on_record {
            machine.registration = Registration::Stored;
        }
        // `silent` is as of packing. By now it is longer, so this time is too late rather than too early.
        let last_contact_at = Micros(now.0.saturating_sub(handoff.silent_time.minus_drift().0));
        if !handoff.inventory_known {
            machine.others_responded_until = Some(
                machine.others_responded_until.map_or(last_contact_at, |until| until.min(last_contact_at)),
            );
            return false;
        }
        let next_revision = self.changes.revision + 1;
        machine.apply_handoff(now, last_contact_at, handoff, |key| {
            JobLeaderEvidence::new(membership.job_leader(&key.job), next_revision)
        });
        // The desired state that job leaders have sent in this epoch takes precedence over that of the last epoch.
        for (key, desired) in self.pending_desired.remove(&name).unwrap_or_default() {
            if let Some(task) = machine.tasks.get_mut(&key) {
                task.apply_desired(&desired);
            }
        }
        machine.inventory = InventoryState::Known;
        machine.was_schedulable = machine.is_schedulable(now, self.silence_limit);
        self.changes.record(&name, &mut machine.revision);
        true
    }
}

impl Machine {
    /// Packs what the next leader needs of this machine. None if there is nothing to hand off: the machine was
    /// returned to the cloud, or other controllers may still be responding to it.
    fn pack_handoff(&self, now: Micros, name: &str, others_stopped_at: Micros) -> Option<MachineHandoff> {
        let known = self.inventory == InventoryState::Known;
        let last_response_at =
            if known { self.last_heartbeat_at } else { self.last_response_at(others_stopped_at) };
        if self.inventory == InventoryState::Gone || (!known && last_response_at > now) {
            return None;
        }
        let tasks = self.tasks.iter().filter(|(_, task)| known && task.can_be_on_machine());
        Some(MachineHandoff {
            name: name.to_owned(),
            machine_type: self.record.kind.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
            addr: self.record.addr.clone(),
            on_record: self.registration == Registration::Stored,
            inventory_known: known,
            last_heartbeat: self.last_heartbeat.into(),
            silent_time: now.since(last_response_at),
            time_to_termination: self.termination_at.map(|at| at.since(now)),
            idle_time: self.idle_since.map(|since| now.since(since)),
            images: self.images.clone(),
            tasks: tasks.map(|(key, task)| task.pack_handoff(key)).collect(),
        })
    }

    /// Applies what the leader before had. If the machine has already sent this controller a newer heartbeat, it sent
    /// that after it received or dropped every response of the old leader, so the list in it is complete. Otherwise
    /// the old leader's list applies.
    fn apply_handoff(
        &mut self,
        now: Micros,
        last_contact_at: Micros,
        handoff: MachineHandoff,
        job_leader_evidence: impl Fn(&TaskKey) -> JobLeaderEvidence,
    ) {
        let has_newer_heartbeat =
            self.has_sent_heartbeat && self.last_heartbeat > HeartbeatId::from(handoff.last_heartbeat);
        if !has_newer_heartbeat {
            self.tasks.clear();
            self.last_heartbeat = handoff.last_heartbeat.into();
            self.termination_at = handoff.time_to_termination.map(|notice| now + notice);
            self.idle_since = handoff.idle_time.map(|idle| Micros(now.0.saturating_sub(idle.0)));
            self.last_heartbeat_at = if self.has_sent_heartbeat {
                self.last_heartbeat_at.max(last_contact_at)
            } else {
                last_contact_at
            };
            self.has_sent_heartbeat = true;
        }
        self.images = handoff.images;
        for task in handoff.tasks {
            let handed_over = TaskEntry {
                resources: task.resources,
                priority: task.priority,
                image: task.image,
                phase: task.phase,
                desired: task.action,
                sent_with: task.sent_with_heartbeat.into(),
                job_leader_evidence: job_leader_evidence(&task.key),
            };
            match self.tasks.get_mut(&task.key) {
                Some(entry) if entry.resources.is_none() => {
                    *entry = TaskEntry { phase: entry.phase, ..handed_over };
                }
                None if !has_newer_heartbeat => {
                    self.tasks.insert(task.key, handed_over);
                }
                _ => {}
            }
        }
    }
}

impl TaskEntry {
    fn pack_handoff(&self, key: &TaskKey) -> TaskHandoff {
        TaskHandoff {
            key: key.clone(),
            resources: self.resources,
            priority: self.priority,
            image: self.image,
            phase: self.phase,
            action: self.desired,
            sent_with_heartbeat: self.sent_with.into(),
        }
    }
}

/// Peer frames carry a heartbeat's identity as a pair.
impl From<(u64, u64)> for HeartbeatId {
    fn from((incarnation, sequence): (u64, u64)) -> HeartbeatId {
        HeartbeatId { incarnation, sequence }
    }
}

impl From<HeartbeatId> for (u64, u64) {
    fn from(id: HeartbeatId) -> (u64, u64) {
        (id.incarnation, id.sequence)
    }
}

impl From<&MachineHandoff> for MachineRecord {
    fn from(handoff: &MachineHandoff) -> MachineRecord {
        MachineRecord {
            kind: handoff.machine_type.clone(),
            zone: handoff.zone.clone(),
            spot: handoff.spot,
            addr: handoff.addr.clone(),
        }
    }
}
