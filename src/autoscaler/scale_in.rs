//! Scale-in: machines that have failed, never came up, idle for too long or are surplus.
//!
//! A machine that works is emptied first: it is named as draining, takes no new tasks, and goes back once its shard says
//! that none is left.

use super::cloud::{CloudMachine, MachineState};
use super::demand::TypicalTask;
use super::reserved_capacity::MAX_TASKS_PER_MACHINE;
use super::{Autoscaler, SCALE_IN_LIMIT};
use crate::machine_view::MachineSnapshot;
use crate::peer::{Demand, InventoryState};
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How long a fleet kept for guarantees idles before it counts as unused.
const UNUSED_FLEET_TIME: Micros = Micros::from_millis(20_000);
/// How long a machine kept for guarantees may idle while there is work.
const GUARANTEES_IDLE_LIMIT: Micros = Micros::from_millis(900_000);
/// How long the leader waits before it gives back listed machines that nobody reports.
const TAKEOVER_TIME: Micros = Micros::from_millis(20_000);
/// How long a listed machine may take to report, beside three times its boot time.
const FIRST_HEARTBEAT_SLACK: Micros = Micros::from_millis(10_000);
/// How often machines are chosen as surplus.
const SURPLUS_INTERVAL: Micros = Micros::from_millis(3_000);
/// A machine costs this much time at least, so giving back a younger one saves nothing.
const MIN_BILLED_S: f64 = 60.0;
/// The queue must be done within this part of the time that its work may queue before machines count as surplus.
const SURPLUS_QUEUE_FRACTION: f64 = 0.5;
/// One in so many machines is chosen as surplus at a time, at the most.
const SURPLUS_FRACTION: usize = 10;

/// What is on its way out.
pub(super) struct ScaleInState {
    /// Machines that are to take no new tasks.
    pub(super) draining: BTreeSet<String>,
    /// Machines being emptied because the rest of the fleet is enough.
    pub(super) surplus: BTreeSet<String>,
    next_surplus: Micros,
    /// A machine that has been silent for longer is given back.
    silence_limit: Micros,
}

impl ScaleInState {
    /// Nothing is on its way out. After twice the lease of an agent its tasks' lease has expired, and one that only hung
    /// had time to come back.
    pub(super) fn new(agent_lease: Micros) -> ScaleInState {
        ScaleInState {
            draining: BTreeSet::new(),
            surplus: BTreeSet::new(),
            next_surplus: Micros(0),
            silence_limit: Micros(agent_lease.0 * 2),
        }
    }
}

/// Queueable work and how fast the fleet gets through it.
struct QueueLoad {
    typical: TypicalTask,
    /// Run time of what queues, in microseconds.
    queued: f64,
    /// The same and what is left of the running tasks.
    load: f64,
}

impl QueueLoad {
    /// How many typical tasks a machine runs at once.
    fn slots(&self, machine: &MachineSnapshot) -> i64 {
        machine.total.max_count_of(self.typical.resources).clamp(0, MAX_TASKS_PER_MACHINE)
    }

    /// How many more it could run now.
    fn free_slots(&self, machine: &MachineSnapshot) -> i64 {
        machine.free.max_count_of(self.typical.resources).clamp(0, MAX_TASKS_PER_MACHINE)
    }

    /// How long this many slots take for all of it, in microseconds.
    fn time_with(&self, slots: i64) -> f64 {
        self.load / slots.max(1) as f64
    }
}

impl Autoscaler {
    /// Machines to give back now; also settles which are to be emptied first. Until a failover is over (`rebuilt`),
    /// work that waits for it asks for nothing and leaves machines idle that it needs a moment later: only what has
    /// failed goes back.
    pub(super) fn next_scale_in(
        &mut self,
        now: Micros,
        machines: &BTreeMap<&str, &MachineSnapshot>,
        leader_since: Micros,
        rebuilt: bool,
    ) -> Vec<String> {
        if rebuilt {
            self.update_surplus(now, machines);
        } else {
            self.scale_in.surplus.clear();
        }
        let is_unused = is_fleet_unused(now, machines);
        let complete_up_to = self.inventory.complete_up_to(self.list_lag);
        let mut removals = Vec::new();
        let mut draining = BTreeSet::new();
        for machine in machines.values().copied() {
            let name = &machine.name;
            if machine.inventory_state == InventoryState::Gone || self.inventory.is_removed(name) {
                continue;
            }
            if self.has_failed(now, machine, complete_up_to) {
                removals.push(name.clone());
            } else if rebuilt && self.should_drain(now, machine, is_unused) {
                draining.insert(name.clone());
                if self.is_drained(machine) {
                    removals.push(name.clone());
                }
            }
        }
        self.scale_in.draining = draining;
        let never_up =
            self.inventory.iter().filter(|listed| self.never_reported(now, listed, machines, leader_since));
        removals.extend(never_up.map(|listed| listed.name.clone()));
        self.inventory.prune_booting(now, machines);
        removals.truncate(SCALE_IN_LIMIT);
        removals
    }

