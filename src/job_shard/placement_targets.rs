//! The machines that accept tasks, with what is known to be free on each.

use super::JobShard;
use crate::machine_view::MachineView;
use crate::membership::Membership;
use crate::peer::InventoryState;
use crate::scheduler::placement::PlacementTarget;
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

impl JobShard {
    /// The machines that accept tasks, as far as this controller knows.
    pub(super) fn placement_targets<'a>(
        &self,
        now: Micros,
        membership: &Membership,
        views: &'a [MachineView],
    ) -> Vec<PlacementTarget<'a>> {
        let unacknowledged = self.resources_unacknowledged_by_leaders(membership, views);
        let reserved = self.priorities_reserved_by_peers(now);
        let machines = views.iter().filter_map(|view| view.machines(membership.epoch));
        let mut targets = Vec::new();
        for machine in machines.flat_map(BTreeMap::values) {
            if !machine.is_schedulable
                || machine.inventory_state != InventoryState::Known
                || self.failures.is_machine_quarantined(now, &machine.name)
            {
                continue;
            }
            let unacknowledged = unacknowledged.get(machine.name.as_str()).copied().unwrap_or_default();
            targets.push(PlacementTarget {
                machine,
                free: machine.free - unacknowledged,
                unacknowledged,
                local: membership.machine_leader(&machine.name) == Some(self.me),
                reserved_for: self
                    .autoscaler_reservations
                    .priority_for(machine)
                    .max(reserved.get(machine.name.as_str()).copied()),
            });
        }
        targets
    }

    /// By machine, the resources of attempts that its leader had not seen when it reported the machine.
    fn resources_unacknowledged_by_leaders(
        &self,
        membership: &Membership,
        views: &[MachineView],
    ) -> BTreeMap<&str, Resources> {
        let seen_by_leader_of = |machine: &str| {
            let leader = membership.machine_leader(machine);
            leader.map_or(0, |leader| views[leader].revision_seen(membership.epoch))
        };
        let mut unacknowledged: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut counted = BTreeSet::new();
        for start in self.delivery.undelivered() {
            if let Some(job) = self.jobs.get(&start.task.job)
                && let Some(assignment) = job.assignments.get(&start.task.index)
                && assignment.is_attempt(&start.machine, start.task.attempt)
                && assignment.first_revision > seen_by_leader_of(&start.machine)
                && counted.insert(start)
            {
                let sum = unacknowledged.entry(&start.machine).or_default();
                *sum = *sum + job.spec.resources_per_task;
            }
        }
        unacknowledged
    }

    /// By machine, the priority of the work that peers have reserved it for.
    fn priorities_reserved_by_peers(&self, now: Micros) -> BTreeMap<&str, u8> {
        let local: BTreeSet<&str> =
            self.jobs.values().flat_map(|job| &job.reserved_machines).map(String::as_str).collect();
        // If two leaders chose the same machine before they received each other's announcement, the leader
        // with the lower member index keeps it. Otherwise neither gang would ever get it.
        let yields_to_local = |peer: usize, machine: &str| peer > self.me && local.contains(machine);
        let announced = self.peer_reservations.valid(now);
        let announced = announced.filter(|(peer, reservation)| !yields_to_local(*peer, &reservation.machine));
        let announced =
            announced.map(|(_, reservation)| (reservation.machine.as_str(), reservation.priority));
        let inherited = self.peer_reservations.inherited(now);
        let inherited = inherited.map(|(machine, inherited)| (machine.as_str(), inherited.priority));
        let mut priorities: BTreeMap<&str, u8> = BTreeMap::new();
        for (machine, priority) in announced.chain(inherited) {
            let reserved = priorities.entry(machine).or_default();
            *reserved = (*reserved).max(priority);
        }
        priorities
    }
}
