//! What may be preempted for a service, and where the least is lost.
//!
//! [`choose_preemptions`] gives each missing replica a machine: one that has its image, then where the fewest GPUs are
//! preempted, then where the least work is lost. Gangs are preempted whole, so a gang counts with all its GPUs, and what it
//! frees elsewhere serves the next replicas before anything else is preempted.

use crate::ResourceVector;
use crate::ledger::{Claim, LenderShare};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A service some of whose replicas can't be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaDemand {
    /// Its team.
    pub team: String,
    /// Its priority, without the guarantee's addition.
    pub base_priority: u8,
    /// Whether it is within its team's guarantee.
    pub within_guarantee: bool,
    /// What a replica takes.
    pub resources_per_replica: ResourceVector,
    /// How many are neither placed nor claimed for.
    pub replicas: u32,
    /// How many more may go to a zone, if that is bounded.
    pub zone_quota: Option<BTreeMap<String, u32>>,
    /// Whether all must be in one zone.
    pub one_zone: bool,
}

/// A machine that the service may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What is free there and reserved for nobody.
    pub free: ResourceVector,
    /// Whether it has the image.
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
    /// Its priority, without the guarantee's addition.
    pub base_priority: u8,
    /// Whether it is within its team's guarantee, as all leaders decide it.
    pub within_guarantee: bool,
    /// Whether it belongs to a gang.
    pub is_gang: bool,
    /// The machine.
    pub machine: String,
    /// What it takes there.
    pub resources: ResourceVector,
    /// Work that is lost if it is preempted, in milliseconds of its run time: what it takes to save, or all that it ran if
    /// it never saves.
    pub lost_work_ms: u64,
    /// Whether it must be left alone for now: it is lent already, being stopped, or a replica that started a short time ago.
    pub protected: bool,
}

/// Whether a task may be preempted for a service. Work within its team's guarantee never is; a service within its own
/// guarantee may preempt whatever other teams run beyond theirs, and any other only what is of lower priority.
#[must_use]
pub fn may_preempt(demand: &ReplicaDemand, task: &Task) -> bool {
    !task.within_guarantee
        && task.team != demand.team
        && (demand.within_guarantee || task.base_priority < demand.base_priority)
}

/// Tasks that can only be preempted together.
struct Unit<'a> {
    tasks: Vec<&'a Task>,
    gang: bool,
    is_preemptible: bool,
}

impl Unit<'_> {
    /// What they take on a machine.
    fn on(&self, machine: &str) -> ResourceVector {
        let here = self.tasks.iter().filter(|task| task.machine == machine);
        here.fold(ResourceVector::default(), |sum, task| sum + task.resources)
    }

    /// Thousandths of GPUs that they take on all machines.
    fn gpus(&self) -> i64 {
        self.tasks.iter().map(|task| task.resources.gpus).sum()
    }

    /// Thousandths of GPU-seconds that are lost.
    fn lost(&self) -> i64 {
        self.tasks
            .iter()
            .map(|task| {
                task.resources.gpus.max(1)
                    * i64::try_from(task.lost_work_ms / 1000).unwrap_or(i64::MAX / 4096)
            })
            .sum()
    }
}

/// Gangs as one unit, all other tasks each for itself.
fn units_of<'a>(demand: &ReplicaDemand, tasks: &'a [Task]) -> Vec<Unit<'a>> {
    let mut by_unit: BTreeMap<(&str, Option<u32>), Vec<&Task>> = BTreeMap::new();
    for task in tasks {
        by_unit.entry((&task.job, (!task.is_gang).then_some(task.index))).or_default().push(task);
    }
    // A gang is left alone if any of its tasks must be: it can't be preempted in part.
    let is_preemptible =
        |tasks: &[&Task]| tasks.iter().all(|task| may_preempt(demand, task) && !task.protected);
    let unit =
        |tasks: Vec<&'a Task>| Unit { gang: tasks[0].is_gang, is_preemptible: is_preemptible(&tasks), tasks };
    by_unit.into_values().map(unit).collect()
}

/// Chooses a machine for each missing replica, and what is preempted there for it. Replicas for which there are free
/// resources, or for which nothing may be preempted, are left out. Deterministic; nothing is preempted that could be spared.
#[must_use]
pub fn choose_preemptions(demand: &ReplicaDemand, machines: &[Machine], tasks: &[Task]) -> Vec<Claim> {
    let units = units_of(demand, tasks);
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
    plans.map(|(machine, plan)| claim(demand, &units, machine, plan)).collect()
}