    /// Whether a machine is of no use any more, whatever its tasks.
    fn has_failed(&self, now: Micros, machine: &MachineSnapshot, complete_up_to: Option<&str>) -> bool {
        self.inventory.has_failed(&machine.name)
            || machine.silent_for(now) > self.scale_in.silence_limit
            // Whoever waits for one that is there no more has the cloud's word in a moment.
            || self.inventory.is_lost(machine, complete_up_to)
    }

    fn should_drain(&self, now: Micros, machine: &MachineSnapshot, fleet_is_unused: bool) -> bool {
        self.scale_in.surplus.contains(&machine.name)
            || machine.idle_for(now) > self.idle_limit(machine, fleet_is_unused)
            || (self.scale_in.draining.contains(&machine.name) && machine.task_count == 0)
    }

    /// How long a machine may idle. Keeping it is worth it as long as that costs less than booting one; one that urgent
    /// work may need before another could boot is kept for longer.
    fn idle_limit(&self, machine: &MachineSnapshot, fleet_is_unused: bool) -> Micros {
        let boot_time = self.boot_time(&machine.machine_type).0;
        if self.has_guarantees && !fleet_is_unused {
            GUARANTEES_IDLE_LIMIT
        } else if self.reserved.machines.contains_key(&machine.name)
            || self.reserved.has_class(&machine.machine_type, machine.spot)
        {
            Micros(boot_time * 5 / 4)
        } else {
            Micros(boot_time * 3 / 4)
        }
    }

    /// Whether a machine was named as draining and its shard has confirmed that nothing is left on it.
    fn is_drained(&self, machine: &MachineSnapshot) -> bool {
        self.scale_in.draining.contains(&machine.name)
            && !machine.is_schedulable
            && machine.task_count == 0
            && machine.inventory_state == InventoryState::Known
    }

    /// Whether a listed machine sends no heartbeats: it never came up, or is nobody's.
    fn never_reported(
        &self,
        now: Micros,
        listed: &CloudMachine,
        machines: &BTreeMap<&str, &MachineSnapshot>,
        leader_since: Micros,
    ) -> bool {
        if machines.contains_key(listed.name.as_str()) || self.inventory.is_removed(&listed.name) {
            return false;
        }
        let limit = Micros(self.boot_time(&listed.machine_type).0 * 3) + FIRST_HEARTBEAT_SLACK;
        now.since(leader_since) > TAKEOVER_TIME
            && (listed.state == MachineState::Failed || Micros::from_secs(listed.age_s) > limit)
    }

    /// Chooses machines to empty: the dearest ones, when the rest of the fleet gets through the queue in a small part of
    /// the time that the work may queue.
    pub(super) fn update_surplus(&mut self, now: Micros, machines: &BTreeMap<&str, &MachineSnapshot>) {
        let Autoscaler { scale_in, inventory, .. } = self;
        scale_in.surplus.retain(|name| machines.contains_key(name.as_str()) && !inventory.is_removed(name));
        let demands = self.demand.fresh(now);
        self.demand.update_typical(&demands);
        let Some(typical) = self.demand.typical else { return };
        if self.has_guarantees || now < self.scale_in.next_surplus {
            return;
        }
        let queue_machines: Vec<&MachineSnapshot> =
            machines.values().copied().filter(|machine| self.serves_queue(machine)).collect();
        let queue = queue_load(typical, &demands, &queue_machines);
        let open: Vec<&MachineSnapshot> =
            queue_machines.into_iter().filter(|machine| machine.is_schedulable).collect();
        let slots: i64 = open.iter().map(|machine| queue.slots(machine)).sum();
        if queue.time_with(slots) > typical.horizon.0 as f64 {
            self.scale_in.surplus.clear();
        }
        let chosen = self.choose_surplus(&open, &demands, &queue);
        if !chosen.is_empty() {
            self.scale_in.next_surplus = now + SURPLUS_INTERVAL;
            tracing::debug!(machines = ?chosen, "machines are surplus");
            self.scale_in.surplus.extend(chosen);
        }
    }

