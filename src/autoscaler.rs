//! The autoscaler: adds machines for work that finds no room (scale-out) and gives back those that idle, never come up
//! or have failed (scale-in).
//!
//! One controller leads it, the leader of a fixed key on the ring; only there does it ask the cloud for more than the machine
//! types. Its state is rebuilt from the cloud's list and from what job shards say after each change of leader. It does no
//! I/O: `next_request` returns what to ask the cloud, one request at a time, and `apply_answer` takes what became of it.
//! It must never give a machine back of which a shard may still expect something, nor use the name of a scale-out twice.

mod cloud;
mod demand;
mod headroom;
mod inventory;
mod lost_machines;
mod reserved_capacity;
mod scale_in;
mod scale_out;

pub use self::cloud::{CloudAnswer, CloudClient, CloudMachine, CloudRequest, MachineState, ScaleOut};

use self::demand::DemandBook;
use self::inventory::Inventory;
use self::reserved_capacity::ReservedCapacity;
use self::scale_in::ScaleInState;
use self::scale_out::ScaleOutState;
use crate::config::settings::Settings;
use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::spec::{MachineType, MachineTypes};
use crate::state_store::RateLimiter;
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Most machines in one scale-out.
const SCALE_OUT_LIMIT: u32 = 50;
/// Most names in one scale-in.
const SCALE_IN_LIMIT: usize = 100;
/// One in so many of the machines that would do is reserved for urgent gangs at the most.
const RESERVED_FRACTION: usize = 6;
/// The same where guarantees promise the room to others too.
const GUARANTEES_RESERVED_FRACTION: usize = RESERVED_FRACTION * 2;
/// The part of the cloud's rate limit that one controller uses.
const RATE_LIMIT_FRACTION: f64 = 0.8;
/// How often the machine types are read once they are known.
const TYPES_INTERVAL: Micros = Micros::from_millis(60_000);
/// How soon they are asked for again without an answer: while none is known, and later.
const FIRST_TYPES_RETRY: Micros = Micros::from_millis(1_000);
const TYPES_RETRY: Micros = Micros::from_millis(5_000);
/// How long the autoscaler waits after a request that failed.
const FAILURE_PAUSE: Micros = Micros::from_millis(1_000);
/// How often it looks for something to change.
const PASS_INTERVAL: Micros = Micros::from_millis(500);
/// How long a new leader waits for every job shard's word before it says what is reserved.
const PUBLISH_PATIENCE: Micros = Micros::from_millis(2_000);
/// How often it logs what it sees.
const LOG_INTERVAL: Micros = Micros::from_millis(5_000);
/// Boot time of a machine type that is not known, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// What the leader of the autoscaler sees of the machines.
#[derive(Clone, Copy)]
pub struct FleetView<'a> {
    /// All machine shards' machines.
    pub machines: &'a [&'a MachineSnapshot],
    /// Whether every machine shard has spoken since the epoch began.
    pub all_reported: bool,
    /// Whether every machine that may hold tasks has been heard: no failover is under way.
    pub failover_complete: bool,
    /// The members of the epoch.
    pub members: &'a [usize],
}

/// What a controller knows of the cloud. Only the leader of the autoscaler acts; the others keep the machine types.
pub struct Autoscaler {
    /// This process's random number, part of the names of scale-outs.
    boot: u64,
    rate_limiter: RateLimiter,
    /// The machine types, once known.
    pub machine_types: MachineTypes,
    next_types: Micros,
    /// Whether a request is out.
    in_flight: bool,
    paused_until: Micros,
    /// Since when this controller has led the autoscaler.
    leader_since: Option<Micros>,
    next_pass: Micros,
    next_log: Micros,
    /// Whether what is reserved rests on the word of all job shards.
    can_publish: bool,
    demand: DemandBook,
    inventory: Inventory,
    reserved: ReservedCapacity,
    scale_out: ScaleOutState,
    scale_in: ScaleInState,
    /// Whether teams have guarantees, so that capacity is kept for them.
    has_guarantees: bool,
    /// What the guarantees add up to.
    guaranteed: Resources,
    /// How far the cloud's list may lag behind.
    list_lag: Micros,
}

impl Autoscaler {
    /// Nothing known. `boot` is this process's random number.
    #[must_use]
    pub fn new(boot: u64, settings: &Settings) -> Autoscaler {
        let guarantees = settings.teams.iter().map(|team| Resources::rounded_up(team.cpus, team.gpus, 0.0));
        Autoscaler {
            boot,
            rate_limiter: RateLimiter::new(settings.cloud_rps * RATE_LIMIT_FRACTION),
            machine_types: MachineTypes::new(),
            next_types: Micros(0),
            in_flight: false,
            paused_until: Micros(0),
            leader_since: None,
            next_pass: Micros(0),
            next_log: Micros(0),
            can_publish: false,
            demand: DemandBook::default(),
            inventory: Inventory::default(),
            reserved: ReservedCapacity::default(),
            scale_out: ScaleOutState::default(),
            scale_in: ScaleInState::new(settings.worker_lease),
            has_guarantees: settings.teams.iter().any(|team| team.cpus > 0.0 || team.gpus > 0.0),
            guaranteed: guarantees.fold(Resources::default(), |sum, guarantee| sum + guarantee),
            list_lag: settings.list_lag,
        }
    }

