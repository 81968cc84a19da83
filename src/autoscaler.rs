//! The autoscaler: adds machines for work that cannot be placed (scale-out) and removes machines that are idle, never
//! came up or have failed (scale-in).
//!
//! It is active on one controller, the leader of a fixed key on the hash ring. Other controllers only ask the cloud
//! for the machine types. After each change of leader the state is rebuilt from the cloud's machine list and from the
//! demand that job shards report. The autoscaler does no I/O: `next_request` returns the next request to the cloud,
//! one at a time, and `apply_answer` takes its result. It must never remove a machine on which a shard may still have
//! tasks, and it must never reuse the name of a scale-out.

mod cloud;
mod demand;
mod headroom;
mod inventory;
mod lost_machines;
mod reserved_capacity;
mod scale_in;
mod scale_out;

pub use self::cloud::{CloudAnswer, CloudClient, CloudMachine, CloudRequest, MachineState, ScaleOut};

use self::demand::DemandReports;
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

/// Most machines requested in one scale-out.
const SCALE_OUT_LIMIT: u32 = 50;
/// Most machines removed in one scale-in.
const SCALE_IN_LIMIT: usize = 100;
/// At most one in this many suitable machines is reserved for urgent gangs.
const RESERVED_FRACTION: usize = 6;
/// The same where teams have guarantees, since the capacity is guaranteed to other work as well.
const GUARANTEES_RESERVED_FRACTION: usize = RESERVED_FRACTION * 2;
/// The fraction of the cloud's rate limit that one controller uses.
const RATE_LIMIT_FRACTION: f64 = 0.8;
/// How often the machine types are read again once they are known.
const TYPES_INTERVAL: Micros = Micros::from_millis(60_000);
/// Time until the request for the machine types is retried: while none is known, and later.
const FIRST_TYPES_RETRY: Micros = Micros::from_millis(1_000);
const TYPES_RETRY: Micros = Micros::from_millis(5_000);
/// How long the autoscaler sends no request after one that failed.
const FAILURE_PAUSE: Micros = Micros::from_millis(1_000);
/// How often it decides about scaling.
const PASS_INTERVAL: Micros = Micros::from_millis(500);
/// How long a new leader waits for the demand of every job shard before it publishes what is reserved.
const PUBLISH_TIMEOUT: Micros = Micros::from_millis(2_000);
/// How often it logs its state.
const LOG_INTERVAL: Micros = Micros::from_millis(5_000);
/// Assumed boot time of an unknown machine type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// The machines as the controller that leads the autoscaler sees them.
#[derive(Clone, Copy)]
pub struct FleetView<'a> {
    /// The machines of all machine shards.
    pub machines: &'a [&'a MachineSnapshot],
    /// Whether every machine shard has reported since the epoch began.
    pub all_reported: bool,
    /// Whether every machine that may hold tasks has sent a heartbeat, so no failover is under way.
    pub failover_complete: bool,
    /// The members of the current epoch.
    pub members: &'a [usize],
}

/// The autoscaler's state on one controller. Only the leader scales; the others just keep the machine types.
pub struct Autoscaler {
    /// Boot ID of this process, part of the names of its scale-outs.
    boot: u64,
    rate_limiter: RateLimiter,
    /// The machine types; empty until they are known.
    pub machine_types: MachineTypes,
    next_types: Micros,
    /// Whether a request has been sent and not answered yet.
    in_flight: bool,
    paused_until: Micros,
    /// When this controller became the autoscaler's leader; None if it is not the leader.
    leader_since: Option<Micros>,
    next_pass: Micros,
    next_log: Micros,
    /// Whether the reservations are based on the demand of all job shards.
    can_publish: bool,
    demand: DemandReports,
    inventory: Inventory,
    reserved: ReservedCapacity,
    scale_out: ScaleOutState,
    scale_in: ScaleInState,
    /// Whether any team has a guarantee for which capacity is kept.
    has_guarantees: bool,
    /// Sum of the teams' guarantees.
    guaranteed: Resources,
    /// Longest lag of the cloud's machine list.
    list_lag: Micros,
}

