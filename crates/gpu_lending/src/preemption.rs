//! Decides which tasks may be preempted for a service, and chooses those whose preemption costs least.
//!
//! [`choose_preemptions`] chooses a machine for each missing replica. It prefers machines that have the container image, then
//! those where the fewest GPUs are preempted, then those where the least work is lost. Gangs are preempted as a whole, so a
//! gang counts with all its GPUs, and resources that it frees on other machines are used for the next replicas before anything
//! else is preempted.

use crate::ResourceVector;
use crate::ledger::{Claim, LenderShare};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A service with replicas that can't be placed on free resources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaDemand {
    /// Its team.
    pub team: String,
    /// Its base priority (without the guarantee bonus).
    pub base_priority: u8,
    /// Whether it is within its team's guarantee.
    pub within_guarantee: bool,
    /// The resources of one replica.
    pub resources_per_replica: ResourceVector,
    /// How many replicas are neither placed nor covered by a claim.
    pub replicas: u32,
    /// How many more replicas may be placed in each zone; None: no limit.
    pub zone_quota: Option<BTreeMap<String, u32>>,
    /// Whether all replicas must be in one zone.
    pub one_zone: bool,
}

/// A machine that the service may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Resources that are neither in use nor reserved.
    pub free: ResourceVector,
    /// Whether the service's container image is on the machine.
    pub has_image: bool,
}

/// A running task that might be preempted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its job.
    pub job: String,
    /// Its index.
    pub index: u32,
    /// Its attempt.
    pub attempt: u64,
    /// Its team.
    pub team: String,
    /// Its base priority (without the guarantee bonus).
    pub base_priority: u8,
    /// Whether it is within its team's guarantee, by the rule that all leaders share.
    pub within_guarantee: bool,
    /// Whether it belongs to a gang.
    pub is_gang: bool,
    /// The machine that it runs on.
    pub machine: String,
    /// The resources that it uses there.
    pub resources: ResourceVector,
    /// Work that a preemption loses, in milliseconds of run time: the duration of a checkpoint, or the whole run time so far
    /// if the job writes no checkpoints.
    pub lost_work_ms: u64,
    /// Whether it must not be preempted for now: it is already lent, being stopped, or a replica that started recently.
    pub protected: bool,
}

/// Whether a task may be preempted for a service. Work within its team's guarantee is never preempted. A service within its
/// team's guarantee may preempt all work that other teams run beyond theirs; any other service may preempt only such work
/// of lower priority.
#[must_use]
pub fn can_preempt(demand: &ReplicaDemand, task: &Task) -> bool {
    !task.within_guarantee
        && task.team != demand.team
        && (demand.within_guarantee || task.base_priority < demand.base_priority)
}

/// A preemption unit: tasks that can only be preempted together.
struct Unit<'a> {
    tasks: Vec<&'a Task>,
    is_gang: bool,
    is_preemptible: bool,
}

impl Unit<'_> {
    /// The resources that the tasks use on a machine.
    fn resources_on(&self, machine: &str) -> ResourceVector {
        let tasks_there = self.tasks.iter().filter(|task| task.machine == machine);
        tasks_there.fold(ResourceVector::default(), |sum, task| sum + task.resources)
    }

    /// The GPUs that the tasks use on all machines, in thousandths.
    fn gpus(&self) -> i64 {
        self.tasks.iter().map(|task| task.resources.gpus).sum()
    }

    /// The work that a preemption loses, in thousandths of GPU-seconds.
    fn lost_work(&self) -> i64 {
        self.tasks
            .iter()
            .map(|task| {
                task.resources.gpus.max(1)
                    * i64::try_from(task.lost_work_ms / 1000).unwrap_or(i64::MAX / 4096)
            })
            .sum()
    }
}