    /// Whether queueable work may use the machine.
    fn serves_queue(&self, machine: &MachineSnapshot) -> bool {
        machine.inventory_state == InventoryState::Known
            && !self.reserved.machines.contains_key(&machine.name)
            && !self.reserved.has_class(&machine.machine_type, machine.spot)
    }

    /// Which of the open machines become surplus. One at a time, unless nothing queues and much of the fleet is empty:
    /// a large fleet would idle for minutes after a surge.
    fn choose_surplus(
        &self,
        open: &[&MachineSnapshot],
        demands: &[Demand],
        queue: &QueueLoad,
    ) -> Vec<String> {
        let staying: Vec<&MachineSnapshot> =
            open.iter().copied().filter(|machine| !self.scale_in.surplus.contains(&machine.name)).collect();
        let mut slots: i64 = staying.iter().map(|machine| queue.slots(machine)).sum();
        let mut free: i64 = staying.iter().map(|machine| queue.free_slots(machine)).sum();
        let mut chosen: Vec<String> = Vec::new();
        for machine in self.dearest_first(&staying, queue) {
            let own_slots = queue.slots(machine);
            let much_is_empty = queue.queued <= 0.0 && (free - own_slots) * 3 > slots - own_slots;
            if chosen.len() >= open.len() / SURPLUS_FRACTION || !(chosen.is_empty() || much_is_empty) {
                break;
            }
            let stays = |other: &MachineSnapshot| other.name != machine.name && !chosen.contains(&other.name);
            // Every shape of work must still find a machine that it fits.
            let is_replaceable = demands.iter().all(|demand| {
                !fits(demand, machine) || staying.iter().any(|other| stays(other) && fits(demand, other))
            });
            let time = queue.time_with(slots - own_slots);
            if !is_replaceable || time >= queue.typical.horizon.0 as f64 * SURPLUS_QUEUE_FRACTION {
                break;
            }
            slots -= own_slots;
            free -= own_slots;
            chosen.push(machine.name.clone());
        }
        chosen
    }

    /// The machines whose return saves something, the dearest a slot first, and of equal ones the one with fewest tasks.
    fn dearest_first<'a>(
        &self,
        machines: &[&'a MachineSnapshot],
        queue: &QueueLoad,
    ) -> Vec<&'a MachineSnapshot> {
        let is_paid = |machine: &&&MachineSnapshot| {
            self.inventory.get(&machine.name).is_some_and(|listed| listed.age_s > MIN_BILLED_S)
        };
        let price = |machine: &MachineSnapshot| {
            let Some(machine_type) = self.machine_types.get(&machine.machine_type) else { return 0.0 };
            let price = if machine.spot { machine_type.spot_price } else { machine_type.price };
            price / queue.slots(machine).max(1) as f64
        };
        let mut dearest: Vec<&MachineSnapshot> = machines.iter().filter(is_paid).copied().collect();
        dearest.sort_by(|one, other| {
            price(other).total_cmp(&price(one)).then(one.task_count.cmp(&other.task_count))
        });
        dearest
    }
}

/// Whether there has been no work at all for a while. Room kept for guarantees is of use only while there is some.
/// Machines that are gone are named until the next epoch and say nothing about that.
fn is_fleet_unused(now: Micros, machines: &BTreeMap<&str, &MachineSnapshot>) -> bool {
    let mut there = machines.values().filter(|machine| machine.inventory_state != InventoryState::Gone);
    there.all(|machine| machine.task_count == 0 && machine.idle_for(now) > UNUSED_FLEET_TIME)
}

fn queue_load(typical: TypicalTask, demands: &[Demand], machines: &[&MachineSnapshot]) -> QueueLoad {
    let busy: i64 = machines.iter().map(|machine| i64::from(machine.task_count)).sum();
    let queueable = demands.iter().filter(|demand| demand.max_queue_time.0 > 0);
    let queued: f64 =
        queueable.map(|demand| f64::from(demand.count) * demand.estimated_run_time.0 as f64).sum();
    // A running task has half of its time before it, on average.
    let load = queued + busy as f64 * typical.run_time.0 as f64 / 2.0;
    QueueLoad { typical, queued, load }
}

/// Whether a task of this shape could ever run on the machine.
fn fits(demand: &Demand, machine: &MachineSnapshot) -> bool {
    demand.accepts(&machine.machine_type, &machine.zone, machine.spot)
        && machine.total.can_hold(demand.resources_per_task)
}
