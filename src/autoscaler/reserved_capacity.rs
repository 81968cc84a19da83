//! Capacity left to urgent work: whole machine types on which alone it fits, or some machines for gangs of large tasks.

use super::{Autoscaler, GUARANTEES_RESERVED_FRACTION, RESERVED_FRACTION};
use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Most tasks that one machine counts for, against overflow of sums.
pub(super) const MAX_TASKS_PER_MACHINE: i64 = 10_000;
/// In a fleet smaller than this a machine type may be reserved even if it is most of the fleet.
const SMALL_FLEET_MACHINES: usize = 10;
/// With this many times the machines that gangs should find at hand, reserving some of a type serves as well as all.
const PLENTY_FACTOR: usize = 3;

/// How many machines gangs of this shape should find at hand: two may come at a time.
fn machines_at_hand(demand: &Demand) -> usize {
    demand.gang_size as usize * 2
}

/// A machine type, spot or on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineClass {
    pub(super) kind: String,
    pub(super) spot: bool,
}

impl MachineClass {
    fn of(machine: &MachineSnapshot) -> MachineClass {
        MachineClass { kind: machine.machine_type.clone(), spot: machine.spot }
    }

    fn contains(&self, machine: &MachineSnapshot) -> bool {
        self.kind == machine.machine_type && self.spot == machine.spot
    }
}

/// A machine class left to work of at least a priority.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReservedClass {
    pub(super) class: MachineClass,
    pub(super) priority: u8,
}

/// What is left to urgent work.
#[derive(Default)]
pub(super) struct ReservedCapacity {
    /// Classes that are reserved as a whole.
    pub(super) classes: Vec<ReservedClass>,
    /// Single machines, with the priority from which on work may use them: room that comes together for gangs of large
    /// tasks while small ones fill the rest.
    pub(super) machines: BTreeMap<String, u8>,
    /// From how many machines on a class is not reserved as a whole.
    plenty: BTreeMap<MachineClass, usize>,
}

impl ReservedCapacity {
    /// Whether the class is reserved as a whole, for whatever priority.
    pub(super) fn has_class(&self, kind: &str, spot: bool) -> bool {
        self.classes.iter().any(|reserved| reserved.class.kind == kind && reserved.class.spot == spot)
    }

    /// Whether the class is reserved for work that is more urgent than `priority`.
    pub(super) fn excludes(&self, kind: &str, spot: bool, priority: u8) -> bool {
        let same = |class: &MachineClass| class.kind == kind && class.spot == spot;
        self.classes.iter().any(|reserved| same(&reserved.class) && reserved.priority > priority)
    }

    /// From how many machines on the class is of use to other work too.
    pub(super) fn plenty(&self, kind: &str, spot: bool) -> usize {
        self.plenty.get(&MachineClass { kind: kind.to_owned(), spot }).copied().unwrap_or(0)
    }
}

/// Machines of one zone that could be left to gangs of a shape: the best ones first.
#[derive(Default)]
struct ZoneCandidates<'a> {
    /// Whether it is not reserved yet, its free processors (negated), its name.
    machines: Vec<(bool, i64, &'a str)>,
}

impl ZoneCandidates<'_> {
    /// How many are reserved already, then how much is free: what makes one zone better than another.
    fn score(&self) -> (usize, i64) {
        let kept = self.machines.iter().filter(|(new, ..)| !new).count();
        let free = self.machines.iter().map(|(_, missing, _)| -missing).sum();
        (kept, free)
    }
}

impl Autoscaler {
    /// Works out anew what is left to urgent work.
    pub(super) fn update_reserved(&mut self, now: Micros, machines: &[&MachineSnapshot]) {
        let demands = self.demand.fresh(now);
        let lowest = demands.iter().map(|demand| demand.priority).min().unwrap_or(0);
        let classes = self.machine_classes();
        let mut plenty = BTreeMap::new();
        let mut reserved = Vec::new();
        for demand in demands.iter().filter(|demand| demand.priority > lowest) {
            self.reserve_classes(demand, &classes, machines, &mut plenty, &mut reserved);
        }
        self.release_for_other_work(&demands, &classes, machines, &mut reserved);
        self.reserved.classes = reserved;
        self.reserved.plenty = plenty;
        self.reserved.machines = self.choose_reserved_machines(&demands, lowest, machines);
    }

    fn machine_classes(&self) -> BTreeSet<MachineClass> {
        let both = |kind: &String| [false, true].map(|spot| MachineClass { kind: kind.clone(), spot });
        self.machine_types.values().flat_map(|machine_type| both(&machine_type.name)).collect()
    }

    fn class_fits(&self, demand: &Demand, class: &MachineClass) -> bool {
        class.spot <= demand.spot_allowed
            && demand.accepts_kind(&class.kind)
            && self
                .resources_of(&class.kind)
                .is_some_and(|resources| resources.can_hold(demand.resources_per_task))
    }

