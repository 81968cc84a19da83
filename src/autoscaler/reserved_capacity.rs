//! Capacity reserved for urgent work: whole machine classes if the work fits on no others, or single machines for gangs
//! of large tasks.

use super::{Autoscaler, GUARANTEES_RESERVED_FRACTION, RESERVED_FRACTION};
use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound for the tasks counted per machine, so that sums don't overflow.
pub(super) const MAX_TASKS_PER_MACHINE: i64 = 10_000;
/// In a fleet with fewer machines than this, a class may be reserved even if it makes up most of the fleet.
const SMALL_FLEET_MACHINES: usize = 10;
/// A class with this many times the machines of `machines_at_hand` is not reserved as a whole, because reserving some
/// of its machines is enough.
const PLENTY_FACTOR: usize = 3;

/// How many machines should be available for gangs of this shape: enough for two gangs at the same time.
fn machines_at_hand(demand: &Demand) -> usize {
    demand.gang_size as usize * 2
}

/// A machine type, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineClass {
    pub(super) machine_type: String,
    pub(super) spot: bool,
}

impl MachineClass {
    fn of_machine(machine: &MachineSnapshot) -> MachineClass {
        MachineClass { machine_type: machine.machine_type.clone(), spot: machine.spot }
    }

    fn contains(&self, machine: &MachineSnapshot) -> bool {
        self.machine_type == machine.machine_type && self.spot == machine.spot
    }
}

/// A machine class reserved for work of at least a priority.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReservedClass {
    pub(super) class: MachineClass,
    pub(super) priority: u8,
}

/// The capacity reserved for urgent work.
#[derive(Default)]
pub(super) struct ReservedCapacity {
    /// Classes that are reserved as a whole.
    pub(super) classes: Vec<ReservedClass>,
    /// Machines reserved one by one, each with the lowest priority that may use it. They collect free resources for
    /// gangs of large tasks while small tasks use the rest of the fleet.
    pub(super) machines: BTreeMap<String, u8>,
    /// The number of machines from which on a class is not reserved as a whole.
    plenty_machines: BTreeMap<MachineClass, usize>,
}

impl ReservedCapacity {
    /// Whether the class is reserved as a whole, for any priority.
    pub(super) fn is_class_reserved(&self, machine_type: &str, spot: bool) -> bool {
        self.classes
            .iter()
            .any(|reserved| reserved.class.machine_type == machine_type && reserved.class.spot == spot)
    }

    /// Whether the class is reserved for work of a higher priority than `priority`.
    pub(super) fn is_reserved_from(&self, machine_type: &str, spot: bool, priority: u8) -> bool {
        let same = |class: &MachineClass| class.machine_type == machine_type && class.spot == spot;
        self.classes.iter().any(|reserved| same(&reserved.class) && reserved.priority > priority)
    }

    /// The number of machines from which on the class is available to other work as well.
    pub(super) fn plenty_machines(&self, machine_type: &str, spot: bool) -> usize {
        self.plenty_machines
            .get(&MachineClass { machine_type: machine_type.to_owned(), spot })
            .copied()
            .unwrap_or(0)
    }
}

/// Machines of one zone that could be reserved for gangs of a shape, the best ones first.
#[derive(Default)]
struct ZoneCandidates<'a> {
    /// For each machine: whether it is not reserved yet, its free processors (negated), its name.
    machines: Vec<(bool, i64, &'a str)>,
}

impl ZoneCandidates<'_> {
    /// The order in which zones are preferred: by the number of machines already reserved, then by free processors.
    fn score(&self) -> (usize, i64) {
        let reserved_count = self.machines.iter().filter(|(is_new, ..)| !is_new).count();
        let free = self.machines.iter().map(|(_, negated_cpus, _)| -negated_cpus).sum();
        (reserved_count, free)
    }
}

