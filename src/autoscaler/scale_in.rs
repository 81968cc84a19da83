//! Scale-in: removes machines that have failed, never came up, have been idle for too long or are surplus.
//!
//! A working machine is drained first: it is announced as draining, gets no new tasks, and is removed once its machine
//! shard reports that no task is left on it.

use super::cloud::{CloudMachine, MachineState};
use super::demand::TypicalTask;
use super::reserved_capacity::MAX_TASKS_PER_MACHINE;
use super::{Autoscaler, SCALE_IN_LIMIT};
use crate::machine_view::MachineSnapshot;
use crate::peer::{Demand, InventoryState};
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How long all machines must be idle before a fleet kept for guarantees counts as unused.
const UNUSED_FLEET_TIME: Micros = Micros::from_millis(20_000);
/// How long a machine kept for guarantees may be idle while there is work.
const GUARANTEES_IDLE_LIMIT: Micros = Micros::from_millis(900_000);
/// How long a new leader waits before it removes listed machines that no machine shard reports.
const TAKEOVER_TIME: Micros = Micros::from_millis(20_000);
/// How long a listed machine may take to send its first heartbeat, in addition to three times its boot time.
const FIRST_HEARTBEAT_SLACK: Micros = Micros::from_millis(10_000);
/// How often machines are chosen as surplus.
const SURPLUS_INTERVAL: Micros = Micros::from_millis(3_000);
/// The shortest time for which a machine is billed. Removing a younger one saves nothing.
const MIN_BILLED_S: f64 = 60.0;
/// Machines are surplus only if the others finish the queue within this fraction of the time that its work may queue.
const SURPLUS_QUEUE_FRACTION: f64 = 0.5;
/// At most one in this many machines is chosen as surplus at a time.
const SURPLUS_FRACTION: usize = 10;

/// State of the scale-in.
pub(super) struct ScaleInState {
    /// Machines that must not get new tasks.
    pub(super) draining: BTreeSet<String>,
    /// Machines being drained because the rest of the fleet is sufficient.
    pub(super) surplus: BTreeSet<String>,
    next_surplus: Micros,
    /// A machine that has sent no heartbeat for longer than this is removed.
    silence_limit: Micros,
}

impl ScaleInState {
    /// No machine is being removed. The silence limit is twice the worker's lease: by then the lease of the machine's
    /// tasks has expired, and a worker that was only unresponsive has had time to recover.
    pub(super) fn new(worker_lease: Micros) -> ScaleInState {
        ScaleInState {
            draining: BTreeSet::new(),
            surplus: BTreeSet::new(),
            next_surplus: Micros(0),
            silence_limit: Micros(worker_lease.0 * 2),
        }
    }
}

/// The queueable work and the load that it puts on the fleet.
struct QueueLoad {
    typical: TypicalTask,
    /// Total run time of the queued tasks, in microseconds.
    queued: f64,
    /// `queued` plus the estimated remaining run time of the running tasks, in microseconds.
    load: f64,
}

impl QueueLoad {
    /// How many typical tasks a machine can run at the same time.
    fn slots(&self, machine: &MachineSnapshot) -> i64 {
        machine.total.max_count_of(self.typical.resources).clamp(0, MAX_TASKS_PER_MACHINE)
    }

    /// How many more typical tasks the machine could run now.
    fn free_slots(&self, machine: &MachineSnapshot) -> i64 {
        machine.free.max_count_of(self.typical.resources).clamp(0, MAX_TASKS_PER_MACHINE)
    }

    /// How long this many slots take for the whole load, in microseconds.
    fn time_with(&self, slots: i64) -> f64 {
        self.load / slots.max(1) as f64
    }
}

