//! Headroom: resources kept free so that work within a guarantee starts immediately. Also chooses the zone in which the
//! machines for a single-zone gang are added.

use super::reserved_capacity::MAX_TASKS_PER_MACHINE;
use super::scale_out::Capacity;
use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::spec::{MachineType, MachineTypes};
use crate::units::{Micros, Resources};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The resource in which headroom is measured. If there are machine types without GPUs, the processors of GPU machines
/// don't count as processor headroom.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dimension {
    Cpus,
    Gpus,
}

impl Dimension {
    fn amount_in(self, resources: Resources) -> i64 {
        match self {
            Dimension::Cpus => resources.cpus,
            Dimension::Gpus => resources.gpus,
        }
    }
}

/// Demand for the resources to keep free for guarantees. Work within a guarantee should start immediately even in a
/// surge, and machines take long to boot.
pub(super) fn headroom_demands(
    guaranteed: Resources,
    types: &MachineTypes,
    machines: &BTreeMap<&str, &MachineSnapshot>,
) -> Vec<Demand> {
    let missing = |dimension| missing_headroom(guaranteed, types, machines, dimension);
    [Dimension::Cpus, Dimension::Gpus].into_iter().filter_map(missing).collect()
}

fn missing_headroom(
    guaranteed: Resources,
    types: &MachineTypes,
    machines: &BTreeMap<&str, &MachineSnapshot>,
    dimension: Dimension,
) -> Option<Demand> {
    let is_for_gpus = dimension == Dimension::Gpus;
    let has_types_without_gpus = types.values().any(|machine_type| machine_type.gpus <= 0.0);
    let is_counted =
        |total: Resources| (total.gpus > 0) == is_for_gpus || (!has_types_without_gpus && !is_for_gpus);
    let largest = types
        .values()
        .map(MachineType::capacity)
        .filter(|total| is_counted(*total))
        .max_by_key(|total| dimension.amount_in(*total))?;
    let schedulable =
        || machines.values().filter(|machine| machine.is_schedulable && is_counted(machine.total));
    let free: i64 = schedulable().map(|machine| dimension.amount_in(machine.free).max(0)).sum();
    let used: i64 = schedulable().map(|machine| dimension.amount_in(machine.total)).sum::<i64>() - free;
    // Headroom grows with the resources in use and is zero when nothing runs.
    let missing = crate::job_shard::headroom(dimension.amount_in(guaranteed), used) - free;
    (missing > 0).then(|| Demand {
        resources_per_task: largest,
        machine_types: Vec::new(),
        zone: None,
        one_zone: false,
        spot_allowed: false,
        count: u32::try_from(missing / dimension.amount_in(largest).max(1) + 1).unwrap_or(u32::MAX),
        estimated_run_time: Micros(0),
        priority: 0,
        max_queue_time: Micros(0),
        gang_size: 1,
    })
}

/// The zone in which to add machines for a single-zone gang, if machines for it are arriving already. It is the zone
/// with the most arriving capacity, except when that is too little and the zone has no more capacity. Machines spread
/// over several zones could not run the gang.
pub(super) fn choose_gang_zone(
    demand: &Demand,
    types: &MachineTypes,
    arriving: &[Capacity],
    is_exhausted: impl Fn(&str) -> bool,
) -> Option<String> {
    if !demand.one_zone || demand.gang_size <= 1 {
        return None;
    }
    let mut tasks_by_zone: BTreeMap<&str, i64> = BTreeMap::new();
    for Capacity { pool, resources } in arriving {
        if demand.can_run_on(&pool.machine_type, &pool.zone, pool.spot) {
            let tasks = resources.max_count_of(demand.resources_per_task).clamp(0, MAX_TASKS_PER_MACHINE);
            *tasks_by_zone.entry(&pool.zone).or_default() += tasks;
        }
    }
    if tasks_by_zone.values().all(|tasks| *tasks == 0) {
        return None;
    }
    let is_allowed = |zone: &&String| demand.zone.as_ref().is_none_or(|only| only == *zone);
    for zone in types.values().flat_map(|machine_type| &machine_type.zones).filter(is_allowed) {
        tasks_by_zone.entry(zone).or_default();
    }
    let can_complete_gang =
        |(zone, tasks): &(&str, i64)| *tasks >= i64::from(demand.count) || !is_exhausted(zone);
    let best = tasks_by_zone.into_iter().filter(can_complete_gang);
    best.max_by_key(|(zone, tasks)| (*tasks, Reverse(*zone))).map(|(zone, _)| zone.to_owned())
}

#[cfg(test)]
mod tests;