/// What is preempted for the replicas of one machine.
#[derive(Default)]
struct MachinePlan {
    /// Free resources, less those of replicas for which nothing is preempted.
    free: ResourceVector,
    /// Units preempted there, by index.
    units: Vec<usize>,
    /// For how many replicas.
    replicas: u32,
}

/// Replicas placed one after the other, and what that leaves.
struct Planning<'a> {
    demand: &'a ReplicaDemand,
    machines: &'a [Machine],
    units: &'a [Unit<'a>],
    /// Free resources by machine, with those of units preempted so far.
    free: BTreeMap<&'a str, ResourceVector>,
    /// How many more replicas may go to a zone, if that is bounded.
    zones: Option<BTreeMap<String, u32>>,
    /// The zone of the first replica, if all must be in one.
    only_zone: Option<&'a str>,
    preempted: BTreeSet<usize>,
    plans: BTreeMap<&'a str, MachinePlan>,
}

/// What a replica costs on a machine: the least, in the order of the fields, is best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Cost<'a> {
    /// Whether anything is preempted.
    preempts: bool,
    /// Whether the machine lacks the image.
    lacks_image: bool,
    /// Thousandths of the GPUs preempted, for each replica that they serve.
    gpus: i64,
    /// Thousandths of the work lost, for each replica that it serves.
    lost: i64,
    /// GPUs left over. The fewer, the more machines stay whole.
    left_over: i64,
    /// Decides between equals.
    machine: &'a str,
}

impl<'a> Planning<'a> {
    fn free_on(&self, machine: &str) -> ResourceVector {
        self.free.get(machine).copied().unwrap_or_default()
    }

    fn allows_zone(&self, zone: &str) -> bool {
        let has_quota = self.zones.as_ref().is_none_or(|left| left.get(zone).is_some_and(|n| *n > 0));
        has_quota && self.only_zone.is_none_or(|only| only == zone)
    }

    /// The best machine for the next replica, of `unplaced` ones, and what is preempted for it.
    fn best_machine(&self, unplaced: u32) -> Option<(&'a Machine, Vec<usize>)> {
        let allowed = self.machines.iter().filter(|machine| self.allows_zone(&machine.zone));
        let options = allowed.filter_map(|machine| {
            let (cost, victims) = self.cost(machine, unplaced)?;
            Some((cost, machine, victims))
        });
        let best = options.min_by(|a, b| a.0.cmp(&b.0))?;
        Some((best.1, best.2))
    }

    /// What a replica costs on a machine, and what is preempted for it. None: it can't run there.
    fn cost<'m>(&self, machine: &'m Machine, unplaced: u32) -> Option<(Cost<'m>, Vec<usize>)> {
        let units = self.units;
        let free = self.free_on(&machine.name);
        let victims = victims(self.demand, units, &self.preempted, &machine.name, free)?;
        let gpus: i64 = victims.iter().map(|&unit| units[unit].gpus()).sum();
        let lost: i64 = victims.iter().map(|&unit| units[unit].lost()).sum();
        // What a gang frees elsewhere serves other replicas as well.
        let served = self.replicas_served_by(&victims).clamp(1, unplaced);
        let freed = victims.iter().fold(free, |sum, &unit| sum + units[unit].on(&machine.name));
        let left_over = freed - self.demand.resources_per_replica;
        let per_replica = |amount: i64| amount.saturating_mul(1000) / i64::from(served);
        let cost = Cost {
            preempts: !victims.is_empty(),
            lacks_image: !machine.has_image,
            gpus: per_replica(gpus),
            lost: per_replica(lost),
            left_over: left_over.gpus,
            machine: &machine.name,
        };
        Some((cost, victims))
    }

    /// How many replicas all machines of these units hold once they are preempted.
    fn replicas_served_by(&self, victims: &[usize]) -> u32 {
        let tasks = victims.iter().flat_map(|&unit| &self.units[unit].tasks);
        let names: BTreeSet<&str> = tasks.map(|task| task.machine.as_str()).collect();
        let held = |machine: &Machine| {
            let free = self.free_on(&machine.name);
            let freed = victims.iter().fold(free, |sum, &unit| sum + self.units[unit].on(&machine.name));
            freed.count_of(self.demand.resources_per_replica)
        };
        self.machines.iter().filter(|machine| names.contains(machine.name.as_str())).map(held).sum()
    }

    /// Places a replica on a machine, where these units are preempted for it.
    fn place(&mut self, machine: &'a Machine, victims: &[usize]) {
        self.plan(machine, victims);
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

    /// Adds a replica to a machine's plan. What a gang frees here that was preempted for an earlier replica belongs to the
    /// plan, if the replica needs it.
    fn plan(&mut self, machine: &'a Machine, victims: &[usize]) {
        let units = self.units;
        let mut room = self.free_on(&machine.name);
        let mut used = victims.to_vec();
        let new = || MachinePlan { free: machine.free, ..MachinePlan::default() };
        let plan = self.plans.entry(&machine.name).or_insert_with(new);
        for &unit in self.preempted.iter().filter(|&&unit| units[unit].gang && !plan.units.contains(&unit)) {
            let here = units[unit].on(&machine.name);
            if here != ResourceVector::default() && !(room - here).holds(self.demand.resources_per_replica) {
                used.push(unit);
            } else {
                room = room - here;
            }
        }
        plan.units.append(&mut used);
        if plan.units.is_empty() {
            plan.free = plan.free - self.demand.resources_per_replica;
        } else {
            plan.replicas += 1;
        }
    }
}