impl Autoscaler {
    /// Returns the machines to remove now, and updates the set of draining machines. Work that waits for a failover to
    /// complete (`failover_complete`) reports no demand, so machines that it needs a moment later look idle. Until then
    /// only failed machines are removed.
    pub(super) fn next_scale_in(
        &mut self,
        now: Micros,
        machines: &BTreeMap<&str, &MachineSnapshot>,
        leader_since: Micros,
        failover_complete: bool,
    ) -> Vec<String> {
        if failover_complete {
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
            } else if failover_complete && self.has_to_drain(now, machine, is_unused) {
                draining.insert(name.clone());
                if self.is_drained(machine) {
                    removals.push(name.clone());
                }
            }
        }
        self.scale_in.draining = draining;
        let never_up = self
            .inventory
            .iter()
            .filter(|listed| self.has_never_reported(now, listed, machines, leader_since));
        removals.extend(never_up.map(|listed| listed.name.clone()));
        self.inventory.prune_booting(now, machines);
        removals.truncate(SCALE_IN_LIMIT);
        removals
    }

    /// Whether a machine has failed and is removed without being drained.
    fn has_failed(&self, now: Micros, machine: &MachineSnapshot, complete_up_to: Option<&str>) -> bool {
        self.inventory.is_listed_as_failed(&machine.name)
            || machine.silent_for(now) > self.scale_in.silence_limit
            // The scale-in confirms that the machine is gone, so jobs need not wait for its lease to expire.
            || self.inventory.is_lost(machine, complete_up_to)
    }

    fn has_to_drain(&self, now: Micros, machine: &MachineSnapshot, is_unused: bool) -> bool {
        self.scale_in.surplus.contains(&machine.name)
            || machine.idle_for(now) > self.idle_limit(machine, is_unused)
            || (self.scale_in.draining.contains(&machine.name) && machine.task_count == 0)
    }

    /// How long a machine may be idle. Keeping it is worthwhile as long as that costs less than booting a new one. A
    /// machine that urgent work may need sooner than a new one could boot is kept longer.
    fn idle_limit(&self, machine: &MachineSnapshot, is_unused: bool) -> Micros {
        let boot_time = self.boot_time(&machine.machine_type).0;
        if self.has_guarantees && !is_unused {
            GUARANTEES_IDLE_LIMIT
        } else if self.reserved.machines.contains_key(&machine.name)
            || self.reserved.is_class_reserved(&machine.machine_type, machine.spot)
        {
            Micros(boot_time * 5 / 4)
        } else {
            Micros(boot_time * 3 / 4)
        }
    }

    /// Whether a machine was announced as draining and its shard has confirmed that no task is left on it.
    fn is_drained(&self, machine: &MachineSnapshot) -> bool {
        self.scale_in.draining.contains(&machine.name)
            && !machine.is_schedulable
            && machine.task_count == 0
            && machine.inventory_state == InventoryState::Known
    }

    /// Whether a listed machine that no shard reports has failed or should have sent a heartbeat long ago: it never
    /// came up, or no controller has a record of it.
    fn has_never_reported(
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

    /// Chooses surplus machines to drain: the most expensive ones, if the rest of the fleet finishes the queue in a
    /// small fraction of the time that the work may queue.
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
            machines.values().copied().filter(|machine| self.can_serve_queue(machine)).collect();
        let queue = queue_load(typical, &demands, &queue_machines);
        let schedulable: Vec<&MachineSnapshot> =
            queue_machines.into_iter().filter(|machine| machine.is_schedulable).collect();
        let slots: i64 = schedulable.iter().map(|machine| queue.slots(machine)).sum();
        if queue.time_with(slots) > typical.max_queue_time.0 as f64 {
            self.scale_in.surplus.clear();
        }
        let chosen = self.choose_surplus(&schedulable, &demands, &queue);
        if !chosen.is_empty() {
            self.scale_in.next_surplus = now + SURPLUS_INTERVAL;
            tracing::debug!(machines = ?chosen, "machines are surplus");
            self.scale_in.surplus.extend(chosen);
        }
    }

    /// Whether queueable work may run on the machine.
    fn can_serve_queue(&self, machine: &MachineSnapshot) -> bool {
        machine.inventory_state == InventoryState::Known
            && !self.reserved.machines.contains_key(&machine.name)
            && !self.reserved.is_class_reserved(&machine.machine_type, machine.spot)
    }

    /// Chooses which of the `schedulable` machines become surplus. Only one is chosen at a time, unless the queue is
    /// empty and much of the fleet is free; otherwise a large fleet would be idle for minutes after a surge.
    fn choose_surplus(
        &self,
        schedulable: &[&MachineSnapshot],
        demands: &[Demand],
        queue: &QueueLoad,
    ) -> Vec<String> {
        let staying: Vec<&MachineSnapshot> = schedulable
            .iter()
            .copied()
            .filter(|machine| !self.scale_in.surplus.contains(&machine.name))
            .collect();
        let mut slots: i64 = staying.iter().map(|machine| queue.slots(machine)).sum();
        let mut free: i64 = staying.iter().map(|machine| queue.free_slots(machine)).sum();
        let mut chosen: Vec<String> = Vec::new();
        for machine in self.sort_by_price_per_slot(&staying, queue) {
            let own_slots = queue.slots(machine);
            let has_much_free = queue.queued <= 0.0 && (free - own_slots) * 3 > slots - own_slots;
            if chosen.len() >= schedulable.len() / SURPLUS_FRACTION || !(chosen.is_empty() || has_much_free) {
                break;
            }
            let is_staying =
                |other: &MachineSnapshot| other.name != machine.name && !chosen.contains(&other.name);
            // For every task shape at least one suitable machine must remain.
            let is_replaceable = demands.iter().all(|demand| {
                !can_fit_when_empty(demand, machine)
                    || staying.iter().any(|other| is_staying(other) && can_fit_when_empty(demand, other))
            });
            let time = queue.time_with(slots - own_slots);
            if !is_replaceable || time >= queue.typical.max_queue_time.0 as f64 * SURPLUS_QUEUE_FRACTION {
                break;
            }
            slots -= own_slots;
            free -= own_slots;
            chosen.push(machine.name.clone());
        }
        chosen
    }

    /// The machines whose removal saves money, sorted by price per slot from the highest, then by the fewest tasks.
    fn sort_by_price_per_slot<'a>(
        &self,
        machines: &[&'a MachineSnapshot],
        queue: &QueueLoad,
    ) -> Vec<&'a MachineSnapshot> {
        let is_past_min_billing = |machine: &&&MachineSnapshot| {
            self.inventory.get(&machine.name).is_some_and(|listed| listed.age_s > MIN_BILLED_S)
        };
        let price = |machine: &MachineSnapshot| {
            let Some(machine_type) = self.machine_types.get(&machine.machine_type) else { return 0.0 };
            let price = if machine.spot { machine_type.spot_price } else { machine_type.price };
            price / queue.slots(machine).max(1) as f64
        };
        let mut by_price: Vec<&MachineSnapshot> =
            machines.iter().filter(is_past_min_billing).copied().collect();
        by_price.sort_by(|one, other| {
            price(other).total_cmp(&price(one)).then(one.task_count.cmp(&other.task_count))
        });
        by_price
    }
}

