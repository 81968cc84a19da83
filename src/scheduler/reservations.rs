//! Selection of machines to reserve for a gang that cannot be placed.

use super::placement::PlacementTarget;
use crate::quota::tier::QuotaTier;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobSpec};
use crate::units::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// A gang that waits for machines.
#[derive(Clone, Copy, Debug)]
pub struct ReservationRequest<'a> {
    /// The gang.
    pub spec: &'a JobSpec,
    /// The job's tier relative to its team's guarantee.
    pub quota_tier: QuotaTier,
    /// Whether it has waited so long that work that is not more urgent must not overtake it.
    pub overdue: bool,
    /// Machines that were reserved for it before.
    pub previous: &'a [String],
    /// Machines that other job leaders have reserved.
    pub taken: &'a BTreeSet<String>,
}

/// The result of a reservation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReservedMachines {
    /// The machines.
    pub names: Vec<String>,
    /// How many of them other work could have used.
    pub withheld: usize,
}

/// Machines in one zone, or in any zone, that hold the whole gang.
struct Choice {
    /// How many of them were reserved before.
    kept: usize,
    /// Processors that are free now plus those free after preemption, capped at the gang's request. The
    /// greater this is, the less has to be freed.
    free: i64,
    targets: Vec<usize>,
}

impl ReservationRequest<'_> {
    /// The resources on a target that the gang can count on.
    ///
    /// A gang within its guarantee may have borrowed work of any base priority preempted; a borrowing gang
    /// may not. Guards against a gang that is overtaken forever: later work of its base priority, which it
    /// may not preempt, took each machine that became free while too few machines were without such work.
    /// Once overdue, the gang reserves those machines too, and waits until the tasks there end.
    fn attainable(&self, target: &PlacementTarget) -> Resources {
        let priority = self.spec.priority;
        match self.quota_tier {
            QuotaTier::Beyond if self.overdue => {
                target.free_after_completion(priority % GUARANTEED_PRIORITY_BONUS)
            }
            _ if self.overdue => target.free_after_preemption(priority + 1),
            QuotaTier::Beyond => target.free_after_preemption_by_borrower(priority),
            _ => target.free_after_preemption(priority),
        }
    }

    fn was_reserved(&self, target: &PlacementTarget) -> bool {
        self.previous.contains(&target.machine.name)
    }

    fn can_use(&self, target: &PlacementTarget) -> bool {
        target.is_allowed(self.spec)
            && (self.was_reserved(target) || !self.taken.contains(&target.machine.name))
            && target.reserved_for.is_none_or(|priority| priority <= self.spec.priority)
            && self.attainable(target).can_hold(self.spec.resources_per_task)
    }

    /// The usable targets, by the zone that the gang must share; all under one key if it need not share a
    /// zone.
    fn usable_by_zone(&self, targets: &[PlacementTarget]) -> BTreeMap<String, Vec<usize>> {
        let mut zones: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (i, target) in targets.iter().enumerate().filter(|(_, target)| self.can_use(target)) {
            let zone = if self.spec.one_zone { target.machine.zone.clone() } else { String::new() };
            zones.entry(zone).or_default().push(i);
        }
        zones
    }

    /// Chooses the best targets of a zone: first those reserved before, then those with the fewest resources
    /// that cannot be preempted, then those where the least has to be freed.
    fn choose(&self, targets: &[PlacementTarget], usable: &[usize]) -> Choice {
        let spec = self.spec;
        // Where teams have guarantees, preempting tasks costs more than an empty machine, so the machines
        // with the least work are preferred.
        let stoppable = if spec.priority < GUARANTEED_PRIORITY_BONUS { spec.priority } else { 0 };
        let key = |&i: &usize| {
            let target = &targets[i];
            let after = -target.free_after_preemption(stoppable).cpus.min(spec.resources_per_task.cpus);
            let fetches_image = !target.machine.images.contains(&spec.image_hash);
            (
                !self.was_reserved(target),
                after,
                fetches_image,
                -target.free.cpus.min(spec.resources_per_task.cpus),
                i,
            )
        };
        let mut best: Vec<(bool, i64, bool, i64, usize)> = usable.iter().map(key).collect();
        best.sort_unstable();
        best.truncate(spec.task_count as usize);
        Choice {
            kept: best.iter().filter(|(is_new, ..)| !is_new).count(),
            free: best.iter().map(|(_, after, _, missing, _)| -missing - after).sum(),
            targets: best.into_iter().map(|(.., i)| i).collect(),
        }
    }
}

/// Reserves machines that a waiting gang may take from less urgent work, so that the resources for all its
/// tasks become free together. Machines that are already reserved are preferred, then those where the least
/// has to be freed. An overdue gang also reserves machines with work that is not more urgent and that it may
/// not preempt. Nothing is reserved if the gang would not fit even then.
pub fn reserve_machines(targets: &mut [PlacementTarget], request: &ReservationRequest) -> ReservedMachines {
    let spec = request.spec;
    let best = request
        .usable_by_zone(targets)
        .into_values()
        .filter(|usable| usable.len() >= spec.task_count as usize)
        .map(|usable| request.choose(targets, &usable))
        .max_by_key(|choice| (choice.kept, choice.free));
    let mut reserved = ReservedMachines::default();
    for i in best.map(|choice| choice.targets).unwrap_or_default() {
        let target = &mut targets[i];
        reserved.withheld += usize::from(target.reserved_for.is_none_or(|priority| priority < spec.priority));
        target.reserved_for = target.reserved_for.max(Some(spec.priority));
        // A second gang must not count on the same resources.
        target.take(spec.resources_per_task);
        reserved.names.push(target.machine.name.clone());
    }
    reserved
}

#[cfg(test)]
mod tests;