    /// What a machine of this type has, if the type is known.
    #[must_use]
    pub fn resources_of(&self, kind: &str) -> Option<Resources> {
        self.machine_types.get(kind).map(MachineType::capacity)
    }

    /// Takes what a member's job shard cannot place, in place of what it said before.
    pub fn record_demand(&mut self, now: Micros, member: usize, demands: Vec<Demand>) {
        self.demand.record(now, member, demands);
    }

    /// Whether `draining`, `reserved_classes` and `reserved_machines` are to be sent to the other controllers.
    #[must_use]
    pub fn can_publish(&self) -> bool {
        self.can_publish
    }

    /// Machines that are to take no new tasks.
    #[must_use]
    pub fn draining(&self) -> Vec<String> {
        self.scale_in.draining.iter().cloned().collect()
    }

    /// Machines whose scale-in the cloud has confirmed of late.
    #[must_use]
    pub fn removed(&self) -> Vec<String> {
        self.inventory.removed()
    }

    /// Machine types, and whether spot, left to work of at least a priority.
    #[must_use]
    pub fn reserved_classes(&self) -> Vec<(String, bool, u8)> {
        let classes = self.reserved.classes.iter();
        classes.map(|entry| (entry.class.kind.clone(), entry.class.spot, entry.priority)).collect()
    }

    /// Machines left to work of at least a priority.
    #[must_use]
    pub fn reserved_machines(&self) -> Vec<(String, u8)> {
        self.reserved.machines.clone().into_iter().collect()
    }

    /// Machines that were added, are overdue and are not counted on any more.
    #[must_use]
    pub fn overdue(&self) -> &BTreeSet<String> {
        &self.scale_out.overdue
    }

    /// Takes what became of the request that `next_request` returned last.
    pub fn apply_answer(&mut self, now: Micros, request: &CloudRequest, answer: CloudAnswer) {
        self.in_flight = false;
        match (request, answer) {
            (CloudRequest::MachineTypes, CloudAnswer::MachineTypes(types)) => self.apply_types(now, types),
            (CloudRequest::List(after), CloudAnswer::Page(machines, more)) => {
                self.inventory.apply_page(now, after, machines, more);
            }
            (CloudRequest::ScaleOut(scale_out), CloudAnswer::ScaledOut(names)) => {
                self.apply_scale_out(now, scale_out, names);
            }
            (CloudRequest::ScaleOut(scale_out), CloudAnswer::NoCapacity) => {
                self.apply_no_capacity(now, scale_out);
            }
            (CloudRequest::ScaleIn(names), CloudAnswer::ScaledIn) => self.apply_scale_in(now, names),
            // A scale-out without a usable answer is repeated under its name until it has one.
            _ => self.paused_until = now + FAILURE_PAUSE,
        }
    }

    fn apply_types(&mut self, now: Micros, types: Vec<MachineType>) {
        self.machine_types =
            types.into_iter().map(|machine_type| (machine_type.name.clone(), machine_type)).collect();
        self.next_types = now + TYPES_INTERVAL;
    }

    fn apply_scale_out(&mut self, now: Micros, scale_out: &ScaleOut, names: Vec<String>) {
        let ScaleOut { name, machine_type: kind, zone, spot, count } = scale_out;
        tracing::info!(%name, machine_type = %kind, %zone, spot, requested = count, added = names.len(), "scale-out completed");
        if names.len() < *count as usize {
            self.scale_out.pause_pool(now, scale_out);
        }
        self.inventory.add_booting(now, scale_out, names);
        self.scale_out.unconfirmed = None;
    }

    fn apply_no_capacity(&mut self, now: Micros, scale_out: &ScaleOut) {
        self.scale_out.pause_pool(now, scale_out);
        let ScaleOut { name, machine_type: kind, zone, spot, .. } = scale_out;
        tracing::debug!(%name, machine_type = %kind, %zone, spot, "scale-out refused: no capacity");
        self.scale_out.unconfirmed = None;
    }

    fn apply_scale_in(&mut self, now: Micros, names: &[String]) {
        tracing::info!(machines = ?names, "scale-in completed");
        for name in names {
            self.scale_in.draining.remove(name);
            self.inventory.confirm_removed(now, name);
        }
    }

