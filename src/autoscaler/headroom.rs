//! Headroom: resources kept free so that work within a guarantee starts at once, and the zone in which a gang's machines
//! come together.

use super::reserved_capacity::MAX_TASKS_PER_MACHINE;
use super::scale_out::Capacity;
use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::spec::{MachineType, MachineTypes};
use crate::units::{Micros, Resources};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// What headroom is reckoned in. Processors beside GPUs don't count as such where there are machines without GPUs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dimension {
    Cpus,
    Gpus,
}

impl Dimension {
    fn of(self, resources: Resources) -> i64 {
        match self {
            Dimension::Cpus => resources.cpus,
            Dimension::Gpus => resources.gpus,
        }
    }
}

/// Demand for the resources to keep free for guarantees: work within them should start at once, also when the next
/// surge comes, and a machine takes long to boot.
pub(super) fn headroom(
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
    let wants_gpus = dimension == Dimension::Gpus;
    let has_plain_types = types.values().any(|machine_type| machine_type.gpus <= 0.0);
    let counts = |total: Resources| (total.gpus > 0) == wants_gpus || (!has_plain_types && !wants_gpus);
    let largest = types
        .values()
        .map(MachineType::capacity)
        .filter(|total| counts(*total))
        .max_by_key(|total| dimension.of(*total))?;
    let open = || machines.values().filter(|machine| machine.is_schedulable && counts(machine.total));
    let free: i64 = open().map(|machine| dimension.of(machine.free).max(0)).sum();
    let used: i64 = open().map(|machine| dimension.of(machine.total)).sum::<i64>() - free;
    // Where little runs, little is kept free, and nothing where nothing runs.
    let missing = crate::job_shard::headroom(dimension.of(guaranteed), used) - free;
    (missing > 0).then(|| Demand {
        resources_per_task: largest,
        machine_types: Vec::new(),
        zone: None,
        one_zone: false,
        spot_allowed: false,
        count: u32::try_from(missing / dimension.of(largest).max(1) + 1).unwrap_or(u32::MAX),
        estimated_run_time: Micros(0),
        priority: 0,
        max_queue_time: Micros(0),
        gang_size: 1,
    })
}

/// The zone in which a gang that stays in one is to come together, if some is on its way already: where the most is
/// arriving, unless that is too little and no more can be had there. Machines in several zones would be of no use.
pub(super) fn zone_for(
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
        if demand.accepts(&pool.kind, &pool.zone, pool.spot) {
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
    let can_complete = |(zone, tasks): &(&str, i64)| *tasks >= i64::from(demand.count) || !is_exhausted(zone);
    let best = tasks_by_zone.into_iter().filter(can_complete);
    best.max_by_key(|(zone, tasks)| (*tasks, Reverse(*zone))).map(|(zone, _)| zone.to_owned())
}

#[cfg(test)]
mod tests;