/// Groups tasks into preemption units: the tasks of a gang form one unit, every other task is a unit of its own.
fn group_into_units<'a>(demand: &ReplicaDemand, tasks: &'a [Task]) -> Vec<Unit<'a>> {
    let mut by_unit: BTreeMap<(&str, Option<u32>), Vec<&Task>> = BTreeMap::new();
    for task in tasks {
        by_unit.entry((&task.job, (!task.is_gang).then_some(task.index))).or_default().push(task);
    }
    // A gang can't be preempted in part, so it is not preempted at all if one of its tasks must not be.
    let is_preemptible =
        |tasks: &[&Task]| tasks.iter().all(|task| can_preempt(demand, task) && !task.protected);
    let unit = |tasks: Vec<&'a Task>| Unit {
        is_gang: tasks[0].is_gang,
        is_preemptible: is_preemptible(&tasks),
        tasks,
    };
    by_unit.into_values().map(unit).collect()
}

/// Chooses a machine for each missing replica, and the tasks to preempt there. Replicas that fit into free resources, or for
/// which no tasks can be preempted, are left out. The result is deterministic and names no task whose preemption is
/// unnecessary.
#[must_use]
pub fn choose_preemptions(demand: &ReplicaDemand, machines: &[Machine], tasks: &[Task]) -> Vec<Claim> {
    let units = group_into_units(demand, tasks);
    let mut planning = Planning {
        demand,
        machines,
        units: &units,
        free: machines.iter().map(|machine| (machine.name.as_str(), machine.free)).collect(),
        zones: demand.zone_quota.clone(),
        only_zone: None,
        preempted: BTreeSet::new(),
        plans: BTreeMap::new(),
    };
    for unplaced in (1..=demand.replicas).rev() {
        let Some((machine, victims)) = planning.best_machine(unplaced) else { break };
        planning.place(machine, &victims);
    }
    let plans = planning.plans.into_iter().filter(|(_, plan)| plan.replicas > 0);
    plans.map(|(machine, plan)| build_claim(demand, &units, machine, plan)).collect()
}

/// The preemptions on one machine.
#[derive(Default)]
struct MachinePlan {
    /// Free resources, less those of replicas for which nothing is preempted.
    free: ResourceVector,
    /// The units to preempt, as indices into [`Planning::units`].
    units: Vec<usize>,
    /// The number of replicas for which they are preempted.
    replicas: u32,
}

/// The state of [`choose_preemptions`], which places replicas one after the other.
struct Planning<'a> {
    demand: &'a ReplicaDemand,
    machines: &'a [Machine],
    units: &'a [Unit<'a>],
    /// Free resources by machine, including those of units preempted so far.
    free: BTreeMap<&'a str, ResourceVector>,
    /// How many more replicas may be placed in each zone; None: no limit.
    zones: Option<BTreeMap<String, u32>>,
    /// The zone of the first replica, if all replicas must be in one zone.
    only_zone: Option<&'a str>,
    /// The units preempted so far, as indices into `units`.
    preempted: BTreeSet<usize>,
    plans: BTreeMap<&'a str, MachinePlan>,
}

/// The cost of placing a replica on a machine. Costs are compared field by field, in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Cost<'a> {
    /// Whether anything is preempted.
    preempts: bool,
    /// Whether the machine lacks the image.
    lacks_image: bool,
    /// The preempted GPUs, in thousandths, per replica that they serve; times 1000 for precision.
    gpus: i64,
    /// The lost work, in thousandths of GPU-seconds, per replica that the preemption serves; times 1000 for precision.
    lost_work: i64,
    /// GPUs left over on the machine, in thousandths. Best fit: the fewer are left over, the more machines stay empty.
    left_over: i64,
    /// Makes the order total.
    machine: &'a str,
}

impl<'a> Planning<'a> {
    fn free_on(&self, machine: &str) -> ResourceVector {
        self.free.get(machine).copied().unwrap_or_default()
    }

    fn is_zone_allowed(&self, zone: &str) -> bool {
        let has_quota = self.zones.as_ref().is_none_or(|left| left.get(zone).is_some_and(|n| *n > 0));
        has_quota && self.only_zone.is_none_or(|only| only == zone)
    }

    /// The machine with the least cost for the next of `unplaced` replicas, and the units to preempt there.
    fn best_machine(&self, unplaced: u32) -> Option<(&'a Machine, Vec<usize>)> {
        let allowed = self.machines.iter().filter(|machine| self.is_zone_allowed(&machine.zone));
        let options = allowed.filter_map(|machine| {
            let (cost, victims) = self.cost(machine, unplaced)?;
            Some((cost, machine, victims))
        });
        let best = options.min_by(|a, b| a.0.cmp(&b.0))?;
        Some((best.1, best.2))
    }

