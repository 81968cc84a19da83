//! Scale-out: decides which machines to add for the waiting work, given those that are present or arriving.

use super::cloud::{MachineState, ScaleOut};
use super::headroom::{choose_gang_zone, headroom_demands};
use super::{Autoscaler, SCALE_OUT_LIMIT};
use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::spec::MachineType;
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// How long no machines are requested from a pool that had no capacity.
const NO_CAPACITY_PAUSE: Micros = Micros::from_millis(15_000);
/// A machine that sends no heartbeat within this many times its boot time may never come up.
const OVERDUE_BOOT_TIMES: u64 = 2;
/// Lower bound for the run times and queueing times used in estimates.
const MIN_SPAN: Micros = Micros::from_millis(1_000);

/// A pool of the cloud's machines: a machine type in a zone, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CapacityPool {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

impl CapacityPool {
    fn of_scale_out(scale_out: &ScaleOut) -> CapacityPool {
        let ScaleOut { machine_type, zone, spot, .. } = scale_out.clone();
        CapacityPool { machine_type, zone, spot }
    }

    fn can_serve(&self, demand: &Demand) -> bool {
        demand.can_run_on(&self.machine_type, &self.zone, self.spot)
    }
}

/// The resources of a machine, or what is left of them.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    pub(super) pool: CapacityPool,
    pub(super) resources: Resources,
}

/// State of the scale-out.
#[derive(Default)]
pub(super) struct ScaleOutState {
    /// How many names for scale-outs this process has used.
    names_used: u64,
    /// A scale-out that was requested but whose outcome is not known yet.
    pub(super) unconfirmed: Option<ScaleOut>,
    /// Pools without capacity, with the time until which they are not used.
    exhausted_pools: BTreeMap<CapacityPool, Micros>,
    /// Machines that were added but are overdue, so they no longer count as capacity.
    pub(super) overdue: BTreeSet<String>,
}

impl ScaleOutState {
    /// Stops using the pool of a scale-out for a while because the cloud has no capacity there.
    pub(super) fn pause_pool(&mut self, now: Micros, scale_out: &ScaleOut) {
        self.exhausted_pools.insert(CapacityPool::of_scale_out(scale_out), now + NO_CAPACITY_PAUSE);
    }

    fn is_exhausted(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let pool = CapacityPool { machine_type: machine_type.to_owned(), zone: zone.to_owned(), spot };
        self.exhausted_pools.contains_key(&pool)
    }
}

/// The capacity available to waiting work, without what more urgent work has claimed.
struct Supply {
    /// Schedulable machines.
    schedulable: Vec<Capacity>,
    /// Machines that were added but are not up yet.
    arriving: Vec<Capacity>,
    /// Total run time of the queueable work processed so far, in microseconds.
    queued: f64,
}

/// The part of a demand that the supply does not cover.
struct Shortfall {
    /// Number of tasks.
    tasks: i64,
    /// The only zone in which machines would help, if there is one.
    only_zone: Option<String>,
}

impl Autoscaler {
    /// The next scale-out for the waiting work, if one is worthwhile.
    pub(super) fn next_scale_out(
        &mut self,
        now: Micros,
        machines: &BTreeMap<&str, &MachineSnapshot>,
    ) -> Option<ScaleOut> {
        self.scale_out.exhausted_pools.retain(|_, until| now < *until);
        let arriving = self.arriving_capacity(now, machines);
        let mut supply = Supply { schedulable: self.schedulable_capacity(machines), arriving, queued: 0.0 };
        let mut demands = self.demand.fresh(now);
        demands.retain(|demand| demand.count > 0);
        demands.extend(headroom_demands(self.guaranteed, &self.machine_types, machines));
        let cheapest = demands.iter().find_map(|demand| {
            let shortfall = self.shortfall(demand, &mut supply)?;
            self.cheapest_scale_out(demand, &shortfall, &supply)
        });
        cheapest.map(|scale_out| {
            self.scale_out.names_used += 1;
            let name = format!("r-{:016x}-{}", self.boot, self.scale_out.names_used);
            ScaleOut { name, ..scale_out }
        })
    }

