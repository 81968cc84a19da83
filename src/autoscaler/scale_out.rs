//! Scale-out: which machines the waiting work is worth, beside those that are there or on their way.

use super::cloud::{MachineState, ScaleOut};
use super::headroom::{headroom, zone_for};
use super::{Autoscaler, SCALE_OUT_LIMIT};
use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::spec::MachineType;
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// How long a pool without capacity is left alone.
const NO_CAPACITY_PAUSE: Micros = Micros::from_millis(15_000);
/// A machine that doesn't report after this many times its boot time may never come.
const OVERDUE_BOOT_TIMES: u64 = 2;
/// Shortest run time and queueing time that are reckoned with.
const MIN_SPAN: Micros = Micros::from_millis(1_000);

/// Where machines come from: a type in a zone, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CapacityPool {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

impl CapacityPool {
    fn of(scale_out: &ScaleOut) -> CapacityPool {
        let ScaleOut { machine_type: kind, zone, spot, .. } = scale_out.clone();
        CapacityPool { kind, zone, spot }
    }

    fn is_for(&self, demand: &Demand) -> bool {
        demand.accepts(&self.kind, &self.zone, self.spot)
    }
}

/// A machine, or what is left of it.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    pub(super) pool: CapacityPool,
    pub(super) resources: Resources,
}

/// What the scale-out did so far.
#[derive(Default)]
pub(super) struct ScaleOutState {
    /// How many scale-outs this process has named.
    named: u64,
    /// Asked for, and no answer yet that settles it.
    pub(super) unconfirmed: Option<ScaleOut>,
    /// Pools that are left alone until a time.
    no_capacity: BTreeMap<CapacityPool, Micros>,
    /// Machines that were added and are not counted on any more.
    pub(super) overdue: BTreeSet<String>,
}

impl ScaleOutState {
    /// The cloud has no more of these.
    pub(super) fn pause_pool(&mut self, now: Micros, scale_out: &ScaleOut) {
        self.no_capacity.insert(CapacityPool::of(scale_out), now + NO_CAPACITY_PAUSE);
    }

    fn is_exhausted(&self, kind: &str, zone: &str, spot: bool) -> bool {
        let pool = CapacityPool { kind: kind.to_owned(), zone: zone.to_owned(), spot };
        self.no_capacity.contains_key(&pool)
    }
}

/// What there is for the waiting work, as far as more urgent work has not taken it.
struct Supply {
    /// Machines that take new tasks.
    open: Vec<Capacity>,
    /// Machines on their way.
    arriving: Vec<Capacity>,
    /// Run time of the queueable work so far, in microseconds.
    queued: f64,
}

/// What supply leaves of a demand.
struct Shortfall {
    /// How many tasks.
    tasks: i64,
    /// The only zone in which machines are of use.
    only_zone: Option<String>,
}

impl Autoscaler {
    /// The next scale-out that the waiting work is worth.
    pub(super) fn next_scale_out(
        &mut self,
        now: Micros,
        machines: &BTreeMap<&str, &MachineSnapshot>,
    ) -> Option<ScaleOut> {
        self.scale_out.no_capacity.retain(|_, until| now < *until);
        let arriving = self.arriving_capacity(now, machines);
        let mut supply = Supply { open: self.open_capacity(machines), arriving, queued: 0.0 };
        let mut demands = self.demand.fresh(now);
        demands.retain(|demand| demand.count > 0);
        demands.extend(headroom(self.guaranteed, &self.machine_types, machines));
        let cheapest = demands.iter().find_map(|demand| {
            let shortfall = self.shortfall(demand, &mut supply)?;
            self.cheapest_scale_out(demand, &shortfall, &supply)
        });
        cheapest.map(|scale_out| {
            self.scale_out.named += 1;
            let name = format!("r-{:016x}-{}", self.boot, self.scale_out.named);
            ScaleOut { name, ..scale_out }
        })
    }