/// Whether there has been no work at all for some time. Capacity kept for guarantees is useful only while there is
/// work. Removed machines stay in the machine status until the next epoch, so they are left out.
fn is_fleet_unused(now: Micros, machines: &BTreeMap<&str, &MachineSnapshot>) -> bool {
    let mut present = machines.values().filter(|machine| machine.inventory_state != InventoryState::Gone);
    present.all(|machine| machine.task_count == 0 && machine.idle_for(now) > UNUSED_FLEET_TIME)
}

fn queue_load(typical: TypicalTask, demands: &[Demand], machines: &[&MachineSnapshot]) -> QueueLoad {
    let running: i64 = machines.iter().map(|machine| i64::from(machine.task_count)).sum();
    let queueable = demands.iter().filter(|demand| demand.max_queue_time.0 > 0);
    let queued: f64 =
        queueable.map(|demand| f64::from(demand.count) * demand.estimated_run_time.0 as f64).sum();
    // On average a running task still has half of its run time left.
    let load = queued + running as f64 * typical.run_time.0 as f64 / 2.0;
    QueueLoad { typical, queued, load }
}

/// Whether a task of this shape fits on the machine when the machine is empty.
fn can_fit_when_empty(demand: &Demand, machine: &MachineSnapshot) -> bool {
    demand.can_run_on(&machine.machine_type, &machine.zone, machine.spot)
        && machine.total.can_hold(demand.resources_per_task)
}