    /// Whether `next_request` has anything to look at, so that nobody gathers machines for nothing.
    #[must_use]
    pub fn is_due(&self, now: Micros) -> bool {
        !self.in_flight
            && now >= self.paused_until
            && (now >= self.next_types
                || now >= self.next_pass
                || self.inventory.is_list_due(now)
                || self.scale_out.unconfirmed.is_some())
    }

    /// The next request to the cloud, if one is due. `fleet` is None on a controller that does not lead the autoscaler:
    /// that one forgets what only the leader keeps up to date, and asks for the machine types alone.
    pub fn next_request(&mut self, now: Micros, fleet: Option<FleetView>) -> Option<CloudRequest> {
        if fleet.is_none() {
            self.forget_leadership();
        }
        if self.in_flight || now < self.paused_until {
            return None;
        }
        let request = match self.types_request(now) {
            Some(request) => request,
            None => self.leader_request(now, &fleet?)?,
        };
        self.in_flight = true;
        Some(request)
    }

    fn forget_leadership(&mut self) {
        self.leader_since = None;
        self.can_publish = false;
        self.demand.clear();
        self.scale_in.draining.clear();
        self.scale_out.unconfirmed = None;
        self.inventory.reset();
    }

    fn may_call(&mut self, now: Micros) -> bool {
        self.rate_limiter.take(now, 1.0, 0.0)
    }

    fn types_request(&mut self, now: Micros) -> Option<CloudRequest> {
        if now < self.next_types || !self.may_call(now) {
            return None;
        }
        self.next_types = now + if self.machine_types.is_empty() { FIRST_TYPES_RETRY } else { TYPES_RETRY };
        Some(CloudRequest::MachineTypes)
    }

    fn leader_request(&mut self, now: Micros, fleet: &FleetView) -> Option<CloudRequest> {
        let leader_since = *self.leader_since.get_or_insert(now);
        self.inventory.prune_removed(now);
        if self.inventory.is_list_due(now) {
            return self.may_call(now).then(|| CloudRequest::List(self.inventory.next_page(now)));
        }
        if let Some(unconfirmed) = self.scale_out.unconfirmed.clone() {
            return self.may_call(now).then_some(CloudRequest::ScaleOut(unconfirmed));
        }
        if !fleet.all_reported || now < self.next_pass || self.machine_types.is_empty() || !self.may_call(now)
        {
            return None;
        }
        self.scaling_request(now, fleet, leader_since)
    }

    /// Works out what is reserved, then what to give back, then what to add.
    fn scaling_request(
        &mut self,
        now: Micros,
        fleet: &FleetView,
        leader_since: Micros,
    ) -> Option<CloudRequest> {
        let machines: BTreeMap<&str, &MachineSnapshot> =
            fleet.machines.iter().map(|machine| (machine.name.as_str(), *machine)).collect();
        self.can_publish = self.demand.has_all(fleet.members) || now.since(leader_since) > PUBLISH_PATIENCE;
        self.update_reserved(now, fleet.machines);
        self.log_fleet(now, fleet.machines);
        let removals = self.next_scale_in(now, &machines, leader_since, fleet.failover_complete);
        if !removals.is_empty() {
            return Some(CloudRequest::ScaleIn(removals));
        }
        if let Some(scale_out) = self.next_scale_out(now, &machines) {
            self.scale_out.unconfirmed = Some(scale_out.clone());
            return Some(CloudRequest::ScaleOut(scale_out));
        }
        self.next_pass = now + PASS_INTERVAL;
        None
    }

    fn log_fleet(&mut self, now: Micros, machines: &[&MachineSnapshot]) {
        if !tracing::enabled!(tracing::Level::DEBUG) || now < self.next_log {
            return;
        }
        self.next_log = now + LOG_INTERVAL;
        let open = || machines.iter().filter(|machine| machine.is_schedulable);
        let cpus: i64 = open().map(|machine| machine.total.cpus / 1000).sum();
        let free_cpus: i64 = open().map(|machine| machine.free.cpus.max(0) / 1000).sum();
        let demands = self.demand.fresh(now);
        let cpu_seconds = |d: &Demand| {
            f64::from(d.count) * d.resources_per_task.cpus as f64 / 1000.0 * d.estimated_run_time.as_secs()
        };
        let queued_cpu_s = demands.iter().map(cpu_seconds).sum::<f64>() as i64;
        tracing::debug!(
            machines = machines.len(),
            booting = self.inventory.booting.len(),
            cpus,
            free_cpus,
            queued_cpu_s,
            reserved_machines = self.reserved.machines.len(),
            reserved_classes = ?self.reserved.classes,
            surplus = self.scale_in.surplus.len(),
            "autoscaler state"
        );
    }

    fn boot_time(&self, kind: &str) -> Micros {
        let boot_s = self.machine_types.get(kind).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        Micros::from_secs(boot_s)
    }
}

#[cfg(test)]
mod tests;