impl Autoscaler {
    /// An autoscaler without any state. `boot` is the boot ID of this process.
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
            demand: DemandReports::default(),
            inventory: Inventory::default(),
            reserved: ReservedCapacity::default(),
            scale_out: ScaleOutState::default(),
            scale_in: ScaleInState::new(settings.worker_lease),
            has_guarantees: settings.teams.iter().any(|team| team.cpus > 0.0 || team.gpus > 0.0),
            guaranteed: guarantees.fold(Resources::default(), |sum, guarantee| sum + guarantee),
            list_lag: settings.list_lag,
        }
    }

    /// The total resources of a machine of this type, if the type is known.
    #[must_use]
    pub fn resources_of(&self, machine_type: &str) -> Option<Resources> {
        self.machine_types.get(machine_type).map(MachineType::capacity)
    }

    /// Records the work that a member's job shard cannot place. It replaces the shard's previous report.
    pub fn record_demand(&mut self, now: Micros, member: usize, demands: Vec<Demand>) {
        self.demand.record(now, member, demands);
    }

    /// Whether `draining`, `reserved_classes` and `reserved_machines` may be sent to the other controllers.
    #[must_use]
    pub fn can_publish(&self) -> bool {
        self.can_publish
    }

    /// Machines that must not get new tasks because they are being drained.
    #[must_use]
    pub fn draining(&self) -> Vec<String> {
        self.scale_in.draining.iter().cloned().collect()
    }

    /// Machines whose scale-in the cloud has confirmed recently.
    #[must_use]
    pub fn removed(&self) -> Vec<String> {
        self.inventory.removed()
    }

    /// Reserved classes of machines: the machine type, whether spot, and the lowest priority that may use them.
    #[must_use]
    pub fn reserved_classes(&self) -> Vec<(String, bool, u8)> {
        let classes = self.reserved.classes.iter();
        classes.map(|entry| (entry.class.machine_type.clone(), entry.class.spot, entry.priority)).collect()
    }

    /// Reserved machines, each with the lowest priority that may use it.
    #[must_use]
    pub fn reserved_machines(&self) -> Vec<(String, u8)> {
        self.reserved.machines.clone().into_iter().collect()
    }

    /// Machines that were added but are overdue, so they no longer count as capacity.
    #[must_use]
    pub fn overdue(&self) -> &BTreeSet<String> {
        &self.scale_out.overdue
    }

    /// Applies the result of the request that `next_request` returned last.
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
            // A scale-out without a usable answer is retried under the same name until it gets one.
            _ => self.paused_until = now + FAILURE_PAUSE,
        }
    }

    fn apply_types(&mut self, now: Micros, types: Vec<MachineType>) {
        self.machine_types =
            types.into_iter().map(|machine_type| (machine_type.name.clone(), machine_type)).collect();
        self.next_types = now + TYPES_INTERVAL;
    }

    fn apply_scale_out(&mut self, now: Micros, scale_out: &ScaleOut, names: Vec<String>) {
        let ScaleOut { name, machine_type, zone, spot, count } = scale_out;
        tracing::info!(%name, machine_type = %machine_type, %zone, spot, requested = count, added = names.len(), "scale-out completed");
        if names.len() < *count as usize {
            self.scale_out.pause_pool(now, scale_out);
        }
        self.inventory.add_booting(now, scale_out, names);
        self.scale_out.unconfirmed = None;
    }

    fn apply_no_capacity(&mut self, now: Micros, scale_out: &ScaleOut) {
        self.scale_out.pause_pool(now, scale_out);
        let ScaleOut { name, machine_type, zone, spot, .. } = scale_out;
        tracing::debug!(%name, machine_type = %machine_type, %zone, spot, "scale-out refused: no capacity");
        self.scale_out.unconfirmed = None;
    }

    fn apply_scale_in(&mut self, now: Micros, names: &[String]) {
        tracing::info!(machines = ?names, "scale-in completed");
        for name in names {
            self.scale_in.draining.remove(name);
            self.inventory.confirm_removed(now, name);
        }
    }

    /// Whether `next_request` may have something to do. Callers check this before they collect the machines.
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
    /// it clears the state that only the leader keeps up to date, and requests nothing but the machine types.
    pub fn next_request(&mut self, now: Micros, fleet: Option<FleetView>) -> Option<CloudRequest> {
        if fleet.is_none() {
            self.clear_leader_state();
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

    fn clear_leader_state(&mut self) {
        self.leader_since = None;
        self.can_publish = false;
        self.demand.clear();
        self.scale_in.draining.clear();
        self.scale_out.unconfirmed = None;
        self.inventory.reset();
    }

    fn take_rate_token(&mut self, now: Micros) -> bool {
        self.rate_limiter.take(now, 1.0, 0.0)
    }

    fn types_request(&mut self, now: Micros) -> Option<CloudRequest> {
        if now < self.next_types || !self.take_rate_token(now) {
            return None;
        }
        self.next_types = now + if self.machine_types.is_empty() { FIRST_TYPES_RETRY } else { TYPES_RETRY };
        Some(CloudRequest::MachineTypes)
    }

    fn leader_request(&mut self, now: Micros, fleet: &FleetView) -> Option<CloudRequest> {
        let leader_since = *self.leader_since.get_or_insert(now);
        self.inventory.prune_removed(now);
        if self.inventory.is_list_due(now) {
            return self
                .take_rate_token(now)
                .then(|| CloudRequest::List(self.inventory.begin_next_page(now)));
        }
        if let Some(unconfirmed) = self.scale_out.unconfirmed.clone() {
            return self.take_rate_token(now).then_some(CloudRequest::ScaleOut(unconfirmed));
        }
        if !fleet.all_reported
            || now < self.next_pass
            || self.machine_types.is_empty()
            || !self.take_rate_token(now)
        {
            return None;
        }
        self.scaling_request(now, fleet, leader_since)
    }

    /// Updates the reservations, then decides on a scale-in, then on a scale-out.
    fn scaling_request(
        &mut self,
        now: Micros,
        fleet: &FleetView,
        leader_since: Micros,
    ) -> Option<CloudRequest> {
        let machines: BTreeMap<&str, &MachineSnapshot> =
            fleet.machines.iter().map(|machine| (machine.name.as_str(), *machine)).collect();
        self.can_publish = self.demand.has_all(fleet.members) || now.since(leader_since) > PUBLISH_TIMEOUT;
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
        let schedulable = || machines.iter().filter(|machine| machine.is_schedulable);
        let cpus: i64 = schedulable().map(|machine| machine.total.cpus / 1000).sum();
        let free_cpus: i64 = schedulable().map(|machine| machine.free.cpus.max(0) / 1000).sum();
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

    fn boot_time(&self, machine_type: &str) -> Micros {
        let boot_s = self.machine_types.get(machine_type).map_or(DEFAULT_BOOT_S, |known| known.boot_s);
        Micros::from_secs(boot_s)
    }
}

#[cfg(test)]
mod tests;
