//! Placement of tasks: among the machines that a job allows, the one that the task leaves fullest is chosen,
//! and machines that the job's leader leads itself are preferred.

use crate::peer::MachineStatus;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobSpec};
use crate::units::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as a placement target: its status as reported by its leader, less the resources requested since.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementTarget<'a> {
    /// The machine.
    pub machine: &'a MachineStatus,
    /// Free resources.
    pub free: Resources,
    /// Resources requested since the report, which the machine's leader has not seen yet.
    pub unacknowledged: Resources,
    /// Whether the job's leader also leads the machine and thus sees at once what is free on it.
    pub local: bool,
    /// The minimum priority of work that may use the machine, if it is reserved.
    pub reserved_for: Option<u8>,
}

impl PlacementTarget<'_> {
    /// Whether the job may use this machine at all.
    pub fn is_allowed(&self, spec: &JobSpec) -> bool {
        (self.machine.spot <= spec.spot_allowed)
            && (spec.machine_types.is_empty() || spec.machine_types.contains(&self.machine.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.machine.zone)
            && self.machine.total.can_hold(spec.resources_per_task)
    }

    /// Resources that are free once all tasks have ended whose priorities `stays` does not select.
    fn free_after_ending_others(&self, stays: impl Fn(u8) -> bool) -> Resources {
        let staying = self.machine.used_by_priority.iter().filter(|(priority, _)| stays(*priority));
        staying.fold(self.machine.total - self.unacknowledged, |free, (_, used)| free - *used)
    }

    /// Allocates resources for an attempt.
    pub fn take(&mut self, resources: Resources) {
        self.free = self.free - resources;
        self.unacknowledged = self.unacknowledged + resources;
    }

    /// Resources that are free once all tasks of lower priority, and those that are already being stopped,
    /// are gone. A machine that is being emptied must not look fuller than one that is not.
    pub fn free_after_preemption(&self, priority: u8) -> Resources {
        self.free_after_ending_others(|running| running >= priority)
    }

    /// Resources that are free once all tasks of at most this base priority have ended by themselves, whether
    /// guaranteed or not.
    pub fn free_after_completion(&self, base_priority: u8) -> Resources {
        self.free_after_ending_others(|running| running % GUARANTEED_PRIORITY_BONUS > base_priority)
    }

    /// Resources that borrowing work can get at once: it may not preempt other borrowing work of its own base
    /// priority or above.
    pub fn free_after_preemption_by_borrower(&self, priority: u8) -> Resources {
        let base_priority = priority % GUARANTEED_PRIORITY_BONUS;
        self.free_after_ending_others(|running| {
            running >= priority || (base_priority..GUARANTEED_PRIORITY_BONUS).contains(&running)
        })
    }
}

/// Whether a task of `spec` cannot be placed if a task of `failed` could not.
pub fn is_at_least_as_demanding(spec: &JobSpec, failed: &JobSpec) -> bool {
    spec.resources_per_task.can_hold(failed.resources_per_task)
        && spec.spot_allowed <= failed.spot_allowed
        && spec.priority <= failed.priority
        && (failed.machine_types.is_empty() || spec.machine_types == failed.machine_types)
        && (failed.zone.is_none() || spec.zone == failed.zone)
}

/// The number of a job's tasks in each zone, including old attempts that are not yet gone.
pub type ZoneCounts = BTreeMap<String, u32>;

/// Whether one more task may be placed in this zone.
pub fn is_zone_allowed(spec: &JobSpec, counts: &ZoneCounts, zone: &str) -> bool {
    if spec.one_zone && counts.iter().any(|(other, &count)| count > 0 && other != zone) {
        return false;
    }
    !spec.spread || counts.get(zone).copied().unwrap_or(0) < spec.task_count.div_ceil(2)
}

/// The cost of placing a task on a target; the lowest is preferred.
fn placement_cost(spec: &JobSpec, target: &PlacementTarget) -> (bool, bool, i64, bool, bool, i64, bool, i64) {
    let left = target.free - spec.resources_per_task;
    // Among equally full machines, one that has the image already. Where each task uses a whole machine, all
    // machines count as equally full.
    let fetches_image = !target.machine.images.contains(&spec.image_hash);
    let alone = target.machine.total.max_count_of(spec.resources_per_task) == 1;
    let risky = target.machine.spot && spec.is_urgent_without_checkpoints();
    // Machines that are about equally full are ranked by whether the job's leader leads them: if several
    // leaders each choose the very fullest machines, half of their attempts are refused when many tasks are
    // placed.
    let half_empty = left.cpus * 2 > target.machine.total.cpus;
    (
        risky,
        alone && fetches_image,
        left.gpus,
        half_empty,
        !target.local,
        left.cpus,
        fetches_image,
        left.memory,
    )
}

/// Finds targets for up to `count` tasks, each the machine that the task leaves fullest, and allocates the
/// resources. Filling the fullest machine first, then the next, gives the same result as a new choice for
/// each task, and visits every machine once. Returns the index of each task's target.
#[must_use]
pub fn place_tasks(
    spec: &JobSpec,
    targets: &mut [PlacementTarget],
    counts: &mut ZoneCounts,
    count: usize,
    is_usable: impl Fn(&MachineStatus) -> bool,
) -> Vec<usize> {
    let mut candidates: Vec<_> = targets
        .iter()
        .enumerate()
        .filter(|(_, target)| {
            target.free.can_hold(spec.resources_per_task)
                && target.reserved_for.is_none_or(|priority| spec.priority >= priority)
                && target.is_allowed(spec)
                && is_zone_allowed(spec, counts, &target.machine.zone)
                && is_usable(target.machine)
        })
        .map(|(i, target)| (placement_cost(spec, target), i))
        .collect();
    candidates.sort_unstable();
    let mut found = Vec::new();
    for (_, i) in candidates {
        let zone = &targets[i].machine.zone;
        while found.len() < count
            && targets[i].free.can_hold(spec.resources_per_task)
            && is_zone_allowed(spec, counts, zone)
        {
            targets[i].take(spec.resources_per_task);
            *counts.entry(zone.clone()).or_default() += 1;
            found.push(i);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

/// Finds targets for all tasks of a gang, or none, without allocating resources. If all must be in one zone,
/// each zone is tried, and the one that ends up fullest is preferred.
#[must_use]
pub fn place_gang(
    spec: &JobSpec,
    targets: &[PlacementTarget],
    counts: &ZoneCounts,
    is_usable: impl Fn(&MachineStatus) -> bool,
) -> Option<Vec<usize>> {
    let place_within = |zone: Option<&str>| {
        let mut targets = targets.to_vec();
        let is_usable =
            |machine: &MachineStatus| zone.is_none_or(|zone| machine.zone == zone) && is_usable(machine);
        let found = place_tasks(spec, &mut targets, &mut counts.clone(), spec.task_count as usize, is_usable);
        let left: i64 = found.iter().map(|&i| targets[i].free.cpus).sum();
        (found.len() == spec.task_count as usize).then_some((left, found))
    };
    if !spec.one_zone {
        return place_within(None).map(|(_, found)| found);
    }
    let zones: BTreeSet<&str> = targets.iter().map(|target| target.machine.zone.as_str()).collect();
    let found = zones.into_iter().filter_map(|zone| place_within(Some(zone)));
    found.min_by_key(|(left, _)| *left).map(|(_, found)| found)
}

#[cfg(test)]
mod tests;