    /// Reserves the classes on which alone this shape fits, as long as they are the smaller part of the fleet: what is
    /// reserved idles at times, and where it is most of the fleet that costs more than it gains.
    fn reserve_classes(
        &self,
        demand: &Demand,
        classes: &BTreeSet<MachineClass>,
        machines: &[&MachineSnapshot],
        plenty: &mut BTreeMap<MachineClass, usize>,
        reserved: &mut Vec<ReservedClass>,
    ) {
        let only: Vec<&MachineClass> =
            classes.iter().filter(|class| self.class_fits(demand, class)).collect();
        let in_only = |machine: &&&MachineSnapshot| only.iter().any(|class| class.contains(machine));
        let part: i64 = machines.iter().filter(in_only).map(|machine| machine.total.cpus).sum();
        let all: i64 = machines.iter().map(|machine| machine.total.cpus).sum();
        let is_smaller_part = part * 2 <= all || machines.len() < SMALL_FLEET_MACHINES;
        if only.is_empty() || only.len() * 2 > classes.len() || !is_smaller_part || classes.len() <= 2 {
            return;
        }
        for class in only {
            let open =
                machines.iter().filter(|machine| machine.is_schedulable && class.contains(machine)).count();
            let enough = plenty.entry(class.clone()).or_default();
            *enough = (*enough).max(machines_at_hand(demand) * PLENTY_FACTOR);
            let entry = ReservedClass { class: class.clone(), priority: demand.priority };
            if open < *enough && !reserved.contains(&entry) {
                reserved.push(entry);
            }
        }
    }

    /// Work of lower priority must have somewhere else to go, or it would wait for ever; a few spot machines beside
    /// many that idle are not enough.
    fn release_for_other_work(
        &self,
        demands: &[Demand],
        classes: &BTreeSet<MachineClass>,
        machines: &[&MachineSnapshot],
        reserved: &mut Vec<ReservedClass>,
    ) {
        for demand in demands {
            let is_left = |class: &MachineClass| {
                !reserved.iter().any(|other| other.class == *class && other.priority > demand.priority)
            };
            let (mut fitting, mut open) = (0, 0);
            for machine in machines.iter().filter(|machine| machine.is_schedulable) {
                let class = MachineClass::of(machine);
                if self.class_fits(demand, &class) {
                    let slots =
                        machine.total.max_count_of(demand.resources_per_task).clamp(0, MAX_TASKS_PER_MACHINE);
                    fitting += slots;
                    open += if is_left(&class) { slots } else { 0 };
                }
            }
            let left: Vec<&MachineClass> =
                classes.iter().filter(|class| self.class_fits(demand, class) && is_left(class)).collect();
            let only_few_spot = open * 4 < fitting && left.iter().all(|class| class.spot);
            if only_few_spot || left.is_empty() {
                reserved.retain(|other| {
                    other.priority <= demand.priority || !self.class_fits(demand, &other.class)
                });
            }
        }
    }

    /// Machines to leave to gangs whose tasks take most of a machine: for the two largest of late at the most, in one
    /// zone if they ask for that, and never more than a small part of those that would do. The same ones as before as
    /// long as they serve, or one machine after another would be emptied; then those that are emptiest.
    fn choose_reserved_machines(
        &self,
        demands: &[Demand],
        lowest: u8,
        machines: &[&MachineSnapshot],
    ) -> BTreeMap<String, u8> {
        let mut chosen: BTreeMap<String, u8> = BTreeMap::new();
        let fraction = if self.has_guarantees { GUARANTEES_RESERVED_FRACTION } else { RESERVED_FRACTION };
        for demand in demands.iter().filter(|demand| demand.priority > lowest && demand.gang_size > 1) {
            let fitting: Vec<&MachineSnapshot> = machines
                .iter()
                .copied()
                .filter(|machine| {
                    machine.is_schedulable
                        && demand.accepts(&machine.machine_type, &machine.zone, machine.spot)
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

    /// By zone, the machines that more urgent work leaves room on; one list for all if zones don't matter.
    fn zone_candidates<'a>(
        &self,
        demand: &Demand,
        fitting: &[&'a MachineSnapshot],
        chosen: &BTreeMap<String, u8>,
    ) -> BTreeMap<&'a str, ZoneCandidates<'a>> {
        let mut zones: BTreeMap<&str, ZoneCandidates> = BTreeMap::new();
        for machine in fitting {
            // What is being stopped counts as gone, or it would lose its place while it is emptied.
            let staying =
                machine.used_by_priority.iter().filter(|(priority, _)| *priority >= demand.priority);
            let room = staying.fold(machine.total, |left, (_, taken)| left - *taken);
            let is_draining = self.scale_in.draining.contains(&machine.name);
            if room.can_hold(demand.resources_per_task) && !is_draining && !chosen.contains_key(&machine.name)
            {
                let zone = if demand.one_zone { machine.zone.as_str() } else { "" };
                let new = !self.reserved.machines.contains_key(&machine.name);
                let candidate = (new, -machine.free.cpus, machine.name.as_str());
                zones.entry(zone).or_default().machines.push(candidate);
            }
        }
        zones
    }
}
