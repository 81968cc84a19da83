//! Which machines to reserve for a gang that finds no room.

use super::placement::Place;
use crate::quota::tier::QuotaTier;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobSpec};
use crate::units::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// A gang that waits for machines.
#[derive(Clone, Copy, Debug)]
pub struct ReservationRequest<'a> {
    /// The gang.
    pub spec: &'a JobSpec,
    /// How it stands to its team's guarantee.
    pub quota_tier: QuotaTier,
    /// It has waited for so long that work no more urgent must not overtake it.
    pub overdue: bool,
    /// Machines reserved for it before.
    pub previous: &'a [String],
    /// Machines that other leaders of jobs have reserved.
    pub taken: &'a BTreeSet<String>,
}

/// What was reserved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReservedMachines {
    /// The machines.
    pub names: Vec<String>,
    /// How many of them other work could have used.
    pub withheld: usize,
}

/// Machines in one zone, or in any, that hold the whole gang.
struct Choice {
    /// How many of them were reserved before.
    kept: usize,
    /// The less the better: room that must come free, as a negative number.
    free: i64,
    places: Vec<usize>,
}

impl ReservationRequest<'_> {
    /// The room that the gang may count on.
    ///
    /// What lies within a guarantee may have borrowed work of any rank stopped, borrowed work may not.
    /// Guards against a gang that is overtaken for ever: later ones of its rank, which it may not stop, went to each
    /// machine that came free while too few were without any. Once overdue it keeps those too; what is there runs out.
    fn attainable(&self, place: &Place) -> Resources {
        let priority = self.spec.priority;
        match self.quota_tier {
            QuotaTier::Beyond if self.overdue => place.free_in_time(priority % GUARANTEED_PRIORITY_BONUS),
            _ if self.overdue => place.free_for(priority + 1),
            QuotaTier::Beyond => place.free_for_borrowed(priority),
            _ => place.free_for(priority),
        }
    }

    fn was_reserved(&self, place: &Place) -> bool {
        self.previous.contains(&place.machine.name)
    }

    fn can_use(&self, place: &Place) -> bool {
        place.is_allowed(self.spec)
            && (self.was_reserved(place) || !self.taken.contains(&place.machine.name))
            && place.reserved_for.is_none_or(|priority| priority <= self.spec.priority)
            && self.attainable(place).can_hold(self.spec.resources_per_task)
    }

    /// The places that will do, by the zone that the gang must share; all under one key if it need not.
    fn usable_by_zone(&self, places: &[Place]) -> BTreeMap<String, Vec<usize>> {
        let mut zones: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (i, place) in places.iter().enumerate().filter(|(_, place)| self.can_use(place)) {
            let zone = if self.spec.one_zone { place.machine.zone.clone() } else { String::new() };
            zones.entry(zone).or_default().push(i);
        }
        zones
    }

    /// The best places of a zone: first those reserved before, then where the least stays that can't be stopped, then
    /// where the least has to go.
    fn choose(&self, places: &[Place], usable: &[usize]) -> Choice {
        let spec = self.spec;
        // Where there are guarantees, stopping costs more than an empty machine: those with the least on them.
        let stoppable = if spec.priority < GUARANTEED_PRIORITY_BONUS { spec.priority } else { 0 };
        let key = |&i: &usize| {
            let place = &places[i];
            let after = -place.free_for(stoppable).cpus.min(spec.resources_per_task.cpus);
            let fetches_image = !place.machine.images.contains(&spec.image_hash);
            (
                !self.was_reserved(place),
                after,
                fetches_image,
                -place.free.cpus.min(spec.resources_per_task.cpus),
                i,
            )
        };
        let mut best: Vec<(bool, i64, bool, i64, usize)> = usable.iter().map(key).collect();
        best.sort_unstable();
        best.truncate(spec.task_count as usize);
        Choice {
            kept: best.iter().filter(|(is_new, ..)| !is_new).count(),
            free: best.iter().map(|(_, after, _, missing, _)| -missing - after).sum(),
            places: best.into_iter().map(|(.., i)| i).collect(),
        }
    }
}

/// Reserves machines that a waiting gang could use from less urgent work, so that the room its tasks
/// need can come together: those reserved already, if they will do, else those where the least has to
/// go. One that is overdue also reserves those where work runs that is no more urgent and that it may not stop. Nothing
/// is reserved if the gang would not fit even then.
pub fn reserve_machines(places: &mut [Place], request: &ReservationRequest) -> ReservedMachines {
    let spec = request.spec;
    let best = request
        .usable_by_zone(places)
        .into_values()
        .filter(|usable| usable.len() >= spec.task_count as usize)
        .map(|usable| request.choose(places, &usable))
        .max_by_key(|choice| (choice.kept, choice.free));
    let mut reserved = ReservedMachines::default();
    for i in best.map(|choice| choice.places).unwrap_or_default() {
        let place = &mut places[i];
        reserved.withheld += usize::from(place.reserved_for.is_none_or(|priority| priority < spec.priority));
        place.reserved_for = place.reserved_for.max(Some(spec.priority));
        // A second gang must not count on the same room.
        place.take(spec.resources_per_task);
        reserved.names.push(place.machine.name.clone());
    }
    reserved
}

#[cfg(test)]
mod tests;