/// The claim that a machine's plan comes to.
fn claim(demand: &ReplicaDemand, units: &[Unit], machine: &str, mut plan: MachinePlan) -> Claim {
    // Guards against preempting in vain: what the first replica needed may not be needed beside what the last one does.
    plan.units.sort_by_key(|&unit| (Reverse((units[unit].lost(), units[unit].gpus())), unit));
    let mut room = plan.units.iter().fold(plan.free, |sum, &unit| sum + units[unit].on(machine));
    plan.units.retain(|&unit| {
        let without = room - units[unit].on(machine);
        let is_needed = without.count_of(demand.resources_per_replica) < plan.replicas;
        room = if is_needed { room } else { without };
        is_needed
    });
    let mut parts: BTreeMap<&str, LenderShare> = BTreeMap::new();
    let tasks = plan.units.iter().flat_map(|&unit| &units[unit].tasks);
    for task in tasks.filter(|task| task.machine == machine) {
        let part = parts.entry(&task.job).or_insert_with(|| LenderShare {
            lender: task.team.clone(),
            from: task.job.clone(),
            tasks: Vec::new(),
            room: ResourceVector::default(),
        });
        part.tasks.push((task.index, task.attempt));
        part.room = part.room + task.resources;
    }
    Claim {
        machine: machine.to_owned(),
        replicas: plan.replicas,
        each: demand.resources_per_replica,
        parts: parts.into_values().collect(),
    }
}

/// The units to be preempted on a machine so that it holds one more replica: none that could be spared. None: it can't.
fn victims(
    demand: &ReplicaDemand,
    units: &[Unit],
    preempted: &BTreeSet<usize>,
    machine: &str,
    free: ResourceVector,
) -> Option<Vec<usize>> {
    if free.holds(demand.resources_per_replica) {
        return Some(Vec::new());
    }
    let mut candidates: Vec<usize> = (0..units.len())
        .filter(|&unit| {
            units[unit].is_preemptible
                && !preempted.contains(&unit)
                && units[unit].on(machine) != ResourceVector::default()
        })
        .collect();
    candidates.sort_by_key(|&unit| (units[unit].gpus(), units[unit].lost(), unit));
    // One that alone is enough costs one stop.
    let alone = candidates
        .iter()
        .copied()
        .find(|&unit| (free + units[unit].on(machine)).holds(demand.resources_per_replica));
    candidates.sort_by_key(|&unit| (units[unit].gang, units[unit].lost(), units[unit].gpus(), unit));
    let several = enough_of(candidates, demand, units, machine, free)?;
    let cost = |list: &[usize]| {
        let gpus: i64 = list.iter().map(|&unit| units[unit].gpus()).sum();
        (gpus, list.iter().map(|&unit| units[unit].lost()).sum::<i64>())
    };
    match alone {
        Some(unit) if cost(&[unit]) < cost(&several) => Some(vec![unit]),
        _ => Some(several),
    }
}

/// As many of the candidates, in their order, as a replica needs. None: all are not enough.
fn enough_of(
    candidates: Vec<usize>,
    demand: &ReplicaDemand,
    units: &[Unit],
    machine: &str,
    free: ResourceVector,
) -> Option<Vec<usize>> {
    let (mut room, mut chosen) = (free, Vec::new());
    for unit in candidates {
        if room.holds(demand.resources_per_replica) {
            break;
        }
        room = room + units[unit].on(machine);
        chosen.push(unit);
    }
    if !room.holds(demand.resources_per_replica) {
        return None;
    }
    // The first ones may not be needed beside the last: they don't count against the machine.
    chosen.retain(|&unit| {
        let without = room - units[unit].on(machine);
        let is_needed = !without.holds(demand.resources_per_replica);
        room = if is_needed { room } else { without };
        is_needed
    });
    Some(chosen)
}

#[cfg(test)]
mod tests;