    /// Machines on their way: added by us, or listed and not reporting. One that is overdue may never come, so it is
    /// replaced; but only a few at a time, or a surge would be added twice when all of it is late.
    fn arriving_capacity(
        &mut self,
        now: Micros,
        machines: &BTreeMap<&str, &MachineSnapshot>,
    ) -> Vec<Capacity> {
        let most_overdue = (machines.len() / 10).max(2);
        let mut overdue: BTreeSet<String> = BTreeSet::new();
        let mut is_overdue = |name: &String, age: Micros, boot_time: Micros| {
            let late = age.0 > boot_time.0 * OVERDUE_BOOT_TIMES && overdue.len() < most_overdue;
            if late {
                overdue.insert(name.clone());
            }
            late
        };
        let mut arriving = Vec::new();
        let capacity = |kind: &String, zone: &String, spot: bool| Capacity {
            pool: CapacityPool { kind: kind.clone(), zone: zone.clone(), spot },
            resources: self.resources_of(kind).unwrap_or_default(),
        };
        for (name, booting) in &self.inventory.booting {
            if !is_overdue(name, now.since(booting.since), self.boot_time(&booting.kind)) {
                arriving.push(capacity(&booting.kind, &booting.zone, booting.spot));
            }
        }
        for listed in self.inventory.iter() {
            let counted = machines.contains_key(listed.name.as_str())
                || self.inventory.booting.contains_key(&listed.name)
                || self.inventory.is_removed(&listed.name);
            if listed.state != MachineState::Failed
                && !counted
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

    /// Machines that take new tasks and are left to no gang.
    fn open_capacity(&self, machines: &BTreeMap<&str, &MachineSnapshot>) -> Vec<Capacity> {
        let is_open =
            |m: &&&MachineSnapshot| m.is_schedulable && !self.reserved.machines.contains_key(&m.name);
        let capacity = |m: &&MachineSnapshot| Capacity {
            pool: CapacityPool { kind: m.machine_type.clone(), zone: m.zone.clone(), spot: m.spot },
            resources: m.total,
        };
        machines.values().filter(is_open).map(capacity).collect()
    }

    /// What supply leaves of a demand; None if that is nothing.
    fn shortfall(&self, demand: &Demand, supply: &mut Supply) -> Option<Shortfall> {
        let shortfall = if demand.may_queue() {
            Shortfall { tasks: self.queue_excess(demand, supply)?, only_zone: None }
        } else {
            self.unmet_at_once(demand, &mut supply.arriving)
        };
        (shortfall.tasks > 0).then_some(shortfall)
    }

    /// Work that may queue is weighed against what the machines there are get done in that time; only the excess is
    /// worth a machine, which earns nothing while it boots.
    fn queue_excess(&self, demand: &Demand, supply: &mut Supply) -> Option<i64> {
        let estimate = demand.estimated_run_time.max(MIN_SPAN).0 as f64;
        let horizon = demand.max_queue_time.max(MIN_SPAN).0 as f64;
        // The last of the queue should have run by then. How long that takes is taken from the queue as a whole: one
        // long job at its end must not add machines for all before it.
        let usual = self.demand.typical.map_or(estimate, |typical| typical.run_time.0 as f64);
        let window = (horizon - usual / 2.0).max(horizon / 2.0);
        let slots = |capacity: &Capacity| capacity.resources.max_count_of(demand.resources_per_task);
        let is_usable = |capacity: &&Capacity| {
            let CapacityPool { kind, spot, .. } = &capacity.pool;
            capacity.pool.is_for(demand) && !self.reserved.excludes(kind, *spot, demand.priority)
        };
        let open: i64 = supply.open.iter().filter(is_usable).map(slots).sum();
        let arriving: i64 = supply.arriving.iter().filter(|c| c.pool.is_for(demand)).map(slots).sum();
        let tasks = i64::from(demand.count);
        supply.queued += tasks as f64 * estimate;
        let excess = supply.queued - (open + arriving) as f64 * window;
        (excess > 0.0).then(|| tasks.min((excess / window).ceil() as i64))
    }

    /// Work that must start at once: what is there is taken already, so only what arrives counts, once.
    fn unmet_at_once(&self, demand: &Demand, arriving: &mut [Capacity]) -> Shortfall {
        let only_zone = zone_for(demand, &self.machine_types, arriving, |zone| {
            let fitting = |t: &&MachineType| demand.accepts(&t.name, zone, false);
            self.machine_types
                .values()
                .filter(fitting)
                .all(|t| self.scale_out.is_exhausted(&t.name, zone, false))
        });
        let mut tasks = i64::from(demand.count);
        for Capacity { pool, resources } in arriving {
            let is_in_zone = only_zone.as_ref().is_none_or(|zone| *zone == pool.zone);
            if tasks > 0 && pool.is_for(demand) && is_in_zone {
                let served = resources.max_count_of(demand.resources_per_task).clamp(0, tasks);
                *resources = *resources - demand.resources_per_task.times(served);
                tasks -= served;
            }
        }
        Shortfall { tasks, only_zone }
    }

    /// The cheapest way to get machines for this much of a demand.
    fn cheapest_scale_out(
        &self,
        demand: &Demand,
        shortfall: &Shortfall,
        supply: &Supply,
    ) -> Option<ScaleOut> {
        let mut options: Vec<(f64, ScaleOut)> = Vec::new();
        for machine_type in self.machine_types.values() {
            let tasks_each =
                machine_type.capacity().max_count_of(demand.resources_per_task).min(i64::from(u32::MAX));
            if tasks_each <= 0 {
                continue;
            }
            let exact_count = shortfall.tasks as f64 / tasks_each as f64;
            let whole_count = (shortfall.tasks + tasks_each - 1) / tasks_each;
            let count = whole_count.min(i64::from(SCALE_OUT_LIMIT)) as u32;
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let (kind, zone) = (machine_type.name.clone(), zone.clone());
                    let option = ScaleOut { name: String::new(), machine_type: kind, zone, spot, count };
                    if self.is_eligible(demand, shortfall, supply, &option) {
                        let price = if spot { machine_type.spot_price } else { machine_type.price };
                        // For a large backlog the price of room counts, for a small one that of the machines it takes.
                        options.push((price * f64::from(count).max(exact_count), option));
                    }
                }
            }
        }
        options.into_iter().min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, cheapest)| cheapest)
    }

    /// Whether a scale-out would help this demand, and its pool has machines.
    fn is_eligible(
        &self,
        demand: &Demand,
        shortfall: &Shortfall,
        supply: &Supply,
        option: &ScaleOut,
    ) -> bool {
        let ScaleOut { machine_type: kind, zone, spot, count, .. } = option;
        let is_in_zone = shortfall.only_zone.as_ref().is_none_or(|only| only == zone);
        if !demand.accepts(kind, zone, *spot) || !is_in_zone || self.scale_out.is_exhausted(kind, zone, *spot)
        {
            return false;
        }
        // What is reserved from this work is of use to it only once there is plenty.
        let same = |capacity: &&Capacity| capacity.pool.kind == *kind && capacity.pool.spot == *spot;
        let there = supply.open.iter().filter(same).count()
            + supply.arriving.iter().filter(same).count()
            + *count as usize;
        !self.reserved.excludes(kind, *spot, demand.priority) || there >= self.reserved.plenty(kind, *spot)
    }
}