    /// The machines that are arriving: those that this controller added, and listed ones that send no heartbeats yet.
    /// An overdue machine may never come up, so it is not counted and gets replaced. Only a few machines count as
    /// overdue at a time, otherwise all machines of a surge would be added twice when they are late.
    fn arriving_capacity(
        &mut self,
        now: Micros,
        machines: &BTreeMap<&str, &MachineSnapshot>,
    ) -> Vec<Capacity> {
        let max_overdue = (machines.len() / 10).max(2);
        let mut overdue: BTreeSet<String> = BTreeSet::new();
        let mut is_overdue = |name: &String, age: Micros, boot_time: Micros| {
            let is_late = age.0 > boot_time.0 * OVERDUE_BOOT_TIMES && overdue.len() < max_overdue;
            if is_late {
                overdue.insert(name.clone());
            }
            is_late
        };
        let mut arriving = Vec::new();
        let capacity = |machine_type: &String, zone: &String, spot: bool| Capacity {
            pool: CapacityPool { machine_type: machine_type.clone(), zone: zone.clone(), spot },
            resources: self.resources_of(machine_type).unwrap_or_default(),
        };
        for (name, booting) in &self.inventory.booting {
            if !is_overdue(name, now.since(booting.since), self.boot_time(&booting.machine_type)) {
                arriving.push(capacity(&booting.machine_type, &booting.zone, booting.spot));
            }
        }
        for listed in self.inventory.iter() {
            let is_counted = machines.contains_key(listed.name.as_str())
                || self.inventory.booting.contains_key(&listed.name)
                || self.inventory.is_removed(&listed.name);
            if listed.state != MachineState::Failed
                && !is_counted
                && !is_overdue(
                    &listed.name,
                    Micros::from_secs(listed.age_s),
                    self.boot_time(&listed.machine_type),
                )
            {
                arriving.push(capacity(&listed.machine_type, &listed.zone, listed.spot));
            }
        }
        if overdue != self.scale_out.overdue {
            tracing::info!(machines = ?overdue, "machines overdue: no heartbeat after twice their boot time");
            self.scale_out.overdue = overdue;
        }
        arriving
    }

    /// Schedulable machines that are not reserved for a gang.
    fn schedulable_capacity(&self, machines: &BTreeMap<&str, &MachineSnapshot>) -> Vec<Capacity> {
        let is_schedulable =
            |m: &&&MachineSnapshot| m.is_schedulable && !self.reserved.machines.contains_key(&m.name);
        let capacity = |m: &&MachineSnapshot| Capacity {
            pool: CapacityPool { machine_type: m.machine_type.clone(), zone: m.zone.clone(), spot: m.spot },
            resources: m.total,
        };
        machines.values().filter(is_schedulable).map(capacity).collect()
    }

    /// The part of a demand that the supply does not cover; None if it covers all of it.
    fn shortfall(&self, demand: &Demand, supply: &mut Supply) -> Option<Shortfall> {
        let shortfall = if demand.can_queue() {
            Shortfall { tasks: self.queue_excess(demand, supply)?, only_zone: None }
        } else {
            self.immediate_shortfall(demand, &mut supply.arriving)
        };
        (shortfall.tasks > 0).then_some(shortfall)
    }

    /// Compares queueable work with what the present and arriving machines can run in the time that it may queue.
    /// Machines are added only for the excess, because they cost money while they boot.
    fn queue_excess(&self, demand: &Demand, supply: &mut Supply) -> Option<i64> {
        let run_time = demand.estimated_run_time.max(MIN_SPAN).0 as f64;
        let max_queue_time = demand.max_queue_time.max(MIN_SPAN).0 as f64;
        // The last queued task should have finished within `max_queue_time`. Its run time is taken from the average of the
        // queue, so that one long job at the end does not add machines for all the work before it.
        let typical_run_time = self.demand.typical.map_or(run_time, |typical| typical.run_time.0 as f64);
        let window = (max_queue_time - typical_run_time / 2.0).max(max_queue_time / 2.0);
        let slots = |capacity: &Capacity| capacity.resources.max_count_of(demand.resources_per_task);
        let is_usable = |capacity: &&Capacity| {
            let CapacityPool { machine_type, spot, .. } = &capacity.pool;
            capacity.pool.can_serve(demand)
                && !self.reserved.is_reserved_from(machine_type, *spot, demand.priority)
        };
        let schedulable: i64 = supply.schedulable.iter().filter(is_usable).map(slots).sum();
        let arriving: i64 =
            supply.arriving.iter().filter(|capacity| capacity.pool.can_serve(demand)).map(slots).sum();
        let tasks = i64::from(demand.count);
        supply.queued += tasks as f64 * run_time;
        let excess = supply.queued - (schedulable + arriving) as f64 * window;
        (excess > 0.0).then(|| tasks.min((excess / window).ceil() as i64))
    }