    /// The cost of placing a replica on a machine, and the units to preempt there. None if it can't run there.
    fn cost<'m>(&self, machine: &'m Machine, unplaced: u32) -> Option<(Cost<'m>, Vec<usize>)> {
        let units = self.units;
        let free = self.free_on(&machine.name);
        let victims = choose_victims(self.demand, units, &self.preempted, &machine.name, free)?;
        let gpus: i64 = victims.iter().map(|&unit| units[unit].gpus()).sum();
        let lost_work: i64 = victims.iter().map(|&unit| units[unit].lost_work()).sum();
        // Resources that a gang frees on other machines serve other replicas.
        let served = self.replicas_served_by(&victims).clamp(1, unplaced);
        let freed = victims.iter().fold(free, |sum, &unit| sum + units[unit].resources_on(&machine.name));
        let left_over = freed - self.demand.resources_per_replica;
        let per_replica = |amount: i64| amount.saturating_mul(1000) / i64::from(served);
        let cost = Cost {
            preempts: !victims.is_empty(),
            lacks_image: !machine.has_image,
            gpus: per_replica(gpus),
            lost_work: per_replica(lost_work),
            left_over: left_over.gpus,
            machine: &machine.name,
        };
        Some((cost, victims))
    }

    /// How many replicas fit on all machines of these units after their preemption.
    fn replicas_served_by(&self, victims: &[usize]) -> u32 {
        let tasks = victims.iter().flat_map(|&unit| &self.units[unit].tasks);
        let names: BTreeSet<&str> = tasks.map(|task| task.machine.as_str()).collect();
        let replicas_on = |machine: &Machine| {
            let free = self.free_on(&machine.name);
            let freed =
                victims.iter().fold(free, |sum, &unit| sum + self.units[unit].resources_on(&machine.name));
            freed.max_count_of(self.demand.resources_per_replica)
        };
        self.machines.iter().filter(|machine| names.contains(machine.name.as_str())).map(replicas_on).sum()
    }

    /// Places a replica on a machine after the preemption of these units.
    fn place(&mut self, machine: &'a Machine, victims: &[usize]) {
        self.add_to_plan(machine, victims);
        for &unit in victims {
            for task in &self.units[unit].tasks {
                if let Some(free) = self.free.get_mut(task.machine.as_str()) {
                    *free = *free + task.resources;
                }
            }
            self.preempted.insert(unit);
        }
        if let Some(free) = self.free.get_mut(machine.name.as_str()) {
            *free = *free - self.demand.resources_per_replica;
        }
        if let Some(left) = self.zones.as_mut().and_then(|zones| zones.get_mut(&machine.zone)) {
            *left -= 1;
        }
        if self.demand.one_zone {
            self.only_zone = Some(&machine.zone);
        }
    }

    /// Adds a replica to a machine's plan. A gang that was preempted for an earlier replica is added to this plan as well if
    /// the new replica needs the resources that it frees on this machine.
    fn add_to_plan(&mut self, machine: &'a Machine, victims: &[usize]) {
        let units = self.units;
        let mut available = self.free_on(&machine.name);
        let mut needed_units = victims.to_vec();
        let new_plan = || MachinePlan { free: machine.free, ..MachinePlan::default() };
        let plan = self.plans.entry(&machine.name).or_insert_with(new_plan);
        for &unit in self.preempted.iter().filter(|&&unit| units[unit].is_gang && !plan.units.contains(&unit))
        {
            let freed = units[unit].resources_on(&machine.name);
            if freed != ResourceVector::default()
                && !(available - freed).can_hold(self.demand.resources_per_replica)
            {
                needed_units.push(unit);
            } else {
                available = available - freed;
            }
        }
        plan.units.append(&mut needed_units);
        if plan.units.is_empty() {
            plan.free = plan.free - self.demand.resources_per_replica;
        } else {
            plan.replicas += 1;
        }
    }
}

