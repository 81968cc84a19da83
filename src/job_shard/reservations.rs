//! Machines reserved for waiting gangs of our own, and those that the autoscaler reserves for urgent work.
//!
//! A gang that finds no room reserves machines so that it can come together, and announces that to the other leaders of
//! jobs. One that has waited for `OVERDUE` is not overtaken any more: see `docs/design.md`, "The largest begin".

use super::JobShard;
use super::job::Job;
use super::scheduling_pass::Pass;
use crate::peer::{MachineStatus, Reservation};
use crate::quota::tier::{self, QuotaTier};
use crate::scheduler::placement::Place;
use crate::scheduler::reservations::{ReservationRequest, reserve_machines};
use crate::spec::JobSpec;
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// From then on a job that waits to begin is not overtaken by work that is no more urgent.
const OVERDUE: Micros = Micros::from_millis(45_000);
/// How many tasks such an array gets ahead of its turn: it is to begin, not to push aside many small ones.
pub(super) const FIRST_LOT: usize = 16;

/// The autoscaler's word on which machines are left to urgent work.
#[derive(Debug, Default)]
pub(super) struct AutoscalerReservations {
    /// Machine types, whether spot, and the least priority that may use them.
    types: Vec<(String, bool, u8)>,
    /// Single machines, and the least priority that may use them.
    machines: BTreeMap<String, u8>,
    /// Whether this process has had any. Until then nothing is placed for a while: after
    /// a restart queued work would take the machines that urgent work needs.
    pub(super) received: bool,
}

impl AutoscalerReservations {
    /// The least priority of work that may use a machine.
    pub(super) fn priority_for(&self, machine: &MachineStatus) -> Option<u8> {
        let of_type = self
            .types
            .iter()
            .filter(|(kind, spot, _)| *kind == machine.machine_type && *spot == machine.spot);
        of_type.map(|(.., priority)| *priority).max().max(self.machines.get(&machine.name).copied())
    }
}

/// What a scheduling pass has reserved so far.
pub(super) struct ReservationPlan {
    /// Machines that other leaders of jobs have reserved.
    taken: BTreeSet<String>,
    /// Machines withheld from work that could have used them.
    withheld: usize,
}

impl ReservationPlan {
    /// Whether a gang may reserve machines in this pass.
    ///
    /// One gang at a time, and not where another leader's waits: several that each empty a few machines get
    /// nowhere and keep all others out. On a large fleet several may, where what is in their way can be stopped,
    /// or where they have waited for long: one after the other the last would wait for ever. Machines that
    /// nothing less urgent may use anyway don't count.
    fn has_room_for(&self, places: &[Place], job: &Job, overdue: bool) -> bool {
        if self.withheld == 0 {
            return true;
        }
        if !overdue && job.quota_tier != QuotaTier::NoGuarantee {
            return false;
        }
        let usable = places.iter().filter(|place| place.is_allowed(&job.spec)).count();
        let most = if overdue { usable / 8 } else { (usable / 2).min(places.len() / 6) };
        self.withheld + job.spec.task_count as usize <= most
    }
}

impl JobShard {
    /// Reservations that peers announced of late.
    pub(super) fn announced_reservations(&self, now: Micros) -> impl Iterator<Item = &Reservation> {
        self.peer_reservations.valid(now).map(|(_, reservation)| reservation)
    }

    /// Takes another leader's reservations, in place of what it said before.
    pub fn apply_peer_reservations(&mut self, now: Micros, from: usize, list: Vec<Reservation>) {
        self.peer_reservations.announce(now, from, list);
    }

    /// Our reservations.
    pub fn reservations(&self) -> &[Reservation] {
        &self.reservations
    }

    /// Takes the autoscaler's word on machine types and machines left to work of at least a priority.
    pub fn apply_autoscaler_reservations(
        &mut self,
        types: Vec<(String, bool, u8)>,
        machines: Vec<(String, u8)>,
    ) {
        self.autoscaler_reservations =
            AutoscalerReservations { types, machines: machines.into_iter().collect(), received: true };
    }

    /// Whether a job should have begun by now.
    pub(super) fn is_overdue_to_begin(&self, job: &Job) -> bool {
        job.assignments.is_empty()
            && job.done.is_empty()
            && self.wall_clock.since(job.ready_wall()) >= OVERDUE
    }

    /// What this pass may reserve.
    pub(super) fn begin_reservations(&mut self, now: Micros) -> ReservationPlan {
        self.peer_reservations.start_inheritance(now);
        let taken = self.announced_reservations(now).map(|reservation| reservation.machine.clone());
        ReservationPlan { taken: taken.collect(), withheld: 0 }
    }

    /// Reserves machines for a gang that finds no room, if it may have any: returns which. The other leaders hear of it
    /// once it has waited for a while, since what is kept empty serves nobody.
    pub(super) fn reserve_for(
        &self,
        pass: &mut Pass,
        job: &Job,
        age: Micros,
    ) -> (Vec<String>, Vec<Reservation>) {
        let overdue = age >= OVERDUE;
        let Pass { places, reservation_plan: plan, now, .. } = pass;
        if !plan.has_room_for(places, job, overdue) {
            return Default::default();
        }
        let inherited;
        let previous = if job.reserved_machines.is_empty() {
            inherited = self.peer_reservations.inherited_for(*now, job.spec.resources_per_task);
            &inherited
        } else {
            &job.reserved_machines
        };
        let request = ReservationRequest {
            spec: &job.spec,
            quota_tier: job.quota_tier,
            overdue,
            previous,
            taken: &plan.taken,
        };
        let reserved = reserve_machines(places, &request);
        plan.withheld += reserved.withheld;
        let announced = if age >= self.patience(&job.spec) {
            let announce = |machine: &String| announcements(machine, &job.spec, job.quota_tier, overdue);
            reserved.names.iter().flat_map(announce).collect()
        } else {
            Vec::new()
        };
        (reserved.names, announced)
    }
}

/// What the other leaders of jobs are told of a reserved machine.
fn announcements(machine: &str, spec: &JobSpec, quota_tier: QuotaTier, overdue: bool) -> Vec<Reservation> {
    let preempting = tier::preempting_priority(spec.priority, quota_tier);
    let reservation = |priority, evict| Reservation {
        machine: machine.to_owned(),
        priority,
        resources: spec.resources_per_task,
        must_preempt: evict,
    };
    let mut announced = vec![reservation(spec.priority, preempting == spec.priority)];
    if overdue {
        // Work of its own rank that came later must not slip in there any more.
        announced.push(reservation(spec.priority + 1, false));
        if preempting < spec.priority {
            announced.push(reservation(preempting, true));
        }
    }
    announced
}