    /// The shortfall of work that must start immediately. Present machines are taken already, so only arriving capacity
    /// counts, and each part of it for one demand only.
    fn immediate_shortfall(&self, demand: &Demand, arriving: &mut [Capacity]) -> Shortfall {
        let only_zone = choose_gang_zone(demand, &self.machine_types, arriving, |zone| {
            let fitting = |t: &&MachineType| demand.can_run_on(&t.name, zone, false);
            self.machine_types
                .values()
                .filter(fitting)
                .all(|t| self.scale_out.is_exhausted(&t.name, zone, false))
        });
        let mut tasks = i64::from(demand.count);
        for Capacity { pool, resources } in arriving {
            let is_in_zone = only_zone.as_ref().is_none_or(|zone| *zone == pool.zone);
            if tasks > 0 && pool.can_serve(demand) && is_in_zone {
                let served = resources.max_count_of(demand.resources_per_task).clamp(0, tasks);
                *resources = *resources - demand.resources_per_task.times(served);
                tasks -= served;
            }
        }
        Shortfall { tasks, only_zone }
    }

    /// The cheapest scale-out that covers the shortfall of a demand.
    fn cheapest_scale_out(
        &self,
        demand: &Demand,
        shortfall: &Shortfall,
        supply: &Supply,
    ) -> Option<ScaleOut> {
        let mut options: Vec<(f64, ScaleOut)> = Vec::new();
        for candidate in self.machine_types.values() {
            let tasks_each =
                candidate.capacity().max_count_of(demand.resources_per_task).min(i64::from(u32::MAX));
            if tasks_each <= 0 {
                continue;
            }
            let exact_count = shortfall.tasks as f64 / tasks_each as f64;
            let whole_count = (shortfall.tasks + tasks_each - 1) / tasks_each;
            let count = whole_count.min(i64::from(SCALE_OUT_LIMIT)) as u32;
            for zone in &candidate.zones {
                for spot in [false, true] {
                    let (machine_type, zone) = (candidate.name.clone(), zone.clone());
                    let option = ScaleOut { name: String::new(), machine_type, zone, spot, count };
                    if self.is_eligible(demand, shortfall, supply, &option) {
                        let price = if spot { candidate.spot_price } else { candidate.price };
                        // For a large backlog the price of the needed capacity counts, for a small one that of whole
                        // machines.
                        options.push((price * f64::from(count).max(exact_count), option));
                    }
                }
            }
        }
        options.into_iter().min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, cheapest)| cheapest)
    }

    /// Whether a scale-out would help this demand and its pool has capacity.
    fn is_eligible(
        &self,
        demand: &Demand,
        shortfall: &Shortfall,
        supply: &Supply,
        option: &ScaleOut,
    ) -> bool {
        let ScaleOut { machine_type, zone, spot, count, .. } = option;
        let is_in_zone = shortfall.only_zone.as_ref().is_none_or(|only| only == zone);
        if !demand.can_run_on(machine_type, zone, *spot)
            || !is_in_zone
            || self.scale_out.is_exhausted(machine_type, zone, *spot)
        {
            return false;
        }
        // A class reserved for higher priorities helps this work only once the class has plenty of machines.
        let is_same_class =
            |capacity: &&Capacity| capacity.pool.machine_type == *machine_type && capacity.pool.spot == *spot;
        let class_machines = supply.schedulable.iter().filter(is_same_class).count()
            + supply.arriving.iter().filter(is_same_class).count()
            + *count as usize;
        !self.reserved.is_reserved_from(machine_type, *spot, demand.priority)
            || class_machines >= self.reserved.plenty_machines(machine_type, *spot)
    }
}