/// Builds the claim for a machine's plan.
fn build_claim(demand: &ReplicaDemand, units: &[Unit], machine: &str, mut plan: MachinePlan) -> Claim {
    // Drops units that are not needed: a unit chosen for the first replica may have become superfluous by the units chosen
    // for the later ones.
    plan.units.sort_by_key(|&unit| (Reverse((units[unit].lost_work(), units[unit].gpus())), unit));
    let mut available =
        plan.units.iter().fold(plan.free, |sum, &unit| sum + units[unit].resources_on(machine));
    plan.units.retain(|&unit| {
        let without = available - units[unit].resources_on(machine);
        let is_needed = without.max_count_of(demand.resources_per_replica) < plan.replicas;
        available = if is_needed { available } else { without };
        is_needed
    });
    let mut shares: BTreeMap<&str, LenderShare> = BTreeMap::new();
    let tasks = plan.units.iter().flat_map(|&unit| &units[unit].tasks);
    for task in tasks.filter(|task| task.machine == machine) {
        let share = shares.entry(&task.job).or_insert_with(|| LenderShare {
            lender: task.team.clone(),
            job: task.job.clone(),
            tasks: Vec::new(),
            resources: ResourceVector::default(),
        });
        share.tasks.push((task.index, task.attempt));
        share.resources = share.resources + task.resources;
    }
    Claim {
        machine: machine.to_owned(),
        replicas: plan.replicas,
        resources_per_replica: demand.resources_per_replica,
        shares: shares.into_values().collect(),
    }
}

/// Chooses the units to preempt on a machine so that one more replica fits, without superfluous ones. None if the replica
/// can't fit.
fn choose_victims(
    demand: &ReplicaDemand,
    units: &[Unit],
    preempted: &BTreeSet<usize>,
    machine: &str,
    free: ResourceVector,
) -> Option<Vec<usize>> {
    if free.can_hold(demand.resources_per_replica) {
        return Some(Vec::new());
    }
    let mut candidates: Vec<usize> = (0..units.len())
        .filter(|&unit| {
            units[unit].is_preemptible
                && !preempted.contains(&unit)
                && units[unit].resources_on(machine) != ResourceVector::default()
        })
        .collect();
    candidates.sort_by_key(|&unit| (units[unit].gpus(), units[unit].lost_work(), unit));
    // The cheapest unit that is sufficient by itself.
    let single = candidates
        .iter()
        .copied()
        .find(|&unit| (free + units[unit].resources_on(machine)).can_hold(demand.resources_per_replica));
    candidates.sort_by_key(|&unit| (units[unit].is_gang, units[unit].lost_work(), units[unit].gpus(), unit));
    let several = take_sufficient(candidates, demand, units, machine, free)?;
    let cost = |chosen: &[usize]| {
        let gpus: i64 = chosen.iter().map(|&unit| units[unit].gpus()).sum();
        (gpus, chosen.iter().map(|&unit| units[unit].lost_work()).sum::<i64>())
    };
    match single {
        Some(unit) if cost(&[unit]) < cost(&several) => Some(vec![unit]),
        _ => Some(several),
    }
}

/// Takes candidates in their order until one replica fits, and drops those that turn out superfluous. None if all candidates
/// together are not sufficient.
fn take_sufficient(
    candidates: Vec<usize>,
    demand: &ReplicaDemand,
    units: &[Unit],
    machine: &str,
    free: ResourceVector,
) -> Option<Vec<usize>> {
    let (mut available, mut chosen) = (free, Vec::new());
    for unit in candidates {
        if available.can_hold(demand.resources_per_replica) {
            break;
        }
        available = available + units[unit].resources_on(machine);
        chosen.push(unit);
    }
    if !available.can_hold(demand.resources_per_replica) {
        return None;
    }
    // Earlier units may be superfluous next to the last one. Dropping them also keeps them out of the machine's cost.
    chosen.retain(|&unit| {
        let without = available - units[unit].resources_on(machine);
        let is_needed = !without.can_hold(demand.resources_per_replica);
        available = if is_needed { available } else { without };
        is_needed
    });
    Some(chosen)
}

#[cfg(test)]
mod tests;