impl Autoscaler {
    /// Recomputes the capacity reserved for urgent work.
    pub(super) fn update_reserved(&mut self, now: Micros, machines: &[&MachineSnapshot]) {
        let demands = self.demand.fresh(now);
        let lowest_priority = demands.iter().map(|demand| demand.priority).min().unwrap_or(0);
        let classes = self.machine_classes();
        let mut plenty_machines = BTreeMap::new();
        let mut reserved = Vec::new();
        for demand in demands.iter().filter(|demand| demand.priority > lowest_priority) {
            self.reserve_classes(demand, &classes, machines, &mut plenty_machines, &mut reserved);
        }
        self.lift_starving_reservations(&demands, &classes, machines, &mut reserved);
        self.reserved.classes = reserved;
        self.reserved.plenty_machines = plenty_machines;
        self.reserved.machines = self.choose_reserved_machines(&demands, lowest_priority, machines);
    }

    fn machine_classes(&self) -> BTreeSet<MachineClass> {
        let spot_and_on_demand = |machine_type: &String| {
            [false, true].map(|spot| MachineClass { machine_type: machine_type.clone(), spot })
        };
        self.machine_types.values().flat_map(|machine_type| spot_and_on_demand(&machine_type.name)).collect()
    }

    fn can_run_on_class(&self, demand: &Demand, class: &MachineClass) -> bool {
        class.spot <= demand.spot_allowed
            && demand.can_run_on_type(&class.machine_type)
            && self
                .resources_of(&class.machine_type)
                .is_some_and(|resources| resources.can_hold(demand.resources_per_task))
    }

    /// Reserves the classes on which this shape fits if it fits on no others and they make up the smaller part of the
    /// fleet. Reserved machines are idle at times; if they were most of the fleet, this would cost more than it gains.
    fn reserve_classes(
        &self,
        demand: &Demand,
        classes: &BTreeSet<MachineClass>,
        machines: &[&MachineSnapshot],
        plenty_machines: &mut BTreeMap<MachineClass, usize>,
        reserved: &mut Vec<ReservedClass>,
    ) {
        let only_classes: Vec<&MachineClass> =
            classes.iter().filter(|class| self.can_run_on_class(demand, class)).collect();
        let is_in_only_classes =
            |machine: &&&MachineSnapshot| only_classes.iter().any(|class| class.contains(machine));
        let only_classes_cpus: i64 =
            machines.iter().filter(is_in_only_classes).map(|machine| machine.total.cpus).sum();
        let fleet_cpus: i64 = machines.iter().map(|machine| machine.total.cpus).sum();
        let is_smaller_part = only_classes_cpus * 2 <= fleet_cpus || machines.len() < SMALL_FLEET_MACHINES;
        if only_classes.is_empty()
            || only_classes.len() * 2 > classes.len()
            || !is_smaller_part
            || classes.len() <= 2
        {
            return;
        }
        for class in only_classes {
            let schedulable =
                machines.iter().filter(|machine| machine.is_schedulable && class.contains(machine)).count();
            let plenty_count = plenty_machines.entry(class.clone()).or_default();
            *plenty_count = (*plenty_count).max(machines_at_hand(demand) * PLENTY_FACTOR);
            let entry = ReservedClass { class: class.clone(), priority: demand.priority };
            if schedulable < *plenty_count && !reserved.contains(&entry) {
                reserved.push(entry);
            }
        }
    }

