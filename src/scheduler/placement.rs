//! Where a task goes: among the machines that its job allows, the one it leaves fullest, those that the job's leader leads
//! itself first.

use crate::peer::MachineStatus;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobSpec};
use crate::units::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as a leader of jobs sees it: as its own leader describes it, less what has been asked for since.
#[derive(Clone, Debug, PartialEq)]
pub struct Place<'a> {
    /// The machine.
    pub machine: &'a MachineStatus,
    /// Free room.
    pub free: Resources,
    /// What has been asked for since, which the machine's leader has not seen.
    pub unseen: Resources,
    /// The leader of jobs leads it itself, and sees at once what is free there.
    pub local: bool,
    /// Reserved for work of at least this priority.
    pub reserved_for: Option<u8>,
}

impl Place<'_> {
    /// Whether the job may use this machine at all.
    pub fn is_allowed(&self, spec: &JobSpec) -> bool {
        (self.machine.spot <= spec.spot_allowed)
            && (spec.machine_types.is_empty() || spec.machine_types.contains(&self.machine.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.machine.zone)
            && self.machine.total.can_hold(spec.resources_per_task)
    }

    /// Room that is left once tasks end of priorities for which `stays` is false.
    fn free_beside(&self, stays: impl Fn(u8) -> bool) -> Resources {
        let staying = self.machine.used_by_priority.iter().filter(|(priority, _)| stays(*priority));
        staying.fold(self.machine.total - self.unseen, |free, (_, used)| free - *used)
    }

    /// Takes room for a start.
    pub fn take(&mut self, room: Resources) {
        self.free = self.free - room;
        self.unseen = self.unseen + room;
    }

    /// Room there will be once tasks of lower priority than this are gone, and those that are being
    /// stopped already: a machine that is being emptied must not look fuller than one that is not.
    pub fn free_for(&self, priority: u8) -> Resources {
        self.free_beside(|running| running >= priority)
    }

    /// Room there will be once all that is no more urgent than this rank has ended by itself, whoever is guaranteed it.
    pub fn free_in_time(&self, rank: u8) -> Resources {
        self.free_beside(|running| running % GUARANTEED_PRIORITY_BONUS > rank)
    }

    /// What work that borrows can have at once: it may not stop other borrowed work of its own rank or above.
    pub fn free_for_borrowed(&self, priority: u8) -> Resources {
        let rank = priority % GUARANTEED_PRIORITY_BONUS;
        self.free_beside(|running| {
            running >= priority || (rank..GUARANTEED_PRIORITY_BONUS).contains(&running)
        })
    }
}

/// Whether a task of `spec` finds no room either once one of `failed` has found none.
pub fn is_no_easier(spec: &JobSpec, failed: &JobSpec) -> bool {
    spec.resources_per_task.can_hold(failed.resources_per_task)
        && spec.spot_allowed <= failed.spot_allowed
        && spec.priority <= failed.priority
        && (failed.machine_types.is_empty() || spec.machine_types == failed.machine_types)
        && (failed.zone.is_none() || spec.zone == failed.zone)
}

/// How many of a job's tasks run in each zone, old attempts that are not yet gone included.
pub type ZoneCounts = BTreeMap<String, u32>;

/// Whether one more task may go to this zone.
pub fn is_zone_allowed(spec: &JobSpec, counts: &ZoneCounts, zone: &str) -> bool {
    if spec.one_zone && counts.iter().any(|(other, &count)| count > 0 && other != zone) {
        return false;
    }
    !spec.spread || counts.get(zone).copied().unwrap_or(0) < spec.task_count.div_ceil(2)
}

/// How well a task goes to a place: the least goes first.
fn fit(spec: &JobSpec, place: &Place) -> (bool, bool, i64, bool, bool, i64, bool, i64) {
    let left = place.free - spec.resources_per_task;
    // Among equally full ones, the one that need not fetch the image. Where a task takes a
    // machine for itself all are as good as equally full.
    let fetches_image = !place.machine.images.contains(&spec.image_hash);
    let alone = place.machine.total.max_count_of(spec.resources_per_task) == 1;
    let risky = place.machine.spot && spec.is_urgent_without_checkpoints();
    // Of machines about as full those that the job's leader leads itself: several leaders that each take the very
    // fullest have half of their starts refused when much is placed.
    let half_empty = left.cpus * 2 > place.machine.total.cpus;
    (
        risky,
        alone && fetches_image,
        left.gpus,
        half_empty,
        !place.local,
        left.cpus,
        fetches_image,
        left.memory,
    )
}

/// Places for up to `count` tasks, each on the machine that it leaves fullest, and takes the room. Filling
/// the fullest machine first, then the next, comes to the same as choosing anew for each task, and
/// looks at every machine once. Returns the index of each task's place.
#[must_use]
pub fn place_tasks(
    spec: &JobSpec,
    places: &mut [Place],
    counts: &mut ZoneCounts,
    count: usize,
    is_usable: impl Fn(&MachineStatus) -> bool,
) -> Vec<usize> {
    let mut candidates: Vec<_> = places
        .iter()
        .enumerate()
        .filter(|(_, place)| {
            place.free.can_hold(spec.resources_per_task)
                && place.reserved_for.is_none_or(|priority| spec.priority >= priority)
                && place.is_allowed(spec)
                && is_zone_allowed(spec, counts, &place.machine.zone)
                && is_usable(place.machine)
        })
        .map(|(i, place)| (fit(spec, place), i))
        .collect();
    candidates.sort_unstable();
    let mut found = Vec::new();
    for (_, i) in candidates {
        let zone = &places[i].machine.zone;
        while found.len() < count
            && places[i].free.can_hold(spec.resources_per_task)
            && is_zone_allowed(spec, counts, zone)
        {
            places[i].take(spec.resources_per_task);
            *counts.entry(zone.clone()).or_default() += 1;
            found.push(i);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

/// Places for all tasks of a gang, or none; takes no room. With one zone for all, each zone is tried, the one
/// that ends up fullest first.
#[must_use]
pub fn place_gang(
    spec: &JobSpec,
    places: &[Place],
    counts: &ZoneCounts,
    is_usable: impl Fn(&MachineStatus) -> bool,
) -> Option<Vec<usize>> {
    let place_within = |zone: Option<&str>| {
        let mut places = places.to_vec();
        let is_usable =
            |machine: &MachineStatus| zone.is_none_or(|zone| machine.zone == zone) && is_usable(machine);
        let found = place_tasks(spec, &mut places, &mut counts.clone(), spec.task_count as usize, is_usable);
        let left: i64 = found.iter().map(|&i| places[i].free.cpus).sum();
        (found.len() == spec.task_count as usize).then_some((left, found))
    };
    if !spec.one_zone {
        return place_within(None).map(|(_, found)| found);
    }
    let zones: BTreeSet<&str> = places.iter().map(|place| place.machine.zone.as_str()).collect();
    let found = zones.into_iter().filter_map(|zone| place_within(Some(zone)));
    found.min_by_key(|(left, _)| *left).map(|(_, found)| found)
}

#[cfg(test)]
mod tests;
