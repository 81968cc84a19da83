//! Machines that change their leader: what a leader that lives hands to the next one, and what that makes of it.
//!
//! Why the new leader may take the task list for complete although the worker has not shown the new token: the old leader
//! was the only one to command the machine, it packs after it has adopted the epoch and thus commands no more, and starts
//! travel only in responses. Each start that it ever sent is listed, in doubt if need be, with the heartbeat whose response
//! carried it.

use super::*;
use crate::peer::{MachineHandoff, TaskHandoff};

impl MachineShard {
    /// The machines that have another leader in `next`, the epoch that directly follows, by that leader. To be called
    /// before that epoch is adopted, and only by a controller that does not command any more.
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

    /// Takes a machine from its leader of the epoch directly before. Does nothing to one whose tasks are known already,
    /// or that another controller leads: the batch came late, or twice. Returns whether its tasks are known now that were
    /// not.
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
        // As of packing: by now it is longer ago, which errs on the late side.
        let heard_at = Micros(now.0.saturating_sub(handoff.silent_time.minus_drift().0));
        if !handoff.inventory_known {
            machine.others_answered_until =
                Some(machine.others_answered_until.map_or(heard_at, |until| until.min(heard_at)));
            return false;
        }
        let next_revision = self.changes.revision + 1;
        machine.apply_handoff(now, heard_at, handoff, |key| {
            OwnerBasis::new(membership.job_leader(&key.job), next_revision)
        });
        // What jobs' leaders of this epoch have said meanwhile goes before what those of the last one did.
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
    /// What the next leader is told of this machine; None if there is nothing to say that it does not know: the machine is
    /// gone, or the end of its older tasks is not yet certain.
    fn pack_handoff(&self, now: Micros, name: &str, others_until: Micros) -> Option<MachineHandoff> {
        let known = self.inventory == InventoryState::Known;
        let last_answer = if known { self.heard_at } else { self.last_answer(others_until) };
        if self.inventory == InventoryState::Gone || (!known && last_answer > now) {
            return None;
        }
        let tasks = self.tasks.iter().filter(|(_, task)| known && task.may_be_on_machine());
        Some(MachineHandoff {
            name: name.to_owned(),
            machine_type: self.record.kind.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
            addr: self.record.addr.clone(),
            on_record: self.registration == Registration::Stored,
            inventory_known: known,
            last_heartbeat: self.last_heartbeat.into(),
            silent_time: now.since(last_answer),
            time_to_termination: self.termination_at.map(|at| at.since(now)),
            idle_time: self.idle_since.map(|since| now.since(since)),
            images: self.images.clone(),
            tasks: tasks.map(|(key, task)| task.pack_handoff(key)).collect(),
        })
    }

    /// Enters what the leader before knew. A heartbeat that came here first was sent after the worker had received or
    /// dropped every response of the old leader: what it lists is all there is. Otherwise it is what the old leader listed.
    fn apply_handoff(
        &mut self,
        now: Micros,
        heard_at: Micros,
        handoff: MachineHandoff,
        owner_basis: impl Fn(&TaskKey) -> OwnerBasis,
    ) {
        let has_newer_heartbeat =
            self.has_reported && self.last_heartbeat > HeartbeatId::from(handoff.last_heartbeat);
        if !has_newer_heartbeat {
            self.tasks.clear();
            self.last_heartbeat = handoff.last_heartbeat.into();
            self.termination_at = handoff.time_to_termination.map(|notice| now + notice);
            self.idle_since = handoff.idle_time.map(|idle| Micros(now.0.saturating_sub(idle.0)));
            self.heard_at = if self.has_reported { self.heard_at.max(heard_at) } else { heard_at };
            self.has_reported = true;
        }
        self.images = handoff.images;
        for task in handoff.tasks {
            let handed = TaskEntry {
                resources: task.resources,
                priority: task.priority,
                image: task.image,
                phase: task.phase,
                desired: task.action,
                sent_with: task.sent_with_heartbeat.into(),
                owner_basis: owner_basis(&task.key),
            };
            match self.tasks.get_mut(&task.key) {
                Some(entry) if entry.resources.is_none() => {
                    *entry = TaskEntry { phase: entry.phase, ..handed };
                }
                None if !has_newer_heartbeat => {
                    self.tasks.insert(task.key, handed);
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

/// Frames carry a heartbeat's number as a pair.
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