    /// Lifts reservations that leave work of lower priority no other machines, since it would wait forever. A few spot
    /// machines beside many idle reserved ones don't count as an alternative.
    fn lift_starving_reservations(
        &self,
        demands: &[Demand],
        classes: &BTreeSet<MachineClass>,
        machines: &[&MachineSnapshot],
        reserved: &mut Vec<ReservedClass>,
    ) {
        for demand in demands {
            let is_available = |class: &MachineClass| {
                !reserved.iter().any(|other| other.class == *class && other.priority > demand.priority)
            };
            let (mut fitting, mut available) = (0, 0);
            for machine in machines.iter().filter(|machine| machine.is_schedulable) {
                let class = MachineClass::of_machine(machine);
                if self.can_run_on_class(demand, &class) {
                    let slots =
                        machine.total.max_count_of(demand.resources_per_task).clamp(0, MAX_TASKS_PER_MACHINE);
                    fitting += slots;
                    available += if is_available(&class) { slots } else { 0 };
                }
            }
            let available_classes: Vec<&MachineClass> = classes
                .iter()
                .filter(|class| self.can_run_on_class(demand, class) && is_available(class))
                .collect();
            let is_only_few_spot =
                available * 4 < fitting && available_classes.iter().all(|class| class.spot);
            if is_only_few_spot || available_classes.is_empty() {
                reserved.retain(|other| {
                    other.priority <= demand.priority || !self.can_run_on_class(demand, &other.class)
                });
            }
        }
    }

    /// Chooses machines to reserve for gangs whose tasks take most of a machine: enough for two of the largest recent
    /// gangs, in one zone if the gang requires that, and never more than a small fraction of the suitable machines.
    /// Machines that are reserved already are preferred, otherwise one machine after another would be emptied; next
    /// come those with the most free resources.
    fn choose_reserved_machines(
        &self,
        demands: &[Demand],
        lowest_priority: u8,
        machines: &[&MachineSnapshot],
    ) -> BTreeMap<String, u8> {
        let mut chosen: BTreeMap<String, u8> = BTreeMap::new();
        let fraction = if self.has_guarantees { GUARANTEES_RESERVED_FRACTION } else { RESERVED_FRACTION };
        for demand in
            demands.iter().filter(|demand| demand.priority > lowest_priority && demand.gang_size > 1)
        {
            let fitting: Vec<&MachineSnapshot> = machines
                .iter()
                .copied()
                .filter(|machine| {
                    machine.is_schedulable
                        && demand.can_run_on(&machine.machine_type, &machine.zone, machine.spot)
                        && machine.total.max_count_of(demand.resources_per_task) == 1
                })
                .collect();
            let count = machines_at_hand(demand).min(fitting.len() / fraction);
            let zones = self.zone_candidates(demand, &fitting, &chosen);
            let best = zones.into_values().map(|mut candidates| {
                candidates.machines.sort_unstable();
                candidates.machines.truncate(count);
                candidates
            });
            if let Some(best) = best.max_by_key(ZoneCandidates::score) {
                chosen.extend(best.machines.into_iter().map(|(.., name)| (name.to_owned(), demand.priority)));
            }
        }
        chosen
    }

    /// The machines, by zone, on which a task fits beside work of at least its priority; a single list if the gang may
    /// span zones.
    fn zone_candidates<'a>(
        &self,
        demand: &Demand,
        fitting: &[&'a MachineSnapshot],
        chosen: &BTreeMap<String, u8>,
    ) -> BTreeMap<&'a str, ZoneCandidates<'a>> {
        let mut zones: BTreeMap<&str, ZoneCandidates> = BTreeMap::new();
        for machine in fitting {
            // Tasks that are being stopped don't count, or the machine would lose its reservation while it is emptied.
            let counted =
                machine.used_by_priority.iter().filter(|(priority, _)| *priority >= demand.priority);
            let remaining = counted.fold(machine.total, |left, (_, taken)| left - *taken);
            let is_draining = self.scale_in.draining.contains(&machine.name);
            if remaining.can_hold(demand.resources_per_task)
                && !is_draining
                && !chosen.contains_key(&machine.name)
            {
                let zone = if demand.one_zone { machine.zone.as_str() } else { "" };
                let is_new = !self.reserved.machines.contains_key(&machine.name);
                let candidate = (is_new, -machine.free.cpus, machine.name.as_str());
                zones.entry(zone).or_default().machines.push(candidate);
            }
        }
        zones
    }
}
